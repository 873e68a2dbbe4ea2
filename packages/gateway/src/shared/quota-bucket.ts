/** One organisation's quota at the holder of the lease: what is left of it, and what gateways have been lent. */
import * as quotaCredits from './quota-credits.js';

export type Gateway = { gatewayId: string; incarnation: number };

/** Gateways that have not been heard, and since how long they count on their part of the rate. */
export type Silences = ReadonlyMap<string, number>;

/** What the bucket is told with each question. */
export type BucketView = {
  limit: quotaCredits.OrganisationLimit;
  gatewayCount: number;
  silences: Silences;
  nowMs: number;
};

export type QuotaBucket = {
  report: (
    gateway: Gateway,
    use: quotaCredits.QuotaUse,
    view: BucketView,
  ) => Omit<quotaCredits.QuotaGrant, 'organisation'>;
  /** Nearly used up. */
  isScarce: (view: BucketView) => boolean;
  forget: (gatewayId: string) => void;
};

/** A new holder knows nothing of what was admitted just before: it counts on half of the capacity. */
const START_LEVEL_SHARE = 0.5;
/** The rest stays at the holder, for requests that find too few credits at their gateway. */
const LENT_SHARE = 0.5;
/** A gateway is lent what it will be asked for within two exchanges. */
const LENT_AHEAD_MS = 500;
/** The smoothing of what is asked: in a second a gateway has one or two requests of a small organisation, or none. */
const RATE_TIME_MS = 5_000;
/** With less than this part of the capacity unspent the quota is scarce, */
const SCARCE_SHARE = 0.3;
/** and until this much is: in a rush it hovers, and a gateway that last heard of a moment of plenty would go on from it. */
const PLENTY_SHARE = 0.6;
/** A gateway tells of what it has been asked for this long after the last request. */
const UNUSED_MS = quotaCredits.RECENT_MS + 1_000;
/** How often all accounts are gone through; in between their sums follow each change. */
const SUMMED_MS = 100;
const MS_PER_SECOND = 1_000;

type Account = {
  incarnation: number;
  spent: number;
  asked: number;
  granted: number;
  /** What is asked for, per second, as of `toldMs`. */
  perSecond: number;
  toldMs: number;
  /** Its part of the rate while it is not heard. */
  share: number;
};

/** Over the accounts of gateways that are heard. */
type Sums = {
  atMs: number;
  lent: number;
  askedPerSecond: number;
  /** The part of the rate that gateways which are not heard gain themselves. */
  keptShare: number;
};

function lentTo(account: Account): number {
  return Math.max(0, account.granted - account.spent);
}

function askedPerSecond({ perSecond, toldMs }: Account, nowMs: number): number {
  return perSecond * Math.exp(-(nowMs - toldMs) / RATE_TIME_MS);
}

function noteAsked(account: Account, asked: number, nowMs: number): void {
  const elapsedMs = Math.max(1, nowMs - account.toldMs);
  const latest = ((asked - account.asked) * MS_PER_SECOND) / elapsedMs;
  const fadedShare = Math.exp(-elapsedMs / RATE_TIME_MS);
  account.perSecond = fadedShare * account.perSecond + (1 - fadedShare) * latest;
  account.toldMs = nowMs;
  account.asked = asked;
}

