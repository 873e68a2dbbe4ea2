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
  /** The size of the last, incomplete event. */
  restBytes: () => number;
};

/** The ends of an event, with each kind of line end; the last one also ends CR LF CR LF. */
const EVENT_ENDS = ['\n\n', '\r\r', '\n\r\n'];
/** An end may have begun in the bytes before. */
const OVERLAP_BYTES = 2;
const ID_FIELD = 'id:';
const LINE_END = /\r\n|\r|\n/;

function lastIdIn(events: string): string | null {
  const lines = events.split(LINE_END).filter((line) => line.startsWith(ID_FIELD));
  return lines.at(-1)?.slice(ID_FIELD.length).trim() ?? null;
}

/** Where the last event in `bytes` ends; 0 if none does. */
function lastEndIn(bytes: Buffer): number {
  const ends = EVENT_ENDS.map((end) => {
    const at = bytes.lastIndexOf(end);
    return at < 0 ? 0 : at + end.length;
  });
  return Math.max(...ends);
}

export function createEventFramer(): EventFramer {
  /** The incomplete event at the start of a buffer that doubles as it fills: pieces may be single bytes. */
  let held: Buffer = Buffer.alloc(0);
  let restBytes = 0;
  let lastEventId: string | null = null;

  function keep(piece: Buffer): void {
    if (restBytes + piece.length > held.length) {
      const grown = Buffer.alloc(Math.max(2 * held.length, restBytes + piece.length));
      held.copy(grown, 0, 0, restBytes);
      held = grown;
    }
    piece.copy(held, restBytes);
    restBytes += piece.length;
  }

  function takeRest(): Buffer {
    const taken = held.subarray(0, restBytes);
    held = Buffer.alloc(0);
    restBytes = 0;
    return taken;
  }

  return {
    push: (chunk) => {
      const overlap = held.subarray(Math.max(0, restBytes - OVERLAP_BYTES), restBytes);
      const end = lastEndIn(Buffer.concat([overlap, chunk])) - overlap.length;
      if (end <= 0) {
        keep(chunk);
        return Buffer.alloc(0);
      }
      const whole = Buffer.concat([takeRest(), chunk.subarray(0, end)]);
      keep(chunk.subarray(end));
      lastEventId = lastIdIn(whole.toString('latin1')) ?? lastEventId;
      return whole;
    },
    lastEventId: () => lastEventId,
    takeRest,
    restBytes: () => restBytes,
  };
}
