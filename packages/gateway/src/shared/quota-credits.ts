/**
 * What this gateway may still admit of each organisation's quota. Load: one organisation sends several times its
 * usual through all gateways, or a few requests a second through few of them. Harm prevented: gateways that each
 * enforce an equal part refuse the callers of an organisation whose few connections meet few gateways; gateways that
 * enforce the whole admit it once each. The holder of the lease lends each gateway credits out of the one quota
 * (`quota-ledger.ts`); a request is admitted while there are some. While the holder is not heard, a gateway gains its
 * part of the rate, which the holder leaves to it.
 */
export type OrganisationLimit = {
  perSecond: number;
  /** What all gateways together may admit at once. */
  capacity: number;
};

export type Verdict =
  /** `isLast`: the credits are used up with it. */
  | { kind: 'admitted'; isLast: boolean }
  /** `mayGain`: the quota is not used up, its credits lie elsewhere; the holder's next answer may bring some. */
  | { kind: 'refused'; retryAfterMs: number; creditLeft: number; mayGain: boolean };

/** Counters since this gateway's start, so that a lost message loses nothing. */
export type QuotaUse = {
  organisation: string;
  /** What has been admitted, less what was not run after all. */
  spent: number;
  /** What has been asked for, refused or not. */
  asked: number;
  /** What waits for credits now. */
  waiting: number;
};

export type QuotaGrant = {
  organisation: string;
  /** How far `spent` may go. */
  granted: number;
  /** This gateway's part of the rate while the holder is not heard. */
  share: number;
  /** Whether the holder has more to lend. */
  hasMore: boolean;
};

export type Charge = {
  cost: number;
  /** It has been refused here, and waited for credits. */
  isAgain: boolean;
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
  /** What has been used lately; the holder knows of the rest. */
  recentUses: (nowMs: number) => readonly QuotaUse[];
  /** The holder has answered, and changed these. */
  granted: (grants: readonly QuotaGrant[], nowMs: number) => void;
  /** Since the holder last answered; null if never. */
  ageMs: (nowMs: number) => number | null;
};

/** After so long without the holder a gateway counts on its part of the rate, and the holder leaves it alone. */
export const UNHEARD_MS = 1_000;
/** What a gateway may start with, as a part of what it would have if all were given out: others may start too. */
const START_SHARE = 0.5;
/**
 * A request is admitted with this much of its cost, or of its gateway's part where that is less: the rest is a debt.
 * Without debts a request of some thousand tokens would be admitted nowhere where the part of a gateway is some hundred.
 */
const NEEDED_SHARE = 0.5;
/** Told in several exchanges by then. */
const RECENT_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 10_000;

type Account = {
  spent: number;
  asked: number;
  waiting: number;
  granted: number;
  share: number;
  hasMore: boolean;
  /** Until when the part of the rate has been added. */
  refilledMs: number;
  lastMs: number;
};

/** `gatewayCount`: gateways that live, this one among them. */
export function createQuotaCredits(gatewayCount: (nowMs: number) => number): QuotaCredits {
  const accounts = new Map<string, Account>();
  let heardMs: number | null = null;

  function accountOf(organisation: string, limit: OrganisationLimit, nowMs: number): Account {
    const known = accounts.get(organisation);
    if (known !== undefined) return known;
    const share = 1 / gatewayCount(nowMs);
    const account = {
      spent: 0,
      asked: 0,
      waiting: 0,
      granted: START_SHARE * share * limit.capacity,
      share,
      hasMore: true,
      refilledMs: nowMs,
      lastMs: nowMs,
    };
    accounts.set(organisation, account);
    return account;
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

  return {
    take: (organisation, limit, { cost, isAgain, isLate }, nowMs) => {
      const account = accountOf(organisation, limit, nowMs);
      if (isAgain) account.waiting -= cost;
      else account.asked += cost;
      account.lastMs = nowMs;
      refill(account, limit, nowMs);
      const credit = account.granted - account.spent;
      const needed = NEEDED_SHARE * Math.min(cost, account.share * limit.capacity);
      const yields = isLate && !account.hasMore;
      if (credit >= needed && !yields) {
        account.spent += cost;
        return { kind: 'admitted', isLast: cost >= credit };
      }
      const perMs = (limit.perSecond * account.share) / MS_PER_SECOND;
      const inMs = (needed - credit) / Math.max(perMs, Number.MIN_VALUE);
      const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, inMs));
      const isHolderHeard = heardMs !== null && nowMs - heardMs < UNHEARD_MS;
      const mayGain = isHolderHeard && account.hasMore && !isAgain;
      if (mayGain) account.waiting += cost;
      return { kind: 'refused', retryAfterMs, creditLeft: credit, mayGain };
    },
    giveBack: (organisation, cost) => {
      const account = accounts.get(organisation);
      if (account !== undefined) account.spent -= cost;
    },
    recentUses: (nowMs) =>
      [...accounts]
        .filter(([, { lastMs }]) => nowMs - lastMs < RECENT_MS)
        .map(([organisation, { spent, asked, waiting }]) => ({
          organisation,
          spent,
          asked,
          waiting,
        })),
    granted: (grants, nowMs) => {
      heardMs = nowMs;
      grants.forEach(({ organisation, granted, share, hasMore }) => {
        const account = accounts.get(organisation);
        if (account === undefined) return;
        account.granted = granted;
        account.share = share;
        account.hasMore = hasMore;
      });
    },
    ageMs: (nowMs) => (heardMs === null ? null : nowMs - heardMs),
  };
}
