/**
 * The lease holder's side of the organisations' quotas: one bucket per organisation, from which gateways are lent
 * credits by their demand. An organisation may send several times its usual demand, unevenly spread over gateways
 * that start, stop and become silent. Still, all gateways together must not admit more than its quota, and none may
 * refuse its callers below it because the credits lie at gateways without demand. Lent credits can be spent once,
 * spending beyond them is charged to the bucket, and a silent gateway keeps its share of the rate while the others
 * divide the rest.
 */
import * as quotaBuckets from './quota-bucket.js';
import type * as quotaCredits from './quota-credits.js';

export type QuotaLedger = {
  /** Applies a gateway's counters and returns how much it may spend. */
  report: (
    gateway: quotaBuckets.Gateway,
    report: quotaCredits.QuotaReport,
    nowMs: number,
  ) => quotaCredits.QuotaLoan;
  /** Organisations whose quota is nearly exhausted. */
  scarce: () => readonly string[];
};

export type QuotaLedgerOptions = {
  /** The term of the lease. A ledger belongs to one term. */
  term: number;
  startedMs: number;
  limitOf: (organisation: string) => quotaCredits.OrganisationLimit | null;
  gatewayCount: (nowMs: number) => number;
  silentAfterMs: number;
};

/** A gateway that has sent no report for so long is forgotten. */
const FORGET_AFTER_MS = 20_000;
/**
 * How often all gateways and organisations are examined. Doing so for each request would cost in proportion to both.
 */
const SNAPSHOT_INTERVAL_MS = 50;

type Snapshot = {
  atMs: number;
  gatewayCount: number;
  silentGateways: quotaBuckets.SilentGateways;
  scarce: readonly string[];
};

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
  const buckets = new Map<string, quotaBuckets.QuotaBucket>();
  const lastReceivedMs = new Map<string, number>();
  let snapshot: Snapshot = {
    atMs: -Infinity,
    gatewayCount: 1,
    silentGateways: new Map(),
    scarce: [],
  };

  function silentMs(gatewayId: string, nowMs: number): number {
    return Math.max(0, nowMs - (lastReceivedMs.get(gatewayId) ?? nowMs) - options.silentAfterMs);
  }

  function contextOf(
    limit: quotaCredits.OrganisationLimit,
    nowMs: number,
  ): quotaBuckets.BucketContext {
    return {
      limit,
      gatewayCount: snapshot.gatewayCount,
      silentGateways: snapshot.silentGateways,
      nowMs,
    };
  }

  function forget(nowMs: number): void {
    for (const [gatewayId, lastMs] of lastReceivedMs) {
      if (nowMs - lastMs <= FORGET_AFTER_MS) continue;
      lastReceivedMs.delete(gatewayId);
      buckets.forEach((bucket) => bucket.forget(gatewayId));
    }
  }

  function findSilentGateways(nowMs: number): quotaBuckets.SilentGateways {
    const silentGateways = [...lastReceivedMs.keys()].map(
      (id) => [id, silentMs(id, nowMs)] as const,
    );
    return new Map(silentGateways.filter(([, forMs]) => forMs > 0));
  }

  function findNearlyExhausted(nowMs: number): readonly string[] {
    return [...buckets].flatMap(([organisation, bucket]) => {
      const limit = options.limitOf(organisation);
      return limit !== null && bucket.isNearlyExhausted(contextOf(limit, nowMs))
        ? [organisation]
        : [];
    });
  }

  function refreshSnapshot(nowMs: number): void {
    if (nowMs - snapshot.atMs < SNAPSHOT_INTERVAL_MS) return;
    forget(nowMs);
    const gatewayCount = options.gatewayCount(nowMs);
    snapshot = {
      ...snapshot,
      atMs: nowMs,
      gatewayCount,
      silentGateways: findSilentGateways(nowMs),
    };
    snapshot.scarce = findNearlyExhausted(nowMs);
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
    return [{ organisation, ...bucket.report(gateway, use, contextOf(limit, nowMs)) }];
  }

  return {
    report: (gateway, { term, uses }, nowMs) => {
      refreshSnapshot(nowMs);
      // Counters of another term cannot be applied to this one.
      const isOfTerm = term === 0 || term === options.term;
      const grants = (isOfTerm ? uses : []).flatMap((use) => reportUse(gateway, use, nowMs));
      lastReceivedMs.set(gateway.gatewayId, nowMs);
      return { term: options.term, grants, scarce: snapshot.scarce };
    },
    scarce: () => snapshot.scarce,
  };
}