/** `startLimit`: in force as it is made; a later configuration may change it. `unaskedMs`: nobody has asked for so long. */
export function createQuotaBucket(
  startLimit: quotaCredits.OrganisationLimit,
  unaskedMs: number,
  startMs: number,
): QuotaBucket {
  const accounts = new Map<string, Account>();
  const gainedBefore = (startLimit.perSecond * unaskedMs) / MS_PER_SECOND;
  /** Neither lent nor spent; below zero after debts. */
  let level = Math.min(startLimit.capacity, START_LEVEL_SHARE * startLimit.capacity + gainedBefore);
  let filledMs = startMs;
  let isScarce = false;
  let sums: Sums = { atMs: -Infinity, lent: 0, askedPerSecond: 0, keptShare: 0 };

  function fleetSize({ gatewayCount }: BucketView): number {
    return Math.max(gatewayCount, accounts.size);
  }

  function evenShare(view: BucketView): number {
    return quotaCredits.EVEN_SHARE / fleetSize(view);
  }

  /** What lies where nobody has asked for long; that gateway counts on it no longer. */
  function reclaimUnused(view: BucketView): void {
    const { silences, nowMs } = view;
    for (const [gatewayId, account] of accounts) {
      if (nowMs - account.toldMs <= UNUSED_MS || silences.has(gatewayId)) continue;
      level += lentTo(account);
      account.granted = account.spent;
      account.share = evenShare(view);
    }
  }

  function sumUp(view: BucketView): void {
    const { silences, nowMs } = view;
    reclaimUnused(view);
    let lent = 0;
    let asked = 0;
    for (const [gatewayId, account] of accounts) {
      asked += askedPerSecond(account, nowMs);
      if (!silences.has(gatewayId)) lent += lentTo(account);
    }
    let keptShare = 0;
    for (const gatewayId of silences.keys()) {
      keptShare += accounts.get(gatewayId)?.share ?? evenShare(view);
    }
    sums = { atMs: nowMs, lent, askedPerSecond: asked, keptShare: Math.min(1, keptShare) };
  }

  /** Gateways that are not heard gain their part themselves, and may keep as much of what fits. */
  function refill(view: BucketView): void {
    const { nowMs } = view;
    const { perSecond, capacity } = view.limit;
    if (nowMs - sums.atMs >= SUMMED_MS) sumUp(view);
    const heardShare = 1 - sums.keptShare;
    const gained = (perSecond * heardShare * (nowMs - filledMs)) / MS_PER_SECOND;
    const room = capacity * heardShare - sums.lent;
    level = Math.min(level + gained, Math.max(0, room));
    filledMs = nowMs;
  }

  /** Lent or not, what has not been spent. */
  function unspent({ capacity }: quotaCredits.OrganisationLimit): number {
    return Math.min(capacity, Math.max(0, level + sums.lent));
  }

  function accountOf({ gatewayId, incarnation }: Gateway, nowMs: number): Account {
    const known = accounts.get(gatewayId);
    if (known !== undefined && known.incarnation === incarnation) return known;
    // What its earlier life had left is free again.
    if (known !== undefined) {
      level += lentTo(known);
      sums.lent -= lentTo(known);
      sums.askedPerSecond -= askedPerSecond(known, nowMs);
    }
    const account = {
      incarnation,
      spent: 0,
      asked: 0,
      granted: 0,
      perSecond: 0,
      toldMs: nowMs - RATE_TIME_MS,
      share: 0,
    };
    accounts.set(gatewayId, account);
    return account;
  }

  /** What was spent beyond what had been lent, or gained while the gateway was not heard, is a debt. */
  function noteSpent(account: Account, spent: number, silentMs: number, view: BucketView): void {
    const { perSecond, capacity } = view.limit;
    const gained = (account.share * perSecond * silentMs) / MS_PER_SECOND;
    const mostGranted = spent + account.share * capacity;
    account.granted = Math.max(account.granted, Math.min(account.granted + gained, mostGranted));
    account.spent = spent;
    const debt = Math.max(0, spent - account.granted);
    level -= debt;
    account.granted += debt;
  }

  /** What it will be asked for soon, up to its part of what there is; the whole of what its requests lack, or nothing. */
  function lend(account: Account, lacking: number, view: BucketView): void {
    const asked = askedPerSecond(account, view.nowMs);
    const part = sums.askedPerSecond > 0 ? Math.min(1, asked / sums.askedPerSecond) : 0;
    const soonAsked = (asked * LENT_AHEAD_MS) / MS_PER_SECOND;
    const ahead = Math.min(soonAsked, LENT_SHARE * part * unspent(view.limit));
    const before = lentTo(account);
    const most = before + Math.max(0, level);
    const lent = Math.min(most, lacking <= most ? Math.max(lacking, ahead) : ahead);
    level -= lent - before;
    sums.lent += lent - before;
    account.granted = account.spent + lent;
  }

  /** By demand, as far as all parts together are no more than the whole. */
  function noteShare(account: Account, view: BucketView): void {
    const even = evenShare(view);
    const isAsked = sums.askedPerSecond > 0;
    const byDemand = isAsked ? askedPerSecond(account, view.nowMs) / sums.askedPerSecond : even;
    const wanted = even + (1 - quotaCredits.EVEN_SHARE) * Math.min(1, byDemand);
    let others = even * (fleetSize(view) - accounts.size);
    accounts.forEach((other) => {
      if (other !== account) others += other.share;
    });
    account.share = Math.max(even, Math.min(wanted, 1 - others));
  }

  return {
    report: (gateway, use, view) => {
      const { nowMs, silences } = view;
      refill(view);
      const account = accountOf(gateway, nowMs);
      const silentMs = silences.get(gateway.gatewayId) ?? 0;
      const lentBefore = silentMs > 0 ? 0 : lentTo(account);
      const askedBefore = askedPerSecond(account, nowMs);
      noteSpent(account, use.spent, silentMs, view);
      noteAsked(account, use.asked, nowMs);
      sums.lent += lentTo(account) - lentBefore;
      sums.askedPerSecond += account.perSecond - askedBefore;
      lend(account, use.lacking, view);
      noteShare(account, view);
      return { granted: account.granted, share: account.share };
    },
    isScarce: (view) => {
      refill(view);
      const share = isScarce ? PLENTY_SHARE : SCARCE_SHARE;
      isScarce = unspent(view.limit) < share * view.limit.capacity;
      return isScarce;
    },
    forget: (gatewayId) => {
      accounts.delete(gatewayId);
      sums.atMs = -Infinity;
    },
  };
}
