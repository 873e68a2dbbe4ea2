/**
 * Cuts an event stream into whole events. Made for a stream that is resumed at another upstream: the
 * first one may stop in the middle of an event, and what was passed on of it could not be taken back.
 */
export type EventFramer = {
  /** The whole events that `chunk` completes, as bytes to pass on. */
  push: (chunk: Buffer) => Buffer;
  /** The id of the last whole event, or null before the first. */
  lastEventId: () => string | null;
  /** What has come of an event that is not whole yet; taken out. */
  rest: () => Buffer;
};

const BLANK_LINE = '\n\n';
const ID_FIELD = 'id:';

function lastIdIn(events: string): string | null {
  const lines = events.split('\n').filter((line) => line.startsWith(ID_FIELD));
  return lines.at(-1)?.slice(ID_FIELD.length).trim() ?? null;
}

export function createEventFramer(): EventFramer {
  let rest: Buffer = Buffer.alloc(0);
  let lastEventId: string | null = null;
  return {
    push: (chunk) => {
      const joined = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = joined.lastIndexOf(BLANK_LINE);
      if (end < 0) {
        rest = joined;
        return Buffer.alloc(0);
      }
      const whole = joined.subarray(0, end + BLANK_LINE.length);
      rest = joined.subarray(end + BLANK_LINE.length);
      lastEventId = lastIdIn(whole.toString('latin1')) ?? lastEventId;
      return whole;
    },
    lastEventId: () => lastEventId,
    rest: () => {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
  };
}
