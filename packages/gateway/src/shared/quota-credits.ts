/**
 * What this gateway may still admit of each organisation's quota. The lease holder lends credits to each gateway out
 * of the one quota (`quota-bucket.ts`), and a request that exceeds the credits here asks the holder for the
 * shortfall. Were the quota divided equally instead, organisations whose few connections reach few gateways would be
 * refused below their quota; were the whole enforced at each gateway, each would admit it once. While the holder does
 * not answer, a gateway refills its own share of the rate, which the holder leaves to it.
 */
import type { randoms } from '@copperlever/runtime';

export type OrganisationLimit = {
  perSecond: number;
  /** Maximum that all gateways together may admit at once. */
  capacity: number;
};

export type Refusal = { kind: 'refused'; retryAfterMs: number; creditLeft: number };

export type Decision =
  | { kind: 'admitted' }
  | Refusal
  /** The holder must be asked. `settle` decides by its reply. */
  | { kind: 'undecided' };

/**
 * Outcome of asking the holder. `unaware`: it replied, but does not know of a quota for that organisation yet.
 */
export type HolderOutcome = 'answered' | 'unaware' | 'silent';

/** Cumulative counters within a holder's term, so that a lost message loses no use. */
export type QuotaUse = {
  organisation: string;
  /** Cost of the admitted requests, less those that did not run after all. */
  spent: number;
  /** Cost of all requests, admitted or refused. */
  asked: number;
  /** Cost of the requests that wait for the holder's reply. */
  lacking: number;
};

export type QuotaGrant = {
  organisation: string;
  /** Maximum that `spent` may reach. */
  granted: number;
  /** This gateway's share of the rate while it receives no replies from the holder. */
  share: number;
};

export type QuotaReport = {
  /**
   * The holder's term in which the uses were counted. 0 if no holder has replied yet: then they count from the start.
   */
  term: number;
  uses: readonly QuotaUse[];
};

/** The holder's reply to a report. */
export type QuotaLoan = {
  term: number;
  /** For the organisations in the report. */
  grants: readonly QuotaGrant[];
  /** Organisations whose quota is nearly exhausted. */
  scarce: readonly string[];
};

export type Charge = {
  cost: number;
  /**
   * Whether its latency objective has passed. When an organisation exceeds its quota several times over and refused
   * callers retry, each late request that is admitted uses the credits of one that would be in time.
   */
  isLate: boolean;
};

export type QuotaCredits = {
  take: (
    organisation: string,
    limit: OrganisationLimit,
    request: Charge,
    nowMs: number,
  ) => Decision;
  /** The report to send to the holder for an undecided request. */
  reportFor: (organisation: string) => QuotaReport;
  /** Decides an undecided request. A reply, if there was one, must have been passed to `applyLoan` before. */
  settle: (
    organisation: string,
    limit: OrganisationLimit,
    cost: number,
    reply: HolderOutcome,
    nowMs: number,
  ) => Exclude<Decision, { kind: 'undecided' }>;
  /** Refunds a request that was admitted but did not run. */
  refund: (organisation: string, cost: number) => void;
  /** Recent use, for the holder. It already knows of earlier use. */
  report: (nowMs: number) => QuotaReport;
  applyLoan: (loan: QuotaLoan, nowMs: number) => void;
  /**
   * Applies the nearly exhausted organisations that a holder has stored. A gateway that starts reads them before it
   * receives any message.
   */
  applyStored: (scarce: readonly string[]) => void;
  /** Time since the holder's last reply; null if there was none. */
  ageMs: (nowMs: number) => number | null;
};

/**
 * After so long without a reply a gateway uses its own share of the rate, and the holder no longer lends that share.
 */
export const HOLDER_TIMEOUT_MS = 1_000;
/**
 * The part of the rate that is divided equally, because a gateway's demand may change while it cannot reach the
 * holder.
 */
export const EQUAL_SHARE = 0.5;
/**
 * Overdraft of a gateway that loses the holder, granted once, as the time in which its share of the rate makes up for
 * it. All gateways together then exceed the quota by one second's rate; much more would break it.
 */
const OVERDRAFT_MS = 1_000;
/**
 * In a new fleet, where no quota has been used yet, the first request at a gateway may cost so many times its share.
 * Until the lease is taken each gateway assumes a large fleet, and a small organisation's request exceeds its share.
 */
const NEW_FLEET_REQUEST_PARTS = 4;
/** Use within this time is reported. Several exchanges fit into it. */
export const RECENT_USE_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 10_000;
/** Tolerance for rounding errors in sums of fractions. */
const ROUNDING_TOLERANCE = 1e-6;

type Tally = {
  spent: number;
  asked: number;
  lacking: number;
  granted: number;
  share: number;
  /** The holder could not cover a request. It is not asked again before the next exchange. */
  isDenied: boolean;
  /** The part of `granted` that a gateway starts with. */
  initialGrant: number;
  /** The time up to which the share of the rate has been added. */
  refilledMs: number;
  lastRequestedMs: number;
};

