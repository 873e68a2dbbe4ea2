/**
 * Who may place models. One gateway at a time holds a lease in the platform's store; its term fences
 * orders of earlier holders. Two gateways that place at once undo each other's copies, and one that was
 * paused and wakes goes on with a plan that no longer holds.
 */

/** What a gateway that does not hold the lease knows of the one who does. */
export type HolderSight = {
  /** The lease record, when it was first seen at its present revision. */
  seenAtMs: number;
  isReleased: boolean;
  /** It is this gateway's own, of an earlier life: nobody else can have used it since. */
  isOwn: boolean;
  /** When the holder itself was last heard, over whichever way. */
  lastHeardMs: number | null;
  /** Since when it does not answer; null while it does, or was never asked. */
  silentSinceMs: number | null;
};

/** Renewals are paid for; two may be lost before the lease ends. */
export const RENEW_MS = 1_000;
/** A holder trusts its lease this long after the renewal was sent. */
export const VALID_MS = 2_200;
/** Others wait longer than that: their clocks start when they see the renewal, later than it was sent. */
const EXPIRY_MS = 2_400;
/** A holder that answers its peers is alive, also when it cannot reach the store. */
const HEARD_MS = 1_000;

/** How much later the smallest gateway takes it: time enough for a larger one to have taken it and be seen. */
const SMALLEST_WAITS_MS = 500;

/**
 * How much later than others a gateway takes a lease that is free. Load: gateways of a tenth of a core beside such of
 * a whole one. Harm prevented: plans and answers to dozens of followers on the smallest processor, where they take so
 * long that followers hear nothing. Among equals nobody waits.
 */
export function takeDelayMs(millicores: number, largestMillicores: number): number {
  if (millicores >= largestMillicores) return 0;
  return SMALLEST_WAITS_MS * (1 - millicores / largestMillicores);
}

/** Before there is any lease gateways first learn of one another. */
const FIRST_TAKE_MS = 500;
/** With less than one core a gateway waits up to this much longer: some round trips to the store. */
const FIRST_SMALLEST_WAITS_MS = 1_000;
const FULL_MILLICORES = 1_000;

/**
 * How long after its start a gateway takes a lease that nobody has held yet. Load: all gateways start together and have
 * heard of hardly any other. Harm prevented: whoever starts first holds the lease from then on, also where its processor
 * is the smallest; its followers hear nothing for seconds once traffic comes.
 */
export function firstTakeMs(millicores: number): number {
  const lacking = Math.max(0, 1 - millicores / FULL_MILLICORES);
  return FIRST_TAKE_MS + FIRST_SMALLEST_WAITS_MS * lacking;
}

/** More takeovers than an era lasts for; with any era that the store can name a term still is an exact number. */
const TERMS_PER_ERA = 1_000_000;

/** The lease of one era. One record for all eras could be renewed at a revision that the store has given out again. */
export function recordName(era: number): string {
  return era === 0 ? 'placing' : `placing-${era}`;
}

/**
 * The term of a new holder: above all that have been used, those of earlier eras too that the store has lost and
 * nobody remembers. `knownTerms`: of the records and gateways that are known.
 */
export function nextTerm(era: number, knownTerms: readonly number[]): number {
  return Math.max(era * TERMS_PER_ERA, ...knownTerms) + 1;
}

/** Whether to try to take the lease over now. */
export function mayTakeOver(sight: HolderSight, nowMs: number): boolean {
  if (sight.isReleased || sight.isOwn) return true;
  const isHeard = sight.lastHeardMs !== null && nowMs - sight.lastHeardMs < HEARD_MS;
  return !isHeard && nowMs - sight.seenAtMs >= EXPIRY_MS;
}

/** What decides whether to look at the record; times are of this gateway's steady clock. */
export type LookInput = {
  startedAtMs: number;
  /** When the holder itself was last heard; null while nobody is known to hold the lease, or it has left. */
  lastHeardMs: number | null;
  /** When the record was first seen at its present revision; null if it never was. */
  seenAtMs: number | null;
  takeDelayMs: number;
};

/**
 * Whether it is time to look at the record at all: each look is paid for. One that has heard nobody yet may hold the
 * lease from before, or finds the holder's address there. Who has just looked has to see the same revision for a while
 * before it may take the lease over. Load: a holder that answers late, or has gone, and dozens of followers. Harm
 * prevented: 17 gateways that look three times a second each make 1,411 of 2,065 calls to the store on a quiet day.
 */
export function shouldLook(input: LookInput, nowMs: number): boolean {
  const { lastHeardMs, startedAtMs, seenAtMs } = input;
  if (seenAtMs !== null && nowMs < seenAtMs + EXPIRY_MS + input.takeDelayMs) return false;
  if (lastHeardMs === null) return nowMs >= startedAtMs + input.takeDelayMs;
  return nowMs - lastHeardMs >= HEARD_MS;
}

/**
 * From when on a new holder may give orders: `leaseMs` after the last order that its predecessor may
 * have given. Where upstreams check fences, a predecessor that still runs but is cut off is refused by
 * them, so only the time until it fell silent counts; elsewhere its lease has to end by its own clock.
 */
export function ordersFromMs(
  sight: HolderSight | null,
  tookOverMs: number,
  leaseMs: number,
  checksFences: boolean,
): number {
  if (sight === null) return tookOverMs;
  // All orders since then are one VM's: this one's. Waiting kept all adapters and loads away for three seconds more
  // after all gateways had been killed at once.
  if (sight.isOwn && !sight.isReleased) return tookOverMs;
  const leaseEndMs = sight.seenAtMs + VALID_MS;
  if (sight.isReleased) return Math.max(tookOverMs, sight.seenAtMs + leaseMs);
  const silentMs = sight.silentSinceMs ?? leaseEndMs;
  const lastOrderMs = checksFences ? Math.min(silentMs, leaseEndMs) : leaseEndMs;
  return Math.max(tookOverMs, lastOrderMs + leaseMs);
}

/** Whether a holder may give orders at `nowMs`. */
export function mayOrder(
  held: { ordersFromMs: number; renewedAtMs: number; isStoreAway: boolean },
  checksFences: boolean,
  nowMs: number,
): boolean {
  if (nowMs < held.ordersFromMs) return false;
  if (nowMs < held.renewedAtMs + VALID_MS) return true;
  // Nobody can have taken over without the store; if another could reach it, its fence stops us.
  return checksFences && held.isStoreAway;
}
