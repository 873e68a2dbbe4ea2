/**
 * Splits an event stream into complete events. This is needed for streams that are resumed at another upstream: the
 * first one may stop in the middle of an event, and bytes of it that were forwarded could not be taken back.
 */
export type EventFramer = {
  /** The complete events up to and including those that `chunk` completes, as bytes to forward. */
  push: (chunk: Buffer) => Buffer;
  /** The id of the last complete event, or null before the first. */
  lastEventId: () => string | null;
  /** Removes and returns the bytes of the last, incomplete event. */
  takeRest: () => Buffer;
};

const BLANK_LINE = '\n\n';
const ID_FIELD = 'id:';

function lastIdIn(events: string): string | null {
  const lines = events.split('\n').filter((line) => line.startsWith(ID_FIELD));
  return lines.at(-1)?.slice(ID_FIELD.length).trim() ?? null;
}

export function createEventFramer(): EventFramer {
  let incomplete: Buffer = Buffer.alloc(0);
  let lastEventId: string | null = null;
  return {
    push: (chunk) => {
      const joined = incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
      const end = joined.lastIndexOf(BLANK_LINE);
      if (end < 0) {
        incomplete = joined;
        return Buffer.alloc(0);
      }
      const whole = joined.subarray(0, end + BLANK_LINE.length);
      incomplete = joined.subarray(end + BLANK_LINE.length);
      lastEventId = lastIdIn(whole.toString('latin1')) ?? lastEventId;
      return whole;
    },
    lastEventId: () => lastEventId,
    takeRest: () => {
      const taken = incomplete;
      incomplete = Buffer.alloc(0);
      return taken;
    },
  };
}
