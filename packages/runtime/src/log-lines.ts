/** Reads back the lines that `logs` writes. */

export type LogLine = {
  timeMs: number;
  level: string;
  event: string;
  daemonId: string;
  fields: Readonly<Record<string, string>>;
};

/** A name, and a value that is quoted where it holds spaces or quotes. */
const PAIR = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // Cut off by whatever collected the line: the raw text still says more than nothing.
    return value;
  }
}

/** Null for what is no log line. Whatever a collector puts in front of the time is passed over. */
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