/** The gateway's share of the capacity. */
function capacityShareOf({ share }: Tally, { capacity }: OrganisationLimit): number {
  return share * capacity;
}

function creditOf({ granted, spent }: Tally): number {
  return granted - spent;
}

/** `gatewayCount`: the live gateways, including this one. */
export function createQuotaCredits(
  gatewayCount: (nowMs: number) => number,
  random: Pick<randoms.Random, 'fraction'>,
): QuotaCredits {
  const tallies = new Map<string, Tally>();
  let lastReceivedMs: number | null = null;
  let holderTerm = 0;
  /** The holder has not replied to a request, and no reply has been received since. */
  let isHolderSilent = false;
  let nearlyExhausted: ReadonlySet<string> = new Set();
  let storedNearlyExhausted: ReadonlySet<string> | null = null;

  function isHolderReachable(nowMs: number): boolean {
    return lastReceivedMs !== null && !isHolderSilent && nowMs - lastReceivedMs < HOLDER_TIMEOUT_MS;
  }

  /**
   * The share that applies where the holder has not granted one. Once a holder has replied, it divides the rest by
   * demand.
   */
  function equalShare(nowMs: number): number {
    return (holderTerm === 0 ? 1 : EQUAL_SHARE) / gatewayCount(nowMs);
  }

  function tallyOf(organisation: string, nowMs: number): Tally {
    const known = tallies.get(organisation);
    if (known !== undefined) return known;
    const tally = {
      spent: 0,
      asked: 0,
      lacking: 0,
      granted: 0,
      share: equalShare(nowMs),
      isDenied: false,
      initialGrant: 0,
      refilledMs: nowMs,
      lastRequestedMs: nowMs,
    };
    tallies.set(organisation, tally);
    return tally;
  }

  function usesOf(organisations: readonly string[]): readonly QuotaUse[] {
    return organisations.flatMap((organisation) => {
      const tally = tallies.get(organisation);
      if (tally === undefined) return [];
      const { spent, asked, lacking } = tally;
      return [{ organisation, spent, asked, lacking }];
    });
  }

  /**
   * A new holder knows nothing of the previous term. Remaining credits are kept, and spending counts from zero.
   */
  function resetCounts(tally: Tally): void {
    tally.granted -= tally.spent;
    tally.spent = 0;
    tally.asked = 0;
  }

  /**
   * Sets the credits of a gateway that has received nothing from any holder. They are adjusted as it learns of other
   * gateways: a gateway that kept its first estimate while it knew of no other would claim the whole quota.
   */
  function grantInitial(tally: Tally, limit: OrganisationLimit, nowMs: number): void {
    tally.share = equalShare(nowMs);
    tally.granted += capacityShareOf(tally, limit) - tally.initialGrant;
    tally.initialGrant = capacityShareOf(tally, limit);
  }

  /** Adds the share of the rate for the time since the last reply of the holder. */
  function refill(tally: Tally, limit: OrganisationLimit, nowMs: number): void {
    const fromMs = Math.max(tally.refilledMs, lastReceivedMs ?? -Infinity);
    if (nowMs <= fromMs) return;
    const gained = (limit.perSecond * tally.share * (nowMs - fromMs)) / MS_PER_SECOND;
    const mostGranted = tally.spent + capacityShareOf(tally, limit);
    tally.granted = Math.max(tally.granted, Math.min(mostGranted, tally.granted + gained));
    tally.refilledMs = nowMs;
  }

  /** By the holder's last reply, or by the stored record if there has been no reply yet. */
  function isNearlyExhausted(organisation: string): boolean {
    const known = holderTerm === 0 ? storedNearlyExhausted : nearlyExhausted;
    return known?.has(organisation) ?? false;
  }

  /**
   * How far below zero the credits of a gateway without a holder may go, once. None if the quota was nearly
   * exhausted. Otherwise half of the unspent quota stayed at the holder (`quota-bucket.ts`) and cannot be reached.
   */
  function overdraftOf(organisation: string, tally: Tally, limit: OrganisationLimit): number {
    const isKnown = holderTerm !== 0 || storedNearlyExhausted !== null;
    if (!isKnown || isNearlyExhausted(organisation)) return 0;
    return (limit.perSecond * tally.share * OVERDRAFT_MS) / MS_PER_SECOND;
  }

  /**
   * Without a holder, in a rush of an organisation whose share at each gateway is smaller than one request, gateways
   * would together admit several times the quota if each admitted one request on credit, or none at all. So the
   * remaining credit buys a proportional chance of admitting a whole request. An admitted request leaves a debt: were
   * the credit raised to its cost instead, chance alone could exceed the quota in an outage of some seconds.
   */
  function isAdmittedByDraw(tally: Tally, overdraft: number, cost: number): boolean {
    const left = creditOf(tally) + overdraft;
    if (left <= 0) return false;
    if (random.fraction() < left / cost) return true;
    tally.granted = tally.spent - overdraft;
    return false;
  }

  /** The time until the share of the rate has made up for the shortfall. */
  function retryAfterMs(tally: Tally, limit: OrganisationLimit, shortfall: number): number {
    const perMs = (limit.perSecond * tally.share) / MS_PER_SECOND;
    const inMs = shortfall / Math.max(perMs, Number.MIN_VALUE);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, inMs));
  }

  function refuse(tally: Tally, limit: OrganisationLimit, cost: number): Refusal {
    const creditLeft = creditOf(tally);
    const inMs = retryAfterMs(tally, limit, cost - creditLeft);
    return { kind: 'refused', retryAfterMs: inMs, creditLeft };
  }

  function isCovered(tally: Tally, overdraft: number, cost: number): boolean {
    return creditOf(tally) + overdraft >= cost - ROUNDING_TOLERANCE;
  }

  function spend(tally: Tally, cost: number): { kind: 'admitted' } {
    tally.spent += cost;
    return { kind: 'admitted' };
  }

  /** No holder has replied and none has stored a record, so nothing has been admitted before. */
  function isNewFleet(): boolean {
    return holderTerm === 0 && storedNearlyExhausted === null;
  }

  /** Decides without the holder. */
  function decideWithoutHolder(
    organisation: string,
    tally: Tally,
    limit: OrganisationLimit,
    cost: number,
    nowMs: number,
    isUnaware = false,
  ): { kind: 'admitted' } | Refusal {
    refill(tally, limit, nowMs);
    // The holder lends nothing from a quota that it does not know of yet, so the gateway uses its initial credits.
    if (holderTerm === 0 || isUnaware) grantInitial(tally, limit, nowMs);
    const overdraft = isUnaware ? 0 : overdraftOf(organisation, tally, limit);
    const part = capacityShareOf(tally, limit);
    const isOnCredit = () =>
      isNewFleet()
        ? tally.spent === 0 && cost <= NEW_FLEET_REQUEST_PARTS * part
        : cost > part && isAdmittedByDraw(tally, overdraft, cost);
    const isAdmitted = isCovered(tally, overdraft, cost) || isOnCredit();
    return isAdmitted ? spend(tally, cost) : refuse(tally, limit, cost);
  }

  /** The holder reclaims credits that have been unused for so long. */
  function dropUnused(tally: Tally, nowMs: number): void {
    if (nowMs - tally.lastRequestedMs <= RECENT_USE_MS) return;
    tally.granted = Math.min(tally.granted, tally.spent);
    tally.share = equalShare(nowMs);
  }

  return {
    take: (organisation, limit, { cost, isLate }, nowMs) => {
      const tally = tallyOf(organisation, nowMs);
      if (isHolderReachable(nowMs)) dropUnused(tally, nowMs);
      tally.asked += cost;
      tally.lastRequestedMs = nowMs;
      if (isLate && isNearlyExhausted(organisation)) return refuse(tally, limit, cost);
      if (!isHolderReachable(nowMs))
        return decideWithoutHolder(organisation, tally, limit, cost, nowMs);
      // Credits here are reserved for the requests that already wait for their shortfall.
      if (isCovered(tally, -tally.lacking, cost)) return spend(tally, cost);
      if (tally.isDenied) return refuse(tally, limit, cost);
      tally.lacking += cost;
      return { kind: 'undecided' };
    },
    reportFor: (organisation) => ({ term: holderTerm, uses: usesOf([organisation]) }),
    settle: (organisation, limit, cost, reply, nowMs) => {
      const tally = tallyOf(organisation, nowMs);
      tally.lacking = Math.max(0, tally.lacking - cost);
      if (reply === 'silent') isHolderSilent = true;
      if (reply !== 'answered') {
        return decideWithoutHolder(organisation, tally, limit, cost, nowMs, reply === 'unaware');
      }
      if (isCovered(tally, 0, cost)) return spend(tally, cost);
      tally.isDenied = true;
      return refuse(tally, limit, cost);
    },
    refund: (organisation, cost) => {
      const tally = tallies.get(organisation);
      if (tally !== undefined) tally.spent -= cost;
    },
    report: (nowMs) => {
      const recent = [...tallies].filter(
        ([, { lastRequestedMs }]) => nowMs - lastRequestedMs < RECENT_USE_MS,
      );
      return { term: holderTerm, uses: usesOf(recent.map(([organisation]) => organisation)) };
    },
    applyLoan: (loan, nowMs) => {
      if (holderTerm !== 0 && loan.term !== holderTerm) tallies.forEach(resetCounts);
      holderTerm = loan.term;
      lastReceivedMs = nowMs;
      isHolderSilent = false;
      nearlyExhausted = new Set(loan.scarce);
      loan.grants.forEach(({ organisation, granted, share }) => {
        const tally = tallies.get(organisation);
        if (tally === undefined) return;
        tally.granted = granted;
        tally.share = share;
        tally.isDenied = false;
      });
    },
    applyStored: (stored) => {
      storedNearlyExhausted = new Set(stored);
    },
    ageMs: (nowMs) => (lastReceivedMs === null ? null : nowMs - lastReceivedMs),
  };
}
