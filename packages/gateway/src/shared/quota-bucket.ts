/** One organisation's quota at the lease holder: the unspent level, and the credits lent to each gateway. */
import * as quotaCredits from './quota-credits.js';

export type Gateway = { gatewayId: string; incarnation: number };

/**
 * Gateways from which the holder receives no reports, and for how long each has used its own share of the rate.
 */
export type SilentGateways = ReadonlyMap<string, number>;

/** Inputs of each call to the bucket. */
export type BucketContext = {
  limit: quotaCredits.OrganisationLimit;
  gatewayCount: number;
  silentGateways: SilentGateways;
  nowMs: number;
};

export type QuotaBucket = {
  report: (
    gateway: Gateway,
    use: quotaCredits.QuotaUse,
    context: BucketContext,
  ) => Omit<quotaCredits.QuotaGrant, 'organisation'>;
  /** Whether the quota is nearly exhausted. */
  isNearlyExhausted: (context: BucketContext) => boolean;
  forget: (gatewayId: string) => void;
};

/** A new holder does not know what was admitted just before, so its bucket starts half full. */
const INITIAL_LEVEL_SHARE = 0.5;
/**
 * Share of the unspent quota that is lent ahead of demand. The rest stays at the holder for requests that exceed the
 * credits of their gateway.
 */
const LENDABLE_SHARE = 0.5;
/** A gateway is lent the demand expected within two exchanges. */
const LENDING_HORIZON_MS = 500;
/**
 * Time constant for smoothing demand. It is long because within one second a gateway receives one or two requests of
 * a small organisation, or none.
 */
const DEMAND_SMOOTHING_MS = 5_000;
/** The quota becomes nearly exhausted when less than this share of the capacity is unspent. */
const NEARLY_EXHAUSTED_SHARE = 0.3;
/**
 * It stays nearly exhausted until this share is unspent again. The level fluctuates in a rush, and without this
 * hysteresis a gateway that last received a report of a high level would go on admitting by it.
 */
const RECOVERED_SHARE = 0.6;
/**
 * Credits of a gateway that has not reported use for so long are reclaimed. Gateways report their use until
 * `RECENT_USE_MS` after the last request.
 */
const RECLAIM_AFTER_MS = quotaCredits.RECENT_USE_MS + 1_000;
/** How often the sums are recomputed over all tallies. In between they are updated with each change. */
const SUM_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

type Tally = {
  incarnation: number;
  spent: number;
  asked: number;
  granted: number;
  /** Smoothed demand per second, as of `reportedAtMs`. */
  perSecond: number;
  reportedAtMs: number;
  /** The gateway's share of the rate while the holder receives no reports from it. */
  share: number;
};

/** Sums over the tallies of the gateways that report. */
type Sums = {
  atMs: number;
  lent: number;
  demandPerSecond: number;
  /** The share of the rate that silent gateways refill by themselves. */
  silentShare: number;
};

function unspentLoan(tally: Tally): number {
  return Math.max(0, tally.granted - tally.spent);
}

function currentDemand({ perSecond, reportedAtMs }: Tally, nowMs: number): number {
  return perSecond * Math.exp(-(nowMs - reportedAtMs) / DEMAND_SMOOTHING_MS);
}

function updateDemand(tally: Tally, demand: number, nowMs: number): void {
  const elapsedMs = Math.max(1, nowMs - tally.reportedAtMs);
  const latest = ((demand - tally.asked) * MS_PER_SECOND) / elapsedMs;
  const retainedShare = Math.exp(-elapsedMs / DEMAND_SMOOTHING_MS);
  tally.perSecond = retainedShare * tally.perSecond + (1 - retainedShare) * latest;
  tally.reportedAtMs = nowMs;
  tally.asked = demand;
}

/**
 * `startLimit` is the limit at creation; a later configuration may change it. `idleMs` is how long there has been no
 * demand.
 */
