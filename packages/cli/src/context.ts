/** The context of all commands: options, access to the configuration and the journal, and output. */
import type { schema } from '@copperlever/configuration';
import {
  configStore,
  type configTypes,
  documentCodec,
  httpStore,
  journalReader,
  type journalTypes,
} from '@copperlever/coordination';
import { clocks, randoms } from '@copperlever/runtime';

/** Time-out of a call to the platform. */
const CALL_TIMEOUT_MS = 10_000;

export const EXIT = { ok: 0, failed: 1, badInput: 2, stale: 3 } as const;

export type GlobalOptions = { platform: string; entry: string; json?: boolean; operator: string };

export type Context = {
  options: GlobalOptions;
  config: configTypes.ConfigStore<schema.Document>;
  journal: journalTypes.JournalReader;
  /** The deadline of a call that starts now. */
  deadlineMs: () => number;
  /** Milliseconds from now until `atMs` on the local monotonic clock. */
  untilMs: (atMs: number) => number;
  /** Output and errors; tests collect both. */
  write: (text: string) => void;
  writeError: (text: string) => void;
  close: () => Promise<void>;
};

export function createContext(options: GlobalOptions): Context {
  const clock = clocks.createSystemClock();
  const random = randoms.createSystemRandom();
  const store = httpStore.createHttpObjectStore({ baseUrl: options.platform, clock });
  const codec = documentCodec.createJsonCodec<schema.Document>();
  return {
    options,
    config: configStore.createConfigStore({ store, codec, clock, random }),
    journal: journalReader.createJournalReader({ store }),
    deadlineMs: () => clock.nowMs() + CALL_TIMEOUT_MS,
    untilMs: (atMs) => Math.max(0, atMs - clock.nowMs()),
    write: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
    close: store.close,
  };
}

/** Prints `value` as JSON with `--json`, otherwise `lines`. */
export function print(context: Context, value: unknown, lines: readonly string[]): void {
  const text = context.options.json === true ? JSON.stringify(value) : lines.join('\n');
  context.write(`${text}\n`);
}

export function printError(context: Context, value: unknown, text: string): void {
  context.writeError(`${context.options.json === true ? JSON.stringify(value) : text}\n`);
}
