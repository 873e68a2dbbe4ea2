/** What every command needs: where the platform and an entry are, and how to print. */
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

/** How long a command waits for the platform. */
const CALL_TIMEOUT_MS = 10_000;

export const EXIT = { ok: 0, failed: 1, badInput: 2, stale: 3 } as const;

export type GlobalOptions = { platform: string; entry: string; json?: boolean; operator: string };

export type Context = {
  options: GlobalOptions;
  config: configTypes.ConfigStore<schema.Document>;
  journal: journalTypes.JournalReader;
  /** The deadline of a call that begins now. */
  deadlineMs: () => number;
  /** Milliseconds from now until an instant of the local clock. */
  untilMs: (atMs: number) => number;
  /** Where output and errors go; tests keep them. */
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

/** Prints `value` as JSON where `--json` asks for it, else `lines`. */
export function print(context: Context, value: unknown, lines: readonly string[]): void {
  const text = context.options.json === true ? JSON.stringify(value) : lines.join('\n');
  context.write(`${text}\n`);
}

export function printError(context: Context, value: unknown, text: string): void {
  context.writeError(`${context.options.json === true ? JSON.stringify(value) : text}\n`);
}
