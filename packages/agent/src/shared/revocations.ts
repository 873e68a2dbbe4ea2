/**
 * Dispatch ids that must not start any more, and the agent's tick. A dispatch that arrives after its revoke must not run,
 * or a caller told "not run" would be told a lie. Ids cannot be kept for ever, and clocks of two VMs
 * cannot be compared: so each dispatch carries the tick its entry last saw, and one from before the
 * remembered span is refused.
 */

/** A tick is long against any delay between two VMs that a living connection survives. */
export const TICK_MS = 10_000;
/** Revoked ids are remembered for this many ticks. */
export const REMEMBERED_TICKS = 12;

export type DispatchVerdict = 'allowed' | 'revoked' | 'ran' | 'stale';

/** What is known of an attempt that the agent holds no answer of. */
export type Recollection =
  | 'never-ran'
  | 'ran'
  /** Its dispatch is older than what is remembered: it may have run. */
  | 'forgotten';

export type Revocations = {
  tick: (nowMs: number) => number;
  revoke: (dispatchId: string, nowMs: number) => void;
  /** Remembers that an attempt ran, once its answer is let go. */
  noteRan: (dispatchId: string, nowMs: number) => void;
  judge: (dispatchId: string, dispatchTick: number, nowMs: number) => DispatchVerdict;
  /** Whether the attempt ran; `dispatchTick` is the one that its dispatch carried. */
  recall: (dispatchId: string, dispatchTick: number, nowMs: number) => Recollection;
};

type Remembered = { kind: 'revoked' | 'ran'; sinceTick: number };

export function createRevocations(startedAtMs: number): Revocations {
  const remembered = new Map<string, Remembered>();
  const tick = (nowMs: number) => 1 + Math.floor((nowMs - startedAtMs) / TICK_MS);

  function forgetOld(currentTick: number): void {
    // Ids are added in order of time, so the oldest come first.
    for (const [dispatchId, { sinceTick }] of remembered) {
      if (sinceTick >= currentTick - REMEMBERED_TICKS) return;
      remembered.delete(dispatchId);
    }
  }

  function remember(dispatchId: string, kind: Remembered['kind'], nowMs: number): void {
    const sinceTick = tick(nowMs);
    forgetOld(sinceTick);
    remembered.delete(dispatchId);
    remembered.set(dispatchId, { kind, sinceTick });
  }

  function isOld(dispatchTick: number, nowMs: number): boolean {
    return dispatchTick < tick(nowMs) - REMEMBERED_TICKS;
  }

  return {
    tick,
    revoke: (dispatchId, nowMs) => {
      if (!remembered.has(dispatchId)) remember(dispatchId, 'revoked', nowMs);
    },
    noteRan: (dispatchId, nowMs) => remember(dispatchId, 'ran', nowMs),
    judge: (dispatchId, dispatchTick, nowMs) => {
      const known = remembered.get(dispatchId);
      if (known !== undefined) return known.kind;
      return isOld(dispatchTick, nowMs) ? 'stale' : 'allowed';
    },
    recall: (dispatchId, dispatchTick, nowMs) => {
      const known = remembered.get(dispatchId);
      if (known !== undefined) return known.kind === 'ran' ? 'ran' : 'never-ran';
      return isOld(dispatchTick, nowMs) ? 'forgotten' : 'never-ran';
    },
  };
}
