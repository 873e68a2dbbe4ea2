/** Writes the outcomes of claims in the background, also long after the object API was down. */
import type * as claimTypes from '@copperlever/coordination/claims/types';
import { clocks, type logs, type metrics as metricsModule } from '@copperlever/runtime';

export type SettlementsDeps = {
  clock: clocks.Clock;
  claims: Pick<claimTypes.Claims, 'settle'>;
  log: logs.Logger;
  metrics: metricsModule.Metrics;
};

export type Settlements = {
  /**
   * Writes `outcome` to the claim. `onSettled` is called once no resend needs the agent's copy of the
   * answer any more.
   */
  settle: (
    held: claimTypes.HeldClaim,
    outcome: claimTypes.ClaimOutcome,
    onSettled: () => void,
  ) => void;
  pendingCount: () => number;
};

const TRY_TIMEOUT_MS = 5_000;
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 15_000;
/** Up to here resends are answered by asking the agent; afterwards the claim stays open. */
const GIVE_UP_MS = 600_000;
/** Each keeps an answer of up to a few hundred kilobytes in memory. */
const MAX_PENDING = 200;

export function createSettlements(deps: SettlementsDeps): Settlements {
  const { clock, claims, log, metrics } = deps;
  let pendingCount = 0;

  function note(held: claimTypes.HeldClaim, event: string): void {
    log.warn(event, { requestId: held.claim.requestId });
    metrics.count('entry.claims_not_settled', 1, { reason: event });
  }

  async function write(
    held: claimTypes.HeldClaim,
    outcome: claimTypes.ClaimOutcome,
  ): Promise<boolean> {
    const untilMs = clock.nowMs() + GIVE_UP_MS;
    for (let backoffMs = FIRST_BACKOFF_MS; clock.nowMs() < untilMs;) {
      const settled = await claims.settle(held, outcome, clock.nowMs() + TRY_TIMEOUT_MS);
      if (settled.ok) return true;
      if (settled.val.kind === 'lost') {
        note(held, 'claim-taken-over');
        return false;
      }
      const retryAtMs = Math.max(settled.val.retryAtMs, clock.nowMs() + backoffMs);
      await clocks.sleepUntil(clock, Math.min(retryAtMs, clock.nowMs() + MAX_BACKOFF_MS));
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    note(held, 'claim-not-settled');
    return false;
  }

  async function run(
    held: claimTypes.HeldClaim,
    outcome: claimTypes.ClaimOutcome,
    onSettled: () => void,
  ): Promise<void> {
    pendingCount += 1;
    metrics.gauge('entry.claims_pending', pendingCount);
    if (await write(held, outcome)) onSettled();
    pendingCount -= 1;
    metrics.gauge('entry.claims_pending', pendingCount);
  }

  return {
    settle: (held, outcome, onSettled) => {
      if (pendingCount >= MAX_PENDING) {
        note(held, 'claim-not-settled');
        return;
      }
      void run(held, outcome, onSettled);
    },
    pendingCount: () => pendingCount,
  };
}