export function createQuotaBucket(
  startLimit: quotaCredits.OrganisationLimit,
  idleMs: number,
  startMs: number,
): QuotaBucket {
  const tallies = new Map<string, Tally>();
  const gainedBefore = (startLimit.perSecond * idleMs) / MS_PER_SECOND;
  /** Neither lent nor spent. Negative while a debt is outstanding. */
  let level = Math.min(
    startLimit.capacity,
    INITIAL_LEVEL_SHARE * startLimit.capacity + gainedBefore,
  );
  let filledMs = startMs;
  let wasNearlyExhausted = false;
  let sums: Sums = { atMs: -Infinity, lent: 0, demandPerSecond: 0, silentShare: 0 };

  function gatewayCountOf({ gatewayCount }: BucketContext): number {
    return Math.max(gatewayCount, tallies.size);
  }

  function equalShareOf(context: BucketContext): number {
    return quotaCredits.EQUAL_SHARE / gatewayCountOf(context);
  }

  /** Takes back the credits of gateways without recent demand, which stop counting on them by themselves. */
  function reclaimUnused(context: BucketContext): void {
    const { silentGateways, nowMs } = context;
    for (const [gatewayId, account] of tallies) {
      if (nowMs - account.reportedAtMs <= RECLAIM_AFTER_MS || silentGateways.has(gatewayId))
        continue;
      level += unspentLoan(account);
      account.granted = account.spent;
      account.share = equalShareOf(context);
    }
  }

  function recomputeSums(context: BucketContext): void {
    const { silentGateways, nowMs } = context;
    reclaimUnused(context);
    let lent = 0;
    let demand = 0;
    for (const [gatewayId, account] of tallies) {
      demand += currentDemand(account, nowMs);
      if (!silentGateways.has(gatewayId)) lent += unspentLoan(account);
    }
    let silentShare = 0;
    for (const gatewayId of silentGateways.keys()) {
      silentShare += tallies.get(gatewayId)?.share ?? equalShareOf(context);
    }
    sums = { atMs: nowMs, lent, demandPerSecond: demand, silentShare: Math.min(1, silentShare) };
  }

  /** Silent gateways refill their own share of the rate, and keep their share of the capacity. */
  function refill(context: BucketContext): void {
    const { nowMs } = context;
    const { perSecond, capacity } = context.limit;
    if (nowMs - sums.atMs >= SUM_INTERVAL_MS) recomputeSums(context);
    const reachableShare = 1 - sums.silentShare;
    const gained = (perSecond * reachableShare * (nowMs - filledMs)) / MS_PER_SECOND;
    const room = capacity * reachableShare - sums.lent;
    level = Math.min(level + gained, Math.max(0, room));
    filledMs = nowMs;
  }

  /** What has not been spent, lent or not. */
  function unspent({ capacity }: quotaCredits.OrganisationLimit): number {
    return Math.min(capacity, Math.max(0, level + sums.lent));
  }

  function tallyOf({ gatewayId, incarnation }: Gateway, nowMs: number): Tally {
    const known = tallies.get(gatewayId);
    if (known !== undefined && known.incarnation === incarnation) return known;
    // The gateway has restarted: the credits that its previous incarnation had left are free again.
    if (known !== undefined) {
      level += unspentLoan(known);
      sums.lent -= unspentLoan(known);
      sums.demandPerSecond -= currentDemand(known, nowMs);
    }
    const tally = {
      incarnation,
      spent: 0,
      asked: 0,
      granted: 0,
      perSecond: 0,
      reportedAtMs: nowMs - DEMAND_SMOOTHING_MS,
      share: 0,
    };
    tallies.set(gatewayId, tally);
    return tally;
  }

  /** Spending beyond what was lent, or refilled by the gateway itself while it was silent, becomes a debt. */
  function updateSpent(
    tally: Tally,
    spent: number,
    silentMs: number,
    context: BucketContext,
  ): void {
    const { perSecond, capacity } = context.limit;
    const gained = (tally.share * perSecond * silentMs) / MS_PER_SECOND;
    const mostGranted = spent + tally.share * capacity;
    tally.granted = Math.max(tally.granted, Math.min(tally.granted + gained, mostGranted));
    tally.spent = spent;
    const debt = Math.max(0, spent - tally.granted);
    level -= debt;
    tally.granted += debt;
  }

  /**
   * Lends the expected demand, up to the gateway's part of the unspent quota. A shortfall is covered whole or not at
   * all.
   */
  function lend(tally: Tally, shortfall: number, context: BucketContext): void {
    const demandPerSecond = currentDemand(tally, context.nowMs);
    const part = sums.demandPerSecond > 0 ? Math.min(1, demandPerSecond / sums.demandPerSecond) : 0;
    const expectedDemand = (demandPerSecond * LENDING_HORIZON_MS) / MS_PER_SECOND;
    const ahead = Math.min(expectedDemand, LENDABLE_SHARE * part * unspent(context.limit));
    const before = unspentLoan(tally);
    const most = before + Math.max(0, level);
    const lent = Math.min(most, shortfall <= most ? Math.max(shortfall, ahead) : ahead);
    level -= lent - before;
    sums.lent += lent - before;
    tally.granted = tally.spent + lent;
  }

  /** Sets the share by demand, as far as all shares together do not exceed the whole. */
  function updateShare(tally: Tally, context: BucketContext): void {
    const equalShare = equalShareOf(context);
    const hasDemand = sums.demandPerSecond > 0;
    const byDemand = hasDemand
      ? currentDemand(tally, context.nowMs) / sums.demandPerSecond
      : equalShare;
    const wantedShare = equalShare + (1 - quotaCredits.EQUAL_SHARE) * Math.min(1, byDemand);
    let othersShare = equalShare * (gatewayCountOf(context) - tallies.size);
    tallies.forEach((other) => {
      if (other !== tally) othersShare += other.share;
    });
    tally.share = Math.max(equalShare, Math.min(wantedShare, 1 - othersShare));
  }

  return {
    report: (gateway, use, context) => {
      const { nowMs, silentGateways } = context;
      refill(context);
      const tally = tallyOf(gateway, nowMs);
      const silentMs = silentGateways.get(gateway.gatewayId) ?? 0;
      const lentBefore = silentMs > 0 ? 0 : unspentLoan(tally);
      const demandBefore = currentDemand(tally, nowMs);
      updateSpent(tally, use.spent, silentMs, context);
      updateDemand(tally, use.asked, nowMs);
      sums.lent += unspentLoan(tally) - lentBefore;
      sums.demandPerSecond += tally.perSecond - demandBefore;
      lend(tally, use.lacking, context);
      updateShare(tally, context);
      return { granted: tally.granted, share: tally.share };
    },
    isNearlyExhausted: (context) => {
      refill(context);
      const share = wasNearlyExhausted ? RECOVERED_SHARE : NEARLY_EXHAUSTED_SHARE;
      wasNearlyExhausted = unspent(context.limit) < share * context.limit.capacity;
      return wasNearlyExhausted;
    },
    forget: (gatewayId) => {
      tallies.delete(gatewayId);
      sums.atMs = -Infinity;
    },
  };
}
