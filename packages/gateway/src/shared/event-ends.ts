/**
 * Whether a stream of events has ended between two events. An answer without length or chunks ends with its connection, also when
 * its upstream ends: that the connection was closed regularly doesn't show that the last event is whole.
 */
export type EventEnds = {
  push: (chunk: Buffer) => void;
  /** An event has begun and not ended, or none has come. */
  isInsideEvent: () => boolean;
};

/** An event ends with a blank line, whichever line ends are used. */
const EVENT_END = /(\n\n|\r\r|\r\n\r\n)$/;
const TAIL_LENGTH = 4;

export function createEventEnds(): EventEnds {
  let tail = '';
  return {
    push: (chunk) => {
      tail = (tail + chunk.subarray(-TAIL_LENGTH).toString('latin1')).slice(-TAIL_LENGTH);
    },
    isInsideEvent: () => !EVENT_END.test(tail),
  };
}
