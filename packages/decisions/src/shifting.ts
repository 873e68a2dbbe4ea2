/**
 * Whether a move pays for itself. Made for demand that flickers: without a price each flicker loads and
 * unloads, the weight store is busy with it, and a load that is needed waits behind. The guild's store is
 * slower and its price higher.
 */

/** What a move brings and costs; slots are averages over the horizon. */
export type Move = {
  /** Slots of work that would be served and are not. */
  gainedSlots: number;
  /** Slots of work that the displaced copies served and nobody will. */
  lostSlots: number;
  /** Copies that are loaded or unloaded by it. */
  moveCount: number;
};

/** Demand seen over the last two minutes says little about more than the next two. */
const HORIZON_MS = 120_000;
/** Gains are estimates: a move that gains a little more than it loses would soon be taken back. */
const LOSS_FACTOR = 1.5;

/** The slot milliseconds that the move earns over its horizon, after its price. */
export function netGainMs(move: Move, moveCostMs: number): number {
  const gainedMs = (move.gainedSlots - LOSS_FACTOR * move.lostSlots) * HORIZON_MS;
  return gainedMs - move.moveCount * moveCostMs;
}
