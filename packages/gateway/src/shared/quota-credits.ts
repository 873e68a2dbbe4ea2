/**
 * What this gateway may still admit of each organisation's quota. Load: one organisation sends several times its
 * usual through all gateways, or a few requests a second through few of them. Harm prevented: gateways that each
 * enforce an equal part refuse the callers of an organisation whose few connections meet few gateways; gateways that
 * enforce the whole admit it once each. The holder of the lease lends each gateway credits out of the one quota
 * (`quota-bucket.ts`); a request is admitted while there are some, and a little beyond as long as the quota is not scarce.
 * While the holder is not heard, a gateway gains its part of the rate, which the holder leaves to it.
 */
import type { randoms } from '@copperlever/runtime';

export type OrganisationLimit = {
  perSecond: number;
  /** What all gateways together may admit at once. */
  capacity: number;
};

export type Verdict =
  | { kind: 'admitted' }
  /** `mayGain`: the quota was not used up when the holder last told; its next answer may bring credits. */
  | { kind: 'refused'; retryAfterMs: number; creditLeft: number; mayGain: boolean };

/** Counters of a holder's term, so that a lost message loses nothing. */
export type QuotaUse = {
  organisation: string;
  /** What has been admitted, less what was not run after all. */
  spent: number;
  /** What has been asked for, refused or not. */
  asked: number;
  /** What the latest request lacked that was refused since the holder was last told; 0 if none was. */
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
  /** Those whose quota is nearly used up: no more of it is admitted than has been lent. */
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
  /** What was admitted did not run. */
  giveBack: (organisation: string, cost: number) => void;
  /** What has been used lately, to tell the holder, which knows of the rest. */
  takeReport: (nowMs: number) => QuotaReport;
  heard: (loan: QuotaLoan, nowMs: number) => void;
  /** What a holder has written down as scarce: a gateway that starts reads it before it hears anyone. */
  noteWritten: (scarce: readonly string[]) => void;
  /** Since the holder last answered; null if never. */
  ageMs: (nowMs: number) => number | null;
};

/** After so long without the holder a gateway counts on its part of the rate, and the holder leaves it alone. */
export const UNHEARD_MS = 1_000;
/** What a gateway that has not heard of the holder starts with: this many equal parts of the capacity. */
const START_SHARE = 1;
/**
 * The same of a quota that was not scarce before. Load: all gateways start again at once, and callers come unevenly while
 * nobody lends. Harm prevented: hundreds are refused below their quotas, and come back late.
 */
const START_PLENTY_SHARE = 3;
/**
 * The part of the capacity by which a gateway may go beyond what it has been lent while the quota is not scarce. Load:
 * organisations whose parts at some tens of gateways are smaller than a request. Harm prevented: two requests that come to
 * one gateway between two answers of the holder are not both admitted, though the quota is hardly used.
 */
const SPARE_SHARE = 0.125;
/**
 * A request is admitted with this much of its cost, or of its gateway's part where that is less: the rest is a debt.
 * Without debts a request of some thousand tokens would be admitted nowhere where the part of a gateway is some hundred.
 */
const NEEDED_SHARE = 0.5;
/** A part below this share of a request is too little to be admitted on credit. */
const CRUMB_SHARE = 0.25;
/** Told in several exchanges by then. */
export const RECENT_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 10_000;

type Account = {
  spent: number;
  asked: number;
  lacking: number;
  granted: number;
  share: number;
  /** The part of `granted` that a gateway starts with. */
  startGranted: number;
  /** Until when the part of the rate has been added. */
  refilledMs: number;
  lastMs: number;
};

/** On which a request is admitted. */
type Terms = {
  isPlenty: boolean;
  /** How far the gateway may go beyond its credits. */
  spare: number;
  /** The credit, with what may be gone beyond it, that the request needs. */
  needed: number;
};

/** Its part is a fraction of the request. */
function isCrumb({ share }: Account, { capacity }: OrganisationLimit, cost: number): boolean {
  return share * capacity < CRUMB_SHARE * cost;
}

