/**
 * What one gateway reports to others, by version, so that each receives only the changes since its last request.
 * Dozens of gateways ask several times a second while single entries change all the time; sent whole, the placement
 * of 84 upstreams is some ten kilobytes per answer, too much for gateways with small links and processors.
 */
export type Changes<Value, Removal> = {
  version: number;
  /** `written` has all entries: others no longer exist. */
  isWhole: boolean;
  written: ReadonlyMap<string, Value>;
  removed: ReadonlyMap<string, Removal>;
};

export type ChangeLedger<Value, Removal> = {
  /** Returns whether this changed the entry. */
  put: (key: string, value: Value) => boolean;
  remove: (key: string, removal: Removal) => boolean;
  clear: () => void;
  /** Changes after `version`; all entries if it is null. */
  since: (version: number | null) => Changes<Value, Removal>;
  version: () => number;
};

type Entry<Value> = { value: Value; version: number };

/** A gateway that has missed more removals than this gets all entries instead. */
const REMOVALS_MAX = 500;

export function createChangeLedger<Value, Removal>(
  isSame: (left: Value, right: Value) => boolean,
): ChangeLedger<Value, Removal> {
  const entries = new Map<string, Entry<Value>>();
  const removals = new Map<string, Entry<Removal>>();
  let version = 0;
  /** Some of the removals up to this version have been forgotten. */
  let forgottenVersion = 0;

  function forgetOldest(): void {
    const [oldest] = removals;
    if (removals.size <= REMOVALS_MAX || oldest === undefined) return;
    forgottenVersion = oldest[1].version;
    removals.delete(oldest[0]);
  }

  function valuesAfter<Kept>(
    kept: ReadonlyMap<string, Entry<Kept>>,
    after: number,
  ): Map<string, Kept> {
    const found = new Map<string, Kept>();
    kept.forEach((entry, key) => {
      if (entry.version > after) found.set(key, entry.value);
    });
    return found;
  }

  return {
    put: (key, value) => {
      const before = entries.get(key);
      if (before !== undefined && isSame(before.value, value)) return false;
      version += 1;
      entries.set(key, { value, version });
      removals.delete(key);
      return true;
    },
    remove: (key, removal) => {
      if (!entries.delete(key)) return false;
      version += 1;
      removals.set(key, { value: removal, version });
      forgetOldest();
      return true;
    },
    clear: () => {
      entries.clear();
      removals.clear();
      version = 0;
      forgottenVersion = 0;
    },
    since: (known) => {
      const isWhole = known === null || known < forgottenVersion || known > version;
      const after = isWhole ? -1 : known;
      const removed = isWhole ? new Map<string, Removal>() : valuesAfter(removals, after);
      return { version, isWhole, written: valuesAfter(entries, after), removed };
    },
    version: () => version,
  };
}
