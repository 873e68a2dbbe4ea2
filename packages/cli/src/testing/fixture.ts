/** Fixture for command tests: a context with an in-memory store that collects the output. */
import type { schema } from '@copperlever/configuration';
import { configStore, documentCodec, journalReader, memoryStore } from '@copperlever/coordination';
import { randoms } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';

import type * as contexts from '../context.js';

export const ENTRY_URL = 'http://entry.example';

export function createFixture() {
  const clock = fakeClock.createFakeClock();
  const store = memoryStore.createMemoryStore(clock);
  const printed: unknown[] = [];
  const errors: Record<string, unknown>[] = [];
  const context: contexts.Context = {
    options: { platform: '', entry: ENTRY_URL, json: true, operator: 'lan' },
    config: configStore.createConfigStore({
      store,
      codec: documentCodec.createJsonCodec<schema.Document>(),
      clock,
      random: randoms.createRandom(1),
    }),
    journal: journalReader.createJournalReader({ store }),
    deadlineMs: () => clock.nowMs() + 1_000,
    untilMs: (atMs) => atMs - clock.nowMs(),
    write: (text) => printed.push(JSON.parse(text)),
    writeError: (text) => errors.push(JSON.parse(text) as Record<string, unknown>),
    close: async () => {},
  };
  return { clock, store, context, printed, errors };
}
