/**
 * The holder's side of the organisations' quotas: one bucket for each organisation, out of which gateways are lent
 * credits for what they are asked. Load: an organisation at several times its usual, asked for unevenly over gateways
 * that start, stop and fall silent. Harm prevented: more admitted by all together than the quota allows, or callers
 * refused below it because credits lie where nobody asks. What is lent can be spent once; what a gateway spent beyond
 * it is taken from the bucket; a gateway that is not heard keeps its part of the rate, and the others share the rest.
 */
import * as quotaCredits from './quota-credits.js';

export type Gateway = { gatewayId: string; incarnation: number };

export type QuotaLedger = {
  /** A gateway's counters, and in return how far it may go. */
  report: (
    gateway: Gateway,
    report: quotaCredits.QuotaReport,
    nowMs: number,
  ) => quotaCredits.QuotaLoan;
};

export type QuotaLedgerOptions = {
  /** Of the lease; a ledger is of one term. */
  term: number;
  startedMs: number;
  limitOf: (organisation: string) => quotaCredits.OrganisationLimit | null;
  gatewayCount: (nowMs: number) => number;
  unheardMs: number;
};

/** A new holder knows nothing of what was admitted just before. */
const START_LEVEL_SHARE = 0.25;
/** The rest is kept for gateways that are asked next. */
const LENT_SHARE = 0.8;
const HORIZON_MS = 1_000;
/** The part of the capacity that is dealt evenly, beside what is asked in a second. */
const IDLE_SHARE = 0.2;
/** The smoothing of what is asked: bursts of a second count. */
const RATE_TIME_MS = 1_000;
/** The part of the rate that is dealt evenly: what a gateway will be asked may change while it is not heard. */
const EVEN_SHARE = 0.3;
/** A gateway that has not been heard for so long has gone for good. */
const FORGOTTEN_MS = 20_000;
/** With less than this part of the capacity unspent nothing is admitted but what has been lent. */
const SCARCE_SHARE = 0.3;
/** A gateway tells of what it has been asked for this long after the last request. */
const UNUSED_MS = quotaCredits.RECENT_MS + 1_000;
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

type Bucket = {
  /** Neither lent nor spent; below zero after debts. */
  level: number;
  atMs: number;
  accounts: Map<string, Account>;
};

type Limit = quotaCredits.OrganisationLimit;

function sum<Item>(items: readonly Item[], of: (item: Item) => number): number {
  return items.reduce((total, item) => total + of(item), 0);
}

function lentTo(account: Account): number {
  return Math.max(0, account.granted - account.spent);
}

/** Lent or not, what has not been spent. */
function thereIs({ level, accounts }: Bucket, { capacity }: Limit): number {
  const unspent = level + sum([...accounts.values()], lentTo);
  return Math.min(capacity, Math.max(0, unspent));
}

function askedPerSecond({ perSecond, toldMs }: Account, nowMs: number): number {
  return perSecond * Math.exp(-(nowMs - toldMs) / RATE_TIME_MS);
}

