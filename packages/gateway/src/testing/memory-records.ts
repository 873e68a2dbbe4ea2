/** The platform's store in memory, with the faults that tests need. */
import { results } from '@copperlever/runtime';

import type * as stores from '../types/stores.js';

export type MemoryRecords = stores.RecordStore & {
  /** `down`: nothing is done. `lose-answers`: writes are done and not answered. */
  setFault: (fault: 'none' | 'down' | 'lose-answers') => void;
  writeCount: () => number;
  /** Keeps a copy of what it has now; the function that is returned takes the store back to it, in a new era. */
  copy: () => () => void;
};

type Stored = { kind: stores.Kind; record: stores.StoredRecord<unknown> };

export function createMemoryRecords(): MemoryRecords {
  const records = new Map<string, Stored>();
  let revision = 1;
  let writes = 0;
  let era = 0;
  let fault: 'none' | 'down' | 'lose-answers' = 'none';

  const unavailable = () =>
    Promise.resolve(results.Err({ kind: 'unavailable', reason: 'down' } as const));

  return {
    setFault: (wanted) => {
      fault = wanted;
    },
    writeCount: () => writes,
    era: () => era,
    copy: () => {
      const kept = new Map(records);
      const keptRevision = revision;
      return () => {
        records.clear();
        kept.forEach((stored, key) => records.set(key, stored));
        revision = keptRevision;
        era += 1;
      };
    },
    list: <K extends stores.Kind>(kind: K) => {
      if (fault === 'down') return unavailable();
      const found = [...records.values()].filter((stored) => stored.kind === kind);
      const listed = found.map(({ record }) => record as stores.StoredRecord<stores.KindValues[K]>);
      return Promise.resolve(results.Ok({ records: listed, unreadable: [], era, revision }));
    },
    watch: () => unavailable(),
    get: <K extends stores.Kind>(kind: K, name: string) => {
      if (fault === 'down') return unavailable();
      const found = records.get(`${kind}/${name}`)?.record ?? null;
      const record = found === null ? null : { ...found, era };
      return Promise.resolve(
        results.Ok(record as stores.StoredRecord<stores.KindValues[K]> | null),
      );
    },
    put: <K extends stores.OwnKind>(
      kind: K,
      name: string,
      value: stores.KindValues[K],
      expected: number | null,
    ) => {
      if (fault === 'down') return unavailable();
      const key = `${kind}/${name}`;
      const present = records.get(key)?.record.revision ?? null;
      if (present !== expected) {
        return Promise.resolve(results.Err({ kind: 'conflict' } as const));
      }
      revision += 1;
      writes += 1;
      const record = { name, era, revision, value };
      records.set(key, { kind, record });
      if (fault === 'lose-answers') {
        return Promise.resolve(results.Err({ kind: 'outcome-unknown', reason: 'lost' } as const));
      }
      return Promise.resolve(results.Ok(record));
    },
  };
}
