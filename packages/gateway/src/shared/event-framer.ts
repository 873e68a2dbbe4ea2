import * as byteBlocks from './byte-blocks.js';

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
  /** What it takes in memory. */
  heldBytes: () => number;
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
  /** The incomplete event. */
  const held = byteBlocks.createByteBlocks();
  let lastEventId: string | null = null;

  return {
    push: (chunk) => {
      const overlap = held.tail(OVERLAP_BYTES);
      const end = lastEndIn(Buffer.concat([overlap, chunk])) - overlap.length;
      if (end <= 0) {
        held.push(chunk);
        return Buffer.alloc(0);
      }
      const whole = Buffer.concat([...held.takeAll(), chunk.subarray(0, end)]);
      held.push(chunk.subarray(end));
      lastEventId = lastIdIn(whole.toString('latin1')) ?? lastEventId;
      return whole;
    },
    lastEventId: () => lastEventId,
    takeRest: () => Buffer.concat(held.takeAll()),
    restBytes: held.sizeBytes,
    heldBytes: held.heldBytes,
  };
}
