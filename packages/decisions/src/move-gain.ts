/**
 * Decides whether moving copies pays off. Demand fluctuates; if moves cost nothing, every fluctuation would cause loads
 * and unloads, the weight store would be busy with them, and loads that are needed would wait. The guild's store is
 * slower, so moves cost more there.
 */

/** Gains and costs of a move; slots are averages over the horizon. */
export type Move = {
  /** Slots of work that would be served after the move and is not served now. */
  gainedSlots: number;
  /** Slots of work that the evicted copies serve now and no other copy could take over. */
  lostSlots: number;
  /** Number of copies loaded or unloaded by the move. */
  moveCount: number;
};

/** Demand measured over the last two minutes predicts about the next two. */
const MOVE_HORIZON_MS = 120_000;
/** Gains are estimates: a move that gains only slightly more than it loses would soon be reversed. */
const LOST_SLOTS_FACTOR = 1.5;

/** The gain of the move over its horizon in slot milliseconds, less its cost. */
export function netGainMs(move: Move, moveCostMs: number): number {
  const gainedMs = (move.gainedSlots - LOST_SLOTS_FACTOR * move.lostSlots) * MOVE_HORIZON_MS;
  return gainedMs - move.moveCount * moveCostMs;
}
