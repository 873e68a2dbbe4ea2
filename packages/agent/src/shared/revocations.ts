/**
 * Revoked dispatch ids and the agent's tick. A dispatch that arrives after its revoke must not run,
 * or a caller told "not run" would be told a lie. Ids cannot be kept for ever, and clocks of two VMs
 * cannot be compared: so each dispatch carries the tick its entry last saw, and one from before the
 * remembered span is refused.
 */

/** A tick is long against any delay between two VMs that a living connection survives. */
export const TICK_MS = 10_000;
/** Revoked ids are remembered for this many ticks. */
export const REMEMBERED_TICKS = 12;

export type DispatchVerdict = 'allowed' | 'revoked' | 'stale';

export type Revocations = {
  tick: (nowMs: number) => number;
  revoke: (dispatchId: string, nowMs: number) => void;
  judge: (dispatchId: string, dispatchTick: number, nowMs: number) => DispatchVerdict;
};

export function createRevocations(startedAtMs: number): Revocations {
  const revokedAtTick = new Map<string, number>();
  const tick = (nowMs: number) => 1 + Math.floor((nowMs - startedAtMs) / TICK_MS);

  function forgetOld(currentTick: number): void {
    // Ids are added in order of time, so the oldest come first.
    for (const [dispatchId, revokedTick] of revokedAtTick) {
      if (revokedTick >= currentTick - REMEMBERED_TICKS) return;
      revokedAtTick.delete(dispatchId);
    }
  }

  return {
    tick,
    revoke: (dispatchId, nowMs) => {
      const currentTick = tick(nowMs);
      forgetOld(currentTick);
      if (!revokedAtTick.has(dispatchId)) revokedAtTick.set(dispatchId, currentTick);
    },
    judge: (dispatchId, dispatchTick, nowMs) => {
      if (revokedAtTick.has(dispatchId)) return 'revoked';
      return dispatchTick < tick(nowMs) - REMEMBERED_TICKS ? 'stale' : 'allowed';
    },
  };
}
