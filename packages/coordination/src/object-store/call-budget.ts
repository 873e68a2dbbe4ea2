/** A token bucket that limits calls a second. */
import type { clocks } from '@copperlever/runtime';

export type CallBudget = {
  /** Takes one call from the budget; returns the instant from which it may be sent. */
  reserve: () => number;
  /** Returns a reserved call that was not made. */
  refund: () => void;
  /** Takes one call only if it may be sent now. */
  tryAcquire: () => boolean;
};

export type CallBudgetOptions = { clock: clocks.Clock; perSecond: number; burst: number };

export function createCallBudget(options: CallBudgetOptions): CallBudget {
  const { clock, perSecond, burst } = options;
  const msPerCall = 1_000 / perSecond;
  let tokens = burst;
  let filledAtMs = clock.nowMs();

  function refill(): void {
    const nowMs = clock.nowMs();
    tokens = Math.min(burst, tokens + (nowMs - filledAtMs) / msPerCall);
    filledAtMs = nowMs;
  }

  return {
    reserve: () => {
      refill();
      tokens -= 1;
      return tokens >= 0 ? clock.nowMs() : clock.nowMs() - tokens * msPerCall;
    },
    refund: () => {
      tokens += 1;
    },
    tryAcquire: () => {
      refill();
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
