/**
 * The room of one answer: as it grows while it is short; that of the longest at once when it grows long. So of long answers only
 * as many go on as can end, and the others wait, instead of each holding what the others want.
 */
import * as clocks from './clocks.js';

export type Reservation = {
  /** Waits for room a while; false, and nothing taken, if there is none, or at `signal`. */
  take: (bytes: number, signal?: AbortSignal) => Promise<boolean>;
  usedBytes: () => number;
  /** The answer has ended: gives back what it did not need. */
  trim: () => void;
  release: () => void;
};

export type ReservationOptions = {
  clock: clocks.Clock;
  take: (bytes: number, heldBytes: number) => boolean;
  give: (bytes: number) => void;
  /** Of the longest answer. */
  bytesMax: number;
  /** Of all answers together. */
  sumBytesMax: number;
  /** Long answers that wait for room, in the order in which they came: a later one may not go on before them. */
  waiting: Set<object>;
};

/** A chat answer of some thousand tokens is shorter. */
const SHORT_BYTES_MAX = 1024 * 1024;
/** Where there is little memory, one long answer takes no more than this of it. */
const SHARE_OF_ONE = 0.8;
/** Long answers that are read end within this time; one that is not read is not waited for. */
const WAIT_MS = 5_000;
const RETRY_MS = 20;

export function createReservation(options: ReservationOptions): Reservation {
  const { clock, give, sumBytesMax, waiting } = options;
  const self = {};
  const longBytes = Math.min(options.bytesMax, Math.floor(sumBytesMax * SHARE_OF_ONE));
  let usedBytes = 0;
  let takenBytes = 0;

  /** One that has the room of a long answer waits for nobody: the others wait for its end. */
  function hasTurn(): boolean {
    if (takenBytes >= longBytes) return true;
    const [eldest = self] = waiting;
    return eldest === self;
  }

  function tryTake(bytes: number): boolean {
    const neededBytes = usedBytes + bytes;
    const wholeBytes =
      neededBytes > SHORT_BYTES_MAX ? Math.max(longBytes, neededBytes) : neededBytes;
    const missingBytes = neededBytes <= takenBytes ? 0 : wholeBytes - takenBytes;
    if (missingBytes > 0) {
      const isLong = neededBytes > SHORT_BYTES_MAX;
      if ((isLong && !hasTurn()) || !options.take(missingBytes, takenBytes)) {
        if (isLong) waiting.add(self);
        return false;
      }
    }
    takenBytes += missingBytes;
    usedBytes = neededBytes;
    return true;
  }

  return {
    take: async (bytes, signal) => {
      const untilMs = clock.nowMs() + WAIT_MS;
      // What is over may have been released: nobody would give back what it took.
      const isOver = () => signal?.aborted === true;
      let hasTaken = !isOver() && tryTake(bytes);
      while (!hasTaken && clock.nowMs() < untilMs && !isOver()) {
        await clocks.sleepUntil(clock, clock.nowMs() + RETRY_MS, signal);
        hasTaken = !isOver() && tryTake(bytes);
      }
      waiting.delete(self);
      return hasTaken;
    },
    usedBytes: () => usedBytes,
    trim: () => {
      give(takenBytes - usedBytes);
      takenBytes = usedBytes;
    },
    release: () => {
      give(takenBytes);
      takenBytes = 0;
      usedBytes = 0;
    },
  };
}