function noteUse(
  bucket: Bucket,
  account: Account,
  use: quotaCredits.QuotaUse,
  nowMs: number,
): void {
  const elapsedMs = Math.max(1, nowMs - account.toldMs);
  const latest = ((use.asked - account.asked) * MS_PER_SECOND) / elapsedMs;
  const fadedShare = Math.exp(-elapsedMs / RATE_TIME_MS);
  account.perSecond = fadedShare * account.perSecond + (1 - fadedShare) * latest;
  account.toldMs = nowMs;
  account.asked = use.asked;
  account.spent = use.spent;
  const debt = Math.max(0, account.spent - account.granted);
  bucket.level -= debt;
  account.granted += debt;
}

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
  const buckets = new Map<string, Bucket>();
  const heardMs = new Map<string, number>();

  function silentMs(gatewayId: string, nowMs: number): number {
    const lastMs = heardMs.get(gatewayId) ?? nowMs;
    return Math.max(0, nowMs - lastMs - options.unheardMs);
  }

  function bucketOf(organisation: string, limit: Limit, nowMs: number): Bucket {
    const known = buckets.get(organisation);
    if (known !== undefined) return known;
    // Since the ledger's start nobody has asked for it.
    const gained = (limit.perSecond * (nowMs - options.startedMs)) / MS_PER_SECOND;
    const level = Math.min(limit.capacity, START_LEVEL_SHARE * limit.capacity + gained);
    const bucket = { level, atMs: nowMs, accounts: new Map<string, Account>() };
    buckets.set(organisation, bucket);
    return bucket;
  }

  /** What lies where nobody has asked for long; that gateway counts on it no longer. */
  function reclaimUnused(bucket: Bucket, nowMs: number): void {
    for (const [gatewayId, account] of bucket.accounts) {
      const isUnused = nowMs - account.toldMs > UNUSED_MS;
      if (!isUnused || silentMs(gatewayId, nowMs) > 0) continue;
      bucket.level += lentTo(account);
      account.granted = account.spent;
    }
  }

  /** Gateways that are not heard gain their part themselves, and may keep as much of what fits. */
  function refill(bucket: Bucket, limit: Limit, nowMs: number): void {
    reclaimUnused(bucket, nowMs);
    const silentIds = [...heardMs.keys()].filter((gatewayId) => silentMs(gatewayId, nowMs) > 0);
    const evenShare = 1 / options.gatewayCount(nowMs);
    const keptBy = (gatewayId: string) => bucket.accounts.get(gatewayId)?.share ?? evenShare;
    const kept = Math.min(1, sum(silentIds, keptBy));
    const gained = (limit.perSecond * (1 - kept) * (nowMs - bucket.atMs)) / MS_PER_SECOND;
    const heard = [...bucket.accounts].filter(([gatewayId]) => !silentIds.includes(gatewayId));
    const room = limit.capacity * (1 - kept) - sum(heard, ([, account]) => lentTo(account));
    bucket.level = Math.min(bucket.level + gained, Math.max(0, room));
    bucket.atMs = nowMs;
  }

  function openAccount(
    bucket: Bucket,
    { gatewayId, incarnation }: Gateway,
    nowMs: number,
  ): Account {
    const account = {
      incarnation,
      spent: 0,
      asked: 0,
      granted: 0,
      perSecond: 0,
      toldMs: nowMs - HORIZON_MS,
      share: 0,
    };
    const before = bucket.accounts.get(gatewayId);
    // What its earlier life had left is free again.
    if (before !== undefined) bucket.level += lentTo(before);
    bucket.accounts.set(gatewayId, account);
    return account;
  }

  function grant(
    bucket: Bucket,
    account: Account,
    limit: Limit,
    use: quotaCredits.QuotaUse,
    nowMs: number,
  ): void {
    const accounts = [...bucket.accounts.values()];
    const count = Math.max(options.gatewayCount(nowMs), accounts.length);
    const idle = (IDLE_SHARE * limit.capacity) / count;
    const wantedBy = (other: Account) =>
      (askedPerSecond(other, nowMs) * HORIZON_MS) / MS_PER_SECOND + idle;
    const part = wantedBy(account) / sum(accounts, wantedBy);
    const before = lentTo(account);
    // Where there is little it goes to who can run a request with it, in place of crumbs to all.
    const target = Math.max(use.lacking, LENT_SHARE * part * thereIs(bucket, limit));
    const lent = Math.min(target, before + Math.max(0, bucket.level));
    bucket.level -= lent - before;
    account.granted = account.spent + lent;
    const asked = sum(accounts, (other) => askedPerSecond(other, nowMs));
    const byDemand = asked > 0 ? askedPerSecond(account, nowMs) / asked : 1 / count;
    account.share = EVEN_SHARE / count + (1 - EVEN_SHARE) * byDemand;
  }

  function reportUse(
    gateway: Gateway,
    use: quotaCredits.QuotaUse,
    nowMs: number,
  ): readonly quotaCredits.QuotaGrant[] {
    const { organisation } = use;
    const limit = options.limitOf(organisation);
    if (limit === null) return [];
    const bucket = bucketOf(organisation, limit, nowMs);
    refill(bucket, limit, nowMs);
    const known = bucket.accounts.get(gateway.gatewayId);
    const isSame = known !== undefined && known.incarnation === gateway.incarnation;
    const account = isSame ? known : openAccount(bucket, gateway, nowMs);
    const gainedS = silentMs(gateway.gatewayId, nowMs) / MS_PER_SECOND;
    const gained = account.share * limit.perSecond * gainedS;
    const mostGranted = use.spent + account.share * limit.capacity;
    account.granted = Math.max(account.granted, Math.min(account.granted + gained, mostGranted));
    noteUse(bucket, account, use, nowMs);
    grant(bucket, account, limit, use, nowMs);
    return [{ organisation, granted: account.granted, share: account.share }];
  }

  function scarceOrganisations(nowMs: number): readonly string[] {
    return [...buckets].flatMap(([organisation, bucket]) => {
      const limit = options.limitOf(organisation);
      if (limit === null) return [];
      refill(bucket, limit, nowMs);
      return thereIs(bucket, limit) < SCARCE_SHARE * limit.capacity ? [organisation] : [];
    });
  }

  function forget(nowMs: number): void {
    for (const [gatewayId, lastMs] of heardMs) {
      if (nowMs - lastMs <= FORGOTTEN_MS) continue;
      heardMs.delete(gatewayId);
      buckets.forEach(({ accounts }) => accounts.delete(gatewayId));
    }
  }

  return {
    report: (gateway, { term, uses }, nowMs) => {
      forget(nowMs);
      // Counts of another term say nothing of this one.
      const isOfTerm = term === 0 || term === options.term;
      const grants = (isOfTerm ? uses : []).flatMap((use) => reportUse(gateway, use, nowMs));
      heardMs.set(gateway.gatewayId, nowMs);
      return { term: options.term, grants, scarce: scarceOrganisations(nowMs) };
    },
  };
}