/** `gatewayCount`: gateways that live, this one among them. */
export function createQuotaCredits(
  gatewayCount: (nowMs: number) => number,
  random: Pick<randoms.Random, 'fraction'>,
): QuotaCredits {
  const accounts = new Map<string, Account>();
  let heardMs: number | null = null;
  let heardTerm = 0;
  let scarce: ReadonlySet<string> = new Set();
  let writtenScarce: ReadonlySet<string> | null = null;

  function isHeard(nowMs: number): boolean {
    return heardMs !== null && nowMs - heardMs < UNHEARD_MS;
  }

  function accountOf(organisation: string, nowMs: number): Account {
    const known = accounts.get(organisation);
    if (known !== undefined) return known;
    const account = {
      spent: 0,
      asked: 0,
      lacking: 0,
      granted: 0,
      share: 1 / gatewayCount(nowMs),
      startGranted: 0,
      refilledMs: nowMs,
      lastMs: nowMs,
    };
    accounts.set(organisation, account);
    return account;
  }

  /** A new holder knows nothing of the time before: what is left is kept, and what is spent counts from now on. */
  function countAnew(account: Account): void {
    account.granted -= account.spent;
    account.spent = 0;
    account.asked = 0;
  }

  /**
   * Load: gateways without a holder, and a rush of an organisation whose part at each of them is a fraction of a
   * request. Harm prevented: each gateway admits one on credit, and together several times the quota. So the credit buys
   * a chance of a whole request, and all together admit what they should.
   */
  function drawWhole(account: Account, limit: OrganisationLimit, cost: number): void {
    const credit = account.granted - account.spent;
    if (!isCrumb(account, limit, cost) || credit <= 0 || credit >= cost) return;
    const isDrawn = random.fraction() < credit / cost;
    account.granted = account.spent + (isDrawn ? cost : 0);
  }

  /**
   * What a gateway has before it has heard any holder. It learns meanwhile how many others there are and whose quota is
   * scarce: with the first guess for good, one that knew of nobody else would count on the whole for itself.
   */
  function grantStart(
    organisation: string,
    account: Account,
    limit: OrganisationLimit,
    nowMs: number,
  ): void {
    account.share = 1 / gatewayCount(nowMs);
    const isPlenty = writtenScarce !== null && !isKnownScarce(organisation);
    const parts = isPlenty ? START_PLENTY_SHARE : START_SHARE;
    const startGranted = parts * account.share * limit.capacity;
    account.granted += startGranted - account.startGranted;
    account.startGranted = startGranted;
  }

  /** Adds the part of the rate for the time in which the holder was not heard. */
  function refill(account: Account, limit: OrganisationLimit, nowMs: number): void {
    const fromMs = Math.max(account.refilledMs, (heardMs ?? -Infinity) + UNHEARD_MS);
    if (nowMs <= fromMs) return;
    const gained = (limit.perSecond * account.share * (nowMs - fromMs)) / MS_PER_SECOND;
    const mostGranted = account.spent + account.share * limit.capacity;
    account.granted = Math.max(account.granted, Math.min(mostGranted, account.granted + gained));
    account.refilledMs = nowMs;
  }

  /** As last heard, or read by a gateway that has heard nobody yet. */
  function isKnownScarce(organisation: string): boolean {
    const known = heardTerm === 0 ? writtenScarce : scarce;
    return known?.has(organisation) ?? false;
  }

  function termsFor(
    organisation: string,
    account: Account,
    limit: OrganisationLimit,
    cost: number,
    nowMs: number,
  ): Terms {
    const ownPart = Math.min(cost, account.share * limit.capacity);
    // While nobody lends, what it may go beyond its credits is not renewed.
    const mayGoBeyond = isHeard(nowMs) || !isCrumb(account, limit, cost);
    const isPlenty = heardTerm !== 0 && !isKnownScarce(organisation) && mayGoBeyond;
    if (isPlenty) {
      const spare = SPARE_SHARE * limit.capacity;
      // Without a debt yet the largest request is admitted too.
      return { isPlenty, spare, needed: Math.min(NEEDED_SHARE * ownPart, spare) };
    }
    return { isPlenty, spare: 0, needed: NEEDED_SHARE * (isHeard(nowMs) ? cost : ownPart) };
  }

  /** Until its part of the rate has made up for what is lacking. */
  function retryAfterMs(account: Account, limit: OrganisationLimit, lacking: number): number {
    const perMs = (limit.perSecond * account.share) / MS_PER_SECOND;
    const inMs = lacking / Math.max(perMs, Number.MIN_VALUE);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, inMs));
  }

  return {
    take: (organisation, limit, { cost, isLate }, nowMs) => {
      const account = accountOf(organisation, nowMs);
      // The holder has taken back what lay unused.
      if (isHeard(nowMs) && nowMs - account.lastMs > RECENT_MS) {
        account.granted = Math.min(account.granted, account.spent);
      }
      account.asked += cost;
      account.lastMs = nowMs;
      refill(account, limit, nowMs);
      if (heardTerm === 0) grantStart(organisation, account, limit, nowMs);
      const { isPlenty, spare, needed } = termsFor(organisation, account, limit, cost, nowMs);
      if (!isHeard(nowMs) && !isPlenty) drawWhole(account, limit, cost);
      const creditLeft = account.granted - account.spent;
      const yields = isLate && isKnownScarce(organisation);
      if (creditLeft + spare >= needed && !yields) {
        account.spent += cost;
        return { kind: 'admitted' };
      }
      if (!yields) account.lacking = cost;
      return {
        kind: 'refused',
        retryAfterMs: retryAfterMs(account, limit, needed - creditLeft),
        creditLeft,
        mayGain: isPlenty,
      };
    },
    giveBack: (organisation, cost) => {
      const account = accounts.get(organisation);
      if (account !== undefined) account.spent -= cost;
    },
    takeReport: (nowMs) => ({
      term: heardTerm,
      uses: [...accounts]
        .filter(([, { lastMs }]) => nowMs - lastMs < RECENT_MS)
        .map(([organisation, account]) => {
          const { spent, asked, lacking } = account;
          account.lacking = 0;
          return { organisation, spent, asked, lacking };
        }),
    }),
    heard: (loan, nowMs) => {
      if (heardTerm !== 0 && loan.term !== heardTerm) accounts.forEach(countAnew);
      heardTerm = loan.term;
      heardMs = nowMs;
      scarce = new Set(loan.scarce);
      loan.grants.forEach(({ organisation, granted, share }) => {
        const account = accounts.get(organisation);
        if (account === undefined) return;
        account.granted = granted;
        account.share = share;
      });
    },
    noteWritten: (written) => {
      writtenScarce = new Set(written);
    },
    ageMs: (nowMs) => (heardMs === null ? null : nowMs - heardMs),
  };
}
