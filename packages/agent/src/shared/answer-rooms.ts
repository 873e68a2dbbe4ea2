/**
 * The room of all answers at this agent, open and finished, within one budget. A finished answer is kept for an entry that may ask
 * again only while no open one needs its room: those that were read whole go first, the oldest first.
 */
import type * as byteBudgets from '@copperlever/runtime/byte-budget';
import type { clocks } from '@copperlever/runtime';
import * as reservations from '@copperlever/runtime/reservations';

export type Holder = {
  /** Whether a reader was handed everything. */
  isReadWhole: () => boolean;
  readerCount: () => number;
  /** Forgets the finished answer, and releases its room. */
  discard: () => void;
};

export type AnswerRoom = {
  /** Waits for room a while; false, and nothing taken, if there is none. */
  take: reservations.Reservation['take'];
  /** The answer has ended: it may be discarded from now on. */
  finish: () => void;
  release: () => void;
};

export type AnswerRooms = { open: (holder: Holder) => AnswerRoom; maxBytes: number };

type Finished = { holder: Holder; heldBytes: () => number };

/** At least so much is freed of what was read whole, so that not each part looks through all answers. */
const FREED_BYTES_MIN = 1024 * 1024;

export function createAnswerRooms(
  clock: clocks.Clock,
  budget: byteBudgets.ByteBudget,
  bytesMax: number,
): AnswerRooms {
  /** In the order of their ends. */
  const finished = new Set<Finished>();
  const waiting = new Set<object>();

  function takeByDiscarding(bytes: number, heldBytes: number): boolean {
    const idle = [...finished].filter(({ holder }) => holder.readerCount() === 0);
    const idleBytes = idle.reduce((sumBytes, one) => sumBytes + one.heldBytes(), 0);
    // An entry may still come for what would be discarded in vain.
    if (!budget.wouldFit(bytes, heldBytes, idleBytes)) return false;
    const wholes = idle.filter(({ holder }) => holder.isReadWhole());
    const others = idle.filter(({ holder }) => !holder.isReadWhole());
    let freedBytes = 0;
    for (const victim of [...wholes, ...others]) {
      const isEnough = freedBytes >= FREED_BYTES_MIN || !victim.holder.isReadWhole();
      if (isEnough && budget.take(bytes, heldBytes)) return true;
      freedBytes += victim.heldBytes();
      victim.holder.discard();
    }
    return budget.take(bytes, heldBytes);
  }

  return {
    maxBytes: budget.maxBytes,
    open: (holder) => {
      const { take, usedBytes, trim, release } = reservations.createReservation({
        clock,
        take: (bytes, heldBytes) =>
          budget.take(bytes, heldBytes) || takeByDiscarding(bytes, heldBytes),
        give: budget.give,
        bytesMax,
        sumBytesMax: budget.maxBytes,
        waiting,
      });
      const self = { holder, heldBytes: usedBytes };
      return {
        take,
        finish: () => {
          trim();
          if (usedBytes() > 0) finished.add(self);
        },
        release: () => {
          finished.delete(self);
          release();
        },
      };
    },
  };
}
