/** Parses the log lines that `logs` writes. */

export type LogLine = {
  timeMs: number;
  level: string;
  event: string;
  daemonId: string;
  fields: Readonly<Record<string, string>>;
};

/** Matches `name=value`; values with spaces or quotes are quoted. */
const PAIR = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // The line was truncated by a log collector; the raw text is still of use.
    return value;
  }
}

/** Returns null if `text` is not a log line. Skips any prefix that a log collector put in front of the time. */
export function parseLine(text: string): LogLine | null {
  const start = text.indexOf('time=');
  if (start < 0) return null;
  const pairs = new Map<string, string>();
  for (const [, name, value] of text.slice(start).matchAll(PAIR)) {
    pairs.set(name as string, unquote(value as string));
  }
  const { time = '', level = '', event = '', daemonId = '', ...fields } = Object.fromEntries(pairs);
  const timeMs = Date.parse(time);
  if (Number.isNaN(timeMs) || event === '') return null;
  return { timeMs, level, event, daemonId, fields };
}
