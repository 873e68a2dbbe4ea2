/**
 * What this gateway may still admit of each organisation's quota. Load: one organisation sends several times its
 * usual through all gateways, or a few requests a second through few of them. Harm prevented: gateways that each
 * enforce an equal part refuse the callers of an organisation whose few connections meet few gateways; gateways that
 * enforce the whole admit it once each. The holder of the lease lends each gateway credits out of the one quota
 * (`quota-bucket.ts`); a request that finds too few asks the holder for what it lacks. While the holder does not answer, a
 * gateway gains its part of the rate, which the holder leaves to it.
 */
import type { randoms } from '@copperlever/runtime';

export type OrganisationLimit = {
  perSecond: number;
  /** What all gateways together may admit at once. */
  capacity: number;
};

export type Refusal = { kind: 'refused'; retryAfterMs: number; creditLeft: number };

export type Verdict =
  | { kind: 'admitted' }
  | Refusal
  /** The holder is to be asked; `settle` decides by its answer. */
  | { kind: 'undecided' };

/** What came of the question to the holder. `unaware`: it answered, and knows of no quota of that organisation yet. */
export type HolderAnswer = 'answered' | 'unaware' | 'silent';

/** Counters of a holder's term, so that a lost message loses nothing. */
export type QuotaUse = {
  organisation: string;
  /** What has been admitted, less what was not run after all. */
  spent: number;
  /** What has been asked for, refused or not. */
  asked: number;
  /** The cost of the requests that wait for the holder's answer. */
  lacking: number;
};

export type QuotaGrant = {
  organisation: string;
  /** How far `spent` may go. */
  granted: number;
  /** This gateway's part of the rate while the holder is not heard. */
  share: number;
};

export type QuotaReport = {
  /** The holder's term since which is counted; 0 for since the start, where none has been heard. */
  term: number;
  uses: readonly QuotaUse[];
};

/** What the holder answers. */
export type QuotaLoan = {
  term: number;
  /** For the organisations that it was told of. */
  grants: readonly QuotaGrant[];
  /** Those whose quota is nearly used up. */
  scarce: readonly string[];
};

export type Charge = {
  cost: number;
  /**
   * Its latency objective has passed. Load: an organisation at several times its quota, whose refused callers come
   * back. Harm prevented: each of these that is admitted is late, and takes the credits of one that would be in time.
   */
  isLate: boolean;
};

export type QuotaCredits = {
  take: (organisation: string, limit: OrganisationLimit, request: Charge, nowMs: number) => Verdict;
  /** The report to ask the holder with, for an undecided request. */
  question: (organisation: string) => QuotaReport;
  /** Decides an undecided request; the answer, if there was one, has been passed to `heard`. */
  settle: (
    organisation: string,
    limit: OrganisationLimit,
    cost: number,
    answer: HolderAnswer,
    nowMs: number,
  ) => Exclude<Verdict, { kind: 'undecided' }>;
  /** What was admitted did not run. */
  giveBack: (organisation: string, cost: number) => void;
  /** What has been used lately, to tell the holder, which knows of the rest. */
  report: (nowMs: number) => QuotaReport;
  heard: (loan: QuotaLoan, nowMs: number) => void;
  /** What a holder has written down as scarce: a gateway that starts reads it before it hears anyone. */
  noteWritten: (scarce: readonly string[]) => void;
  /** Since the holder last answered; null if never. */
  ageMs: (nowMs: number) => number | null;
};

/** After so long without the holder a gateway counts on its part of the rate, and the holder leaves it alone. */
export const UNHEARD_MS = 1_000;
/** The part of the rate that is dealt evenly: what a gateway will be asked for while it is not heard may change. */
export const EVEN_SHARE = 0.5;
/**
 * What a gateway that loses the holder may go beyond its credits, once, as the time in which its part of the rate makes up
 * for it. Much more would break the quota: all gateways together go beyond it by a second's rate then.
 */
const SPARE_MS = 1_000;
/**
 * In a fleet that has just been set up, with nothing used yet, the first request at a gateway may cost so many parts. Until the
 * lease is taken each gateway assumes that the fleet is large, and the request of a small organisation is more than its part.
 */
const NEW_FLEET_PARTS = 4;
/** Told in several exchanges by then. */
export const RECENT_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 10_000;
/** Sums of fractions miss a cost by less. */
const ROUNDING = 1e-6;

type Account = {
  spent: number;
  asked: number;
  lacking: number;
  granted: number;
  share: number;
  /** The holder had too little for a request; not asked again before the next exchange. */
  isDenied: boolean;
  /** The part of `granted` that a gateway starts with. */
  startGranted: number;
  /** Until when the part of the rate has been added. */
  refilledMs: number;
  lastMs: number;
};

