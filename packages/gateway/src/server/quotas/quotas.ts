/** The organisations' quotas at this gateway: what it may admit, and what it lends others while it holds the lease. */
import type { clocks, randoms } from '@copperlever/runtime';

import type * as quotaBuckets from '../../shared/quota-bucket.js';
import * as quotaCosts from '../../shared/quota-cost.js';
import * as quotaCredits from '../../shared/quota-credits.js';
import * as quotaLedgers from '../../shared/quota-ledger.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';

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
  admit: (
    organisation: fleet.Organisation | null,
    facts: Pick<dialects.CallFacts, 'tokenCount'>,
    isLate: boolean,
  ) => Promise<QuotaDecision>;
  report: () => quotaCredits.QuotaReport;
  heard: (loan: quotaCredits.QuotaLoan) => void;
  /** For the record of the lease, and from it. */
  scarce: () => readonly string[];
  noteWritten: (scarce: readonly string[]) => void;
  /** As the holder of the lease with that term. */
  lend: (
    term: number,
    gateway: quotaBuckets.Gateway,
    report: quotaCredits.QuotaReport,
  ) => quotaCredits.QuotaLoan;
};

export type QuotasDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: logEvents.GatewayLog;
  random: Pick<randoms.Random, 'fraction'>;
  organisations: () => readonly fleet.Organisation[];
  gatewayCount: () => number;
  /** What all gateways together may exceed a quota by: requests are counted where they come, not in one place. */
  slack: number;
  /** Asks the holder for what a request lacks; null without an answer. */
  ask: (report: quotaCredits.QuotaReport) => Promise<quotaCredits.QuotaLoan | null>;
};

const ASKS_MAX = 2;
const UNLIMITED: QuotaDecision = { kind: 'admitted', giveBack: () => {} };

function answerOf(
  loan: quotaCredits.QuotaLoan | null,
  organisation: string,
): quotaCredits.HolderOutcome {
  if (loan === null) return 'silent';
  // A configuration reaches the holder later than others.
  const isAware = loan.grants.some((grant) => grant.organisation === organisation);
  return isAware ? 'answered' : 'unaware';
}

export function createQuotas(deps: QuotasDeps): Quotas {
  const { clock } = deps;
  const credits = quotaCredits.createQuotaCredits(deps.gatewayCount, deps.random);
  let ledger: { term: number; lends: quotaLedgers.QuotaLedger } | null = null;

  function createLedger(term: number): quotaLedgers.QuotaLedger {
    return quotaLedgers.createQuotaLedger({
      term,
      startedMs: clock.nowMs(),
      limitOf: (name) => {
        const quota = deps.organisations().find((other) => other.name === name)?.quota ?? null;
        return quota === null ? null : quotaCosts.limitOf(quota, deps.slack);
      },
      gatewayCount: deps.gatewayCount,
      silentAfterMs: quotaCredits.HOLDER_TIMEOUT_MS,
    });
  }

  function logScarce(term: number, before: readonly string[], now: readonly string[]): void {
    now
      .filter((organisation) => !before.includes(organisation))
      .forEach((organisation) => deps.log.info('quota-scarce', { organisation, term }));
    before
      .filter((organisation) => !now.includes(organisation))
      .forEach((organisation) => deps.log.info('quota-plenty', { organisation, term }));
  }

  async function settle(
    organisation: string,
    limit: quotaCredits.OrganisationLimit,
    cost: number,
  ): Promise<ReturnType<quotaCredits.QuotaCredits['settle']>> {
    let answer: quotaCredits.HolderOutcome = 'unaware';
    // A new holder's first answer only tells of its term.
    for (let asked = 0; asked < ASKS_MAX && answer === 'unaware'; asked += 1) {
      const loan = await deps.ask(credits.reportFor(organisation));
      if (loan !== null) credits.applyLoan(loan, clock.nowMs());
      answer = answerOf(loan, organisation);
    }
    return credits.settle(organisation, limit, cost, answer, clock.nowMs());
  }

  return {
    admit: async (organisation, facts, isLate) => {
      const quota = organisation?.quota ?? null;
      if (organisation === null || quota === null) return UNLIMITED;
      const { name } = organisation;
      const cost = quotaCosts.costOf(quota, facts);
      const limit = quotaCosts.limitOf(quota, deps.slack);
      const first = credits.take(name, limit, { cost, isLate }, clock.nowMs());
      const verdict = first.kind === 'undecided' ? await settle(name, limit, cost) : first;
      if (verdict.kind === 'admitted') {
        return { kind: 'admitted', giveBack: () => credits.refund(name, cost) };
      }
      const { creditLeft, retryAfterMs } = verdict;
      const creditsAgeMs = credits.ageMs(clock.nowMs());
      return { kind: 'refused', cost, creditLeft, retryAfterMs, creditsAgeMs };
    },
    report: () => credits.report(clock.nowMs()),
    heard: (loan) => credits.applyLoan(loan, clock.nowMs()),
    scarce: () => ledger?.lends.scarce() ?? [],
    noteWritten: credits.applyStored,
    lend: (term, gateway, report) => {
      // Another holder has lent meanwhile: what was known of its time is void.
      if (ledger?.term !== term) ledger = { term, lends: createLedger(term) };
      const before = ledger.lends.scarce();
      const loan = ledger.lends.report(gateway, report, clock.nowMs());
      if (loan.scarce !== before) logScarce(term, before, loan.scarce);
      return loan;
    },
  };
}
