/**
 * The room of all answers at this agent, open and finished, within one budget. A finished answer is kept for an entry that may ask
 * again only while no open one needs its room: those that were read whole go first, the oldest first.
 */
import type * as byteBudgets from '@copperlever/runtime/byte-budget';

export type Holder = {
  /** Whether a reader was handed everything. */
  isReadWhole: () => boolean;
  readerCount: () => number;
  /** Forgets the finished answer, and releases its room. */
  discard: () => void;
};

export type AnswerRoom = {
  /** False, and nothing taken, if there is no room. */
  take: (bytes: number) => boolean;
  /** The answer has ended: it may be discarded from now on. */
  finish: () => void;
  release: () => void;
};

export type AnswerRooms = { open: (holder: Holder) => AnswerRoom; maxBytes: number };

type Finished = { holder: Holder; heldBytes: () => number };

/** At least so much is freed of what was read whole, so that not each part looks through all answers. */
const FREED_BYTES_MIN = 1024 * 1024;

export function createAnswerRooms(budget: byteBudgets.ByteBudget): AnswerRooms {
  /** In the order of their ends. */
  const finished = new Set<Finished>();

  function takeByDiscarding(bytes: number, heldBytes: number): boolean {
    const idle = [...finished].filter(({ holder }) => holder.readerCount() === 0);
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
      let takenBytes = 0;
      const self = { holder, heldBytes: () => takenBytes };
      return {
        take: (bytes) => {
          const hasTaken = budget.take(bytes, takenBytes) || takeByDiscarding(bytes, takenBytes);
          if (hasTaken) takenBytes += bytes;
          return hasTaken;
        },
        finish: () => {
          if (takenBytes > 0) finished.add(self);
        },
        release: () => {
          finished.delete(self);
          budget.give(takenBytes);
          takenBytes = 0;
        },
      };
    },
  };
}
