/** The organisations' quotas at this gateway: what it may admit, and what it lends others while it holds the lease. */
import type { clocks } from '@copperlever/runtime';

import * as quotaCosts from '../../shared/quota-cost.js';
import * as quotaCredits from '../../shared/quota-credits.js';
import * as quotaLedgers from '../../shared/quota-ledger.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';

export type QuotaDecision =
  /** `giveBack` once it is known that the request did not run. */
  | { kind: 'admitted'; giveBack: () => void }
  | {
      kind: 'refused';
      cost: number;
      creditLeft: number;
      retryAfterMs: number;
      /** Since the holder told of credits; null if never. */
      creditsAgeMs: number | null;
    };

export type Quotas = {
  /** Waits for the holder's next answer where that may bring credits. */
  admit: (
    organisation: fleet.Organisation | null,
    facts: Pick<dialects.CallFacts, 'tokenCount'>,
    isLate: boolean,
  ) => Promise<QuotaDecision>;
  recentUses: () => readonly quotaCredits.QuotaUse[];
  granted: (grants: readonly quotaCredits.QuotaGrant[]) => void;
  /** As the holder of the lease with that term. */
  lend: (
    term: number,
    gateway: quotaLedgers.Gateway,
    uses: readonly quotaCredits.QuotaUse[],
  ) => readonly quotaCredits.QuotaGrant[];
};

export type QuotasDeps = {
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>;
  organisations: () => readonly fleet.Organisation[];
  gatewayCount: () => number;
  /** What all gateways together may exceed a quota by: requests are counted where they come, not in one place. */
  slack: number;
  /** Asks the holder soon. */
  hurry: () => void;
};

/** Lent like a burst, so that a request larger than a small burst can run; the rest is for what is told late. */
const LENT_SLACK_SHARE = 0.5;
/** Two hurried questions to the holder of a fleet of some tens of gateways. */
const ANSWER_WAIT_MS = 100;
/** A quota without a burst has this much at once: requests do not come evenly. */
const LEAST_BURST_S = 0.5;

const UNLIMITED: QuotaDecision = { kind: 'admitted', giveBack: () => {} };

export function createQuotas(deps: QuotasDeps): Quotas {
  const { clock } = deps;
  const credits = quotaCredits.createQuotaCredits(deps.gatewayCount);
  const waiting = new Set<() => void>();
  let ledger: { term: number; lends: quotaLedgers.QuotaLedger } | null = null;

  function limitOf(quota: fleet.Quota): quotaCredits.OrganisationLimit {
    const burst = Math.max(quota.burst, LEAST_BURST_S * quota.perSecond);
    return { perSecond: quota.perSecond, capacity: burst + LENT_SLACK_SHARE * deps.slack };
  }

  function createLedger(): quotaLedgers.QuotaLedger {
    return quotaLedgers.createQuotaLedger({
      limitOf: (name) => {
        const quota = deps.organisations().find((other) => other.name === name)?.quota ?? null;
        return quota === null ? null : limitOf(quota);
      },
      gatewayCount: deps.gatewayCount,
      unheardMs: quotaCredits.UNHEARD_MS,
    });
  }

  /**
   * Failure: the parts of a small quota that gateways have been lent are smaller than a request. Symptom: two that come to
   * one gateway between two answers of the holder are not both admitted, though the quota is hardly used. The wait is a
   * fraction of what callers notice, and there is none once the quota is used up.
   */
  function nextAnswer(): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        waiting.delete(finish);
        cancel();
        resolve();
      };
      const cancel = clock.schedule(clock.nowMs() + ANSWER_WAIT_MS, finish);
      waiting.add(finish);
    });
  }

  async function charge(
    name: string,
    limit: quotaCredits.OrganisationLimit,
    request: Omit<quotaCredits.Charge, 'isAgain'>,
  ): Promise<quotaCredits.Verdict> {
    const first = credits.take(name, limit, { ...request, isAgain: false }, clock.nowMs());
    if (first.kind === 'admitted' && !first.isLast) return first;
    deps.hurry();
    if (first.kind === 'admitted' || !first.mayGain) return first;
    await nextAnswer();
    return credits.take(name, limit, { ...request, isAgain: true }, clock.nowMs());
  }

  return {
    admit: async (organisation, facts, isLate) => {
      const quota = organisation?.quota ?? null;
      if (organisation === null || quota === null) return UNLIMITED;
      const { name } = organisation;
      const cost = quotaCosts.costOf(quota, facts);
      const verdict = await charge(name, limitOf(quota), { cost, isLate });
      if (verdict.kind === 'admitted') {
        return { kind: 'admitted', giveBack: () => credits.giveBack(name, cost) };
      }
      const { creditLeft, retryAfterMs } = verdict;
      const creditsAgeMs = credits.ageMs(clock.nowMs());
      return { kind: 'refused', cost, creditLeft, retryAfterMs, creditsAgeMs };
    },
    recentUses: () => credits.recentUses(clock.nowMs()),
    granted: (grants) => {
      credits.granted(grants, clock.nowMs());
      [...waiting].forEach((finish) => finish());
    },
    lend: (term, gateway, uses) => {
      // Another holder has lent meanwhile: what was known of its time is void.
      if (ledger?.term !== term) ledger = { term, lends: createLedger() };
      return ledger.lends.report(gateway, uses, clock.nowMs());
    },
  };
}
