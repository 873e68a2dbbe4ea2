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
};

/** A chat answer of some thousand tokens is shorter. */
const SHORT_BYTES_MAX = 1024 * 1024;
/** Where there is little memory, one long answer takes no more than this of it. */
const SHARE_OF_ONE = 0.8;
/** Long answers that are read end within this time; one that is not read is not waited for. */
const WAIT_MS = 5_000;
const RETRY_MS = 20;

export function createReservation(options: ReservationOptions): Reservation {
  const { clock, give, sumBytesMax } = options;
  const longBytes = Math.min(options.bytesMax, Math.floor(sumBytesMax * SHARE_OF_ONE));
  let usedBytes = 0;
  let takenBytes = 0;

  function tryTake(bytes: number): boolean {
    const neededBytes = usedBytes + bytes;
    const wholeBytes =
      neededBytes > SHORT_BYTES_MAX ? Math.max(longBytes, neededBytes) : neededBytes;
    const missingBytes = neededBytes <= takenBytes ? 0 : wholeBytes - takenBytes;
    if (missingBytes > 0 && !options.take(missingBytes, takenBytes)) return false;
    takenBytes += missingBytes;
    usedBytes = neededBytes;
    return true;
  }

  return {
    take: async (bytes, signal) => {
      const untilMs = clock.nowMs() + WAIT_MS;
      while (!tryTake(bytes)) {
        if (clock.nowMs() >= untilMs || signal?.aborted === true) return false;
        await clocks.sleepUntil(clock, clock.nowMs() + RETRY_MS, signal);
      }
      return true;
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