/** Its part of the capacity. */
function partOf({ share }: Account, { capacity }: OrganisationLimit): number {
  return share * capacity;
}

function creditOf({ granted, spent }: Account): number {
  return granted - spent;
}

/** `gatewayCount`: gateways that live, this one among them. */
export function createQuotaCredits(
  gatewayCount: (nowMs: number) => number,
  random: Pick<randoms.Random, 'fraction'>,
): QuotaCredits {
  const accounts = new Map<string, Account>();
  let heardMs: number | null = null;
  let heardTerm = 0;
  /** The holder left a question unanswered, and has not been heard since. */
  let isSilent = false;
  let scarce: ReadonlySet<string> = new Set();
  let writtenScarce: ReadonlySet<string> | null = null;

  function isHeard(nowMs: number): boolean {
    return heardMs !== null && !isSilent && nowMs - heardMs < UNHEARD_MS;
  }

  /** Where the holder has given no share. Once it is heard it deals the rest by demand. */
  function evenShare(nowMs: number): number {
    return (heardTerm === 0 ? 1 : EVEN_SHARE) / gatewayCount(nowMs);
  }

  function accountOf(organisation: string, nowMs: number): Account {
    const known = accounts.get(organisation);
    if (known !== undefined) return known;
    const account = {
      spent: 0,
      asked: 0,
      lacking: 0,
      granted: 0,
      share: evenShare(nowMs),
      isDenied: false,
      startGranted: 0,
      refilledMs: nowMs,
      lastMs: nowMs,
    };
    accounts.set(organisation, account);
    return account;
  }

  function usesOf(organisations: readonly string[]): readonly QuotaUse[] {
    return organisations.flatMap((organisation) => {
      const account = accounts.get(organisation);
      if (account === undefined) return [];
      const { spent, asked, lacking } = account;
      return [{ organisation, spent, asked, lacking }];
    });
  }

  /** A new holder knows nothing of the time before: what is left is kept, and what is spent counts from now on. */
  function countAnew(account: Account): void {
    account.granted -= account.spent;
    account.spent = 0;
    account.asked = 0;
  }

  /**
   * What a gateway has before it has heard any holder. It learns meanwhile how many others there are: with the first
   * guess for good, one that knew of nobody else would count on the whole for itself.
   */
  function grantStart(account: Account, limit: OrganisationLimit, nowMs: number): void {
    account.share = evenShare(nowMs);
    account.granted += partOf(account, limit) - account.startGranted;
    account.startGranted = partOf(account, limit);
  }

  /** Adds the part of the rate for the time since the holder was heard. */
  function refill(account: Account, limit: OrganisationLimit, nowMs: number): void {
    const fromMs = Math.max(account.refilledMs, heardMs ?? -Infinity);
    if (nowMs <= fromMs) return;
    const gained = (limit.perSecond * account.share * (nowMs - fromMs)) / MS_PER_SECOND;
    const mostGranted = account.spent + partOf(account, limit);
    account.granted = Math.max(account.granted, Math.min(mostGranted, account.granted + gained));
    account.refilledMs = nowMs;
  }

  /** As last heard, or read by a gateway that has heard nobody yet. */
  function isKnownScarce(organisation: string): boolean {
    const known = heardTerm === 0 ? writtenScarce : scarce;
    return known?.has(organisation) ?? false;
  }

  /**
   * How far a gateway on its own may go below zero, once, unless the quota was scarce: half of what was not used lay at
   * the holder (`quota-bucket.ts`), and is out of reach.
   */
  function spareOf(organisation: string, account: Account, limit: OrganisationLimit): number {
    const isKnown = heardTerm !== 0 || writtenScarce !== null;
    if (!isKnown || isKnownScarce(organisation)) return 0;
    return (limit.perSecond * account.share * SPARE_MS) / MS_PER_SECOND;
  }

  /**
   * Load: gateways without a holder, and a rush of an organisation whose part at each of them is less than a request.
   * Harm prevented: each gateway admits one on credit, and together several times the quota; or none ever does. So the
   * credit buys a chance of a whole request. What is admitted is a debt: were its credit made up to its cost instead,
   * chance alone could exceed the quota in an outage of some seconds.
   */
  function isDrawn(account: Account, spare: number, cost: number): boolean {
    const left = creditOf(account) + spare;
    if (left <= 0) return false;
    if (random.fraction() < left / cost) return true;
    account.granted = account.spent - spare;
    return false;
  }

  /** Until its part of the rate has made up for what is lacking. */
  function retryAfterMs(account: Account, limit: OrganisationLimit, lacking: number): number {
    const perMs = (limit.perSecond * account.share) / MS_PER_SECOND;
    const inMs = lacking / Math.max(perMs, Number.MIN_VALUE);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, inMs));
  }

  function refuse(account: Account, limit: OrganisationLimit, cost: number): Refusal {
    const creditLeft = creditOf(account);
    const inMs = retryAfterMs(account, limit, cost - creditLeft);
    return { kind: 'refused', retryAfterMs: inMs, creditLeft };
  }

  function isCovered(account: Account, spare: number, cost: number): boolean {
    return creditOf(account) + spare >= cost - ROUNDING;
  }

  function spend(account: Account, cost: number): { kind: 'admitted' } {
    account.spent += cost;
    return { kind: 'admitted' };
  }

  /** No holder has been heard, nor has any written down what was scarce: nothing has been admitted before. */
  function isNewFleet(): boolean {
    return heardTerm === 0 && writtenScarce === null;
  }

  /** Without the holder. */
  function decideAlone(
    organisation: string,
    account: Account,
    limit: OrganisationLimit,
    cost: number,
    nowMs: number,
    isUnaware = false,
  ): { kind: 'admitted' } | Refusal {
    refill(account, limit, nowMs);
    // Of a quota that the holder has not got yet nobody has lent: a gateway has what it would start with.
    if (heardTerm === 0 || isUnaware) grantStart(account, limit, nowMs);
    const spare = isUnaware ? 0 : spareOf(organisation, account, limit);
    const part = partOf(account, limit);
    const isOnCredit = () =>
      isNewFleet()
        ? account.spent === 0 && cost <= NEW_FLEET_PARTS * part
        : cost > part && isDrawn(account, spare, cost);
    const isAdmitted = isCovered(account, spare, cost) || isOnCredit();
    return isAdmitted ? spend(account, cost) : refuse(account, limit, cost);
  }

  /** The holder takes back what lies unused for so long. */
  function dropUnused(account: Account, nowMs: number): void {
    if (nowMs - account.lastMs <= RECENT_MS) return;
    account.granted = Math.min(account.granted, account.spent);
    account.share = evenShare(nowMs);
  }

  return {
    take: (organisation, limit, { cost, isLate }, nowMs) => {
      const account = accountOf(organisation, nowMs);
      if (isHeard(nowMs)) dropUnused(account, nowMs);
      account.asked += cost;
      account.lastMs = nowMs;
      if (isLate && isKnownScarce(organisation)) return refuse(account, limit, cost);
      if (!isHeard(nowMs)) return decideAlone(organisation, account, limit, cost, nowMs);
      // What lies here counts towards what those that wait lack.
      if (isCovered(account, -account.lacking, cost)) return spend(account, cost);
      if (account.isDenied) return refuse(account, limit, cost);
      account.lacking += cost;
      return { kind: 'undecided' };
    },
    question: (organisation) => ({ term: heardTerm, uses: usesOf([organisation]) }),
    settle: (organisation, limit, cost, answer, nowMs) => {
      const account = accountOf(organisation, nowMs);
      account.lacking = Math.max(0, account.lacking - cost);
      if (answer === 'silent') isSilent = true;
      if (answer !== 'answered') {
        return decideAlone(organisation, account, limit, cost, nowMs, answer === 'unaware');
      }
      if (isCovered(account, 0, cost)) return spend(account, cost);
      account.isDenied = true;
      return refuse(account, limit, cost);
    },
    giveBack: (organisation, cost) => {
      const account = accounts.get(organisation);
      if (account !== undefined) account.spent -= cost;
    },
    report: (nowMs) => {
      const recent = [...accounts].filter(([, { lastMs }]) => nowMs - lastMs < RECENT_MS);
      return { term: heardTerm, uses: usesOf(recent.map(([organisation]) => organisation)) };
    },
    heard: (loan, nowMs) => {
      if (heardTerm !== 0 && loan.term !== heardTerm) accounts.forEach(countAnew);
      heardTerm = loan.term;
      heardMs = nowMs;
      isSilent = false;
      scarce = new Set(loan.scarce);
      loan.grants.forEach(({ organisation, granted, share }) => {
        const account = accounts.get(organisation);
        if (account === undefined) return;
        account.granted = granted;
        account.share = share;
        account.isDenied = false;
      });
    },
    noteWritten: (written) => {
      writtenScarce = new Set(written);
    },
    ageMs: (nowMs) => (heardMs === null ? null : nowMs - heardMs),
  };
}
