/**
 * The holder's side of the organisations' quotas: one bucket for each organisation, out of which gateways are lent
 * credits for what they are asked. Load: an organisation at several times its usual, asked for unevenly over gateways
 * that start, stop and fall silent. Harm prevented: more admitted by all together than the quota allows, or callers
 * refused below it because credits lie where nobody asks. What is lent can be spent once; what a gateway spent beyond
 * it is taken from the bucket; a gateway that is not heard keeps its part of the rate, and the others share the rest.
 */
import * as quotaBuckets from './quota-bucket.js';
import type * as quotaCredits from './quota-credits.js';

export type QuotaLedger = {
  /** A gateway's counters, and in return how far it may go. */
  report: (
    gateway: quotaBuckets.Gateway,
    report: quotaCredits.QuotaReport,
    nowMs: number,
  ) => quotaCredits.QuotaLoan;
  /** Organisations whose quota is nearly used up. */
  scarce: () => readonly string[];
};

export type QuotaLedgerOptions = {
  /** Of the lease; a ledger is of one term. */
  term: number;
  startedMs: number;
  limitOf: (organisation: string) => quotaCredits.OrganisationLimit | null;
  gatewayCount: (nowMs: number) => number;
  unheardMs: number;
};

/** A gateway that has not been heard for so long has gone for good. */
const FORGOTTEN_MS = 20_000;
/** How often all gateways and organisations are gone through: each question would cost in proportion to both. */
const LOOK_MS = 50;

type Look = {
  atMs: number;
  gatewayCount: number;
  silences: quotaBuckets.Silences;
  scarce: readonly string[];
};

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
  const buckets = new Map<string, quotaBuckets.QuotaBucket>();
  const heardMs = new Map<string, number>();
  let look: Look = { atMs: -Infinity, gatewayCount: 1, silences: new Map(), scarce: [] };

  function silentMs(gatewayId: string, nowMs: number): number {
    return Math.max(0, nowMs - (heardMs.get(gatewayId) ?? nowMs) - options.unheardMs);
  }

  function viewOf(limit: quotaCredits.OrganisationLimit, nowMs: number): quotaBuckets.BucketView {
    return { limit, gatewayCount: look.gatewayCount, silences: look.silences, nowMs };
  }

  function forget(nowMs: number): void {
    for (const [gatewayId, lastMs] of heardMs) {
      if (nowMs - lastMs <= FORGOTTEN_MS) continue;
      heardMs.delete(gatewayId);
      buckets.forEach((bucket) => bucket.forget(gatewayId));
    }
  }

  function findSilences(nowMs: number): quotaBuckets.Silences {
    const silences = [...heardMs.keys()].map((id) => [id, silentMs(id, nowMs)] as const);
    return new Map(silences.filter(([, forMs]) => forMs > 0));
  }

  function findScarce(nowMs: number): readonly string[] {
    return [...buckets].flatMap(([organisation, bucket]) => {
      const limit = options.limitOf(organisation);
      return limit !== null && bucket.isScarce(viewOf(limit, nowMs)) ? [organisation] : [];
    });
  }

  function lookAround(nowMs: number): void {
    if (nowMs - look.atMs < LOOK_MS) return;
    forget(nowMs);
    const gatewayCount = options.gatewayCount(nowMs);
    look = { ...look, atMs: nowMs, gatewayCount, silences: findSilences(nowMs) };
    look.scarce = findScarce(nowMs);
  }

  function reportUse(
    gateway: quotaBuckets.Gateway,
    use: quotaCredits.QuotaUse,
    nowMs: number,
  ): readonly quotaCredits.QuotaGrant[] {
    const { organisation } = use;
    const limit = options.limitOf(organisation);
    if (limit === null) return [];
    const bucket =
      buckets.get(organisation) ??
      quotaBuckets.createQuotaBucket(limit, nowMs - options.startedMs, nowMs);
    buckets.set(organisation, bucket);
    return [{ organisation, ...bucket.report(gateway, use, viewOf(limit, nowMs)) }];
  }

  return {
    report: (gateway, { term, uses }, nowMs) => {
      lookAround(nowMs);
      // Counts of another term say nothing of this one.
      const isOfTerm = term === 0 || term === options.term;
      const grants = (isOfTerm ? uses : []).flatMap((use) => reportUse(gateway, use, nowMs));
      heardMs.set(gateway.gatewayId, nowMs);
      return { term: options.term, grants, scarce: look.scarce };
    },
    scarce: () => look.scarce,
  };
}
