/**
 * Which gateway may place models. One gateway at a time holds a lease in the platform's store, and its term fences
 * the orders of earlier holders. Two gateways that place at once would undo each other's copies, and one that resumes
 * after a pause would go on with an outdated plan.
 */

/** What a gateway without the lease knows of its holder. */
export type HolderObservation = {
  /** When the lease record was first seen at its present revision. */
  seenAtMs: number;
  isReleased: boolean;
  /** So long after `seenAtMs` the holder itself gives no orders; null if its record doesn't state it. */
  orderDelayMs: number | null;
  /** The lease is this gateway's own, from an earlier life, so no other gateway can have used it since. */
  isOwn: boolean;
  /** When a message of the holder itself was last received, over any path. */
  lastReceivedMs: number | null;
  /** Since when the holder has not answered; null while it answers, or if it was never asked. */
  silentSinceMs: number | null;
};

/** Each renewal is a paid call. Two may be lost before the lease ends. */
export const RENEW_MS = 1_000;
/** A holder considers its lease valid for this long after the renewal was sent. */
export const VALID_MS = 2_200;
/**
 * Other gateways wait longer, because they see a renewal later than it was sent and time the expiry from then.
 */
const EXPIRY_MS = 2_400;
/** A holder that answered its peers within this time is alive, also when it cannot reach the store. */
const HOLDER_SILENT_MS = 1_000;

/** The delay of the smallest gateway: enough for a larger one to take the lease and be seen. */
const MAX_TAKE_DELAY_MS = 500;

/**
 * How much later than others a gateway takes a free lease. On gateways of a tenth of a core beside others of a whole
 * one, planning and answering dozens of followers takes so long that the followers receive nothing. Equal gateways do
 * not wait.
 */
export function takeDelayMs(millicores: number, largestMillicores: number): number {
  if (millicores >= largestMillicores) return 0;
  return MAX_TAKE_DELAY_MS * (1 - millicores / largestMillicores);
}

/** Before there is any lease, gateways first learn of one another. */
const FIRST_TAKE_MS = 500;
/** Maximum additional delay of a gateway with less than one core: some round trips to the store. */
const FIRST_TAKE_MAX_DELAY_MS = 1_000;
const FULL_MILLICORES = 1_000;

/**
 * How long after its start a gateway takes a lease that has never been held. When all gateways start together and
 * know of hardly any other, the first one to start would hold the lease from then on, even if its processor is the
 * smallest, and its followers would receive nothing for seconds once traffic comes.
 */
export function firstTakeMs(millicores: number): number {
  const shortfall = Math.max(0, 1 - millicores / FULL_MILLICORES);
  return FIRST_TAKE_MS + FIRST_TAKE_MAX_DELAY_MS * shortfall;
}

/**
 * More takeovers than happen within an era. With any era that the store can name, a term is still an exact number.
 */
const TERMS_PER_ERA = 1_000_000;

/**
 * Name of the lease record of an era. A single record for all eras could be renewed at a revision that the store has
 * issued a second time.
 */
export function recordName(era: number): string {
  return era === 0 ? 'placing' : `placing-${era}`;
}

/**
 * The term of a new holder: above all terms used before, including those of earlier eras that the store has lost and
 * no gateway remembers. `knownTerms`: the terms of the known records and gateways.
 */
export function nextTerm(era: number, knownTerms: readonly number[]): number {
  return Math.max(era * TERMS_PER_ERA, ...knownTerms) + 1;
}

/** Whether to try to take over the lease now. */
export function mayTakeOver(sight: HolderObservation, nowMs: number): boolean {
  if (sight.isReleased || sight.isOwn) return true;
  const isResponsive =
    sight.lastReceivedMs !== null && nowMs - sight.lastReceivedMs < HOLDER_SILENT_MS;
  return !isResponsive && nowMs - sight.seenAtMs >= EXPIRY_MS;
}

/** Inputs of the decision whether to read the lease record. Times are of this gateway's monotonic clock. */
export type LeaseReadInputs = {
  startedAtMs: number;
  /** When a message of the holder was last received; null while no holder is known, or it has left. */
  lastReceivedMs: number | null;
  /** When the record was first seen at its present revision; null if it never was. */
  seenAtMs: number | null;
  takeDelayMs: number;
};

/**
 * Whether to read the lease record now. A gateway that has received no message yet reads it, since it may hold the
 * lease from before, or finds the holder's address there. After reading it, the same revision has to stand for a
 * while before the gateway may take over, so reading it again earlier would be useless. Each read is a paid call:
 * with a holder that answers late or is gone, 17 gateways that read three times a second each made 1,411 of 2,065
 * calls to the store on a quiet day.
 */
export function shouldReadLease(input: LeaseReadInputs, nowMs: number): boolean {
  const { lastReceivedMs: lastHeardMs, startedAtMs, seenAtMs } = input;
  if (seenAtMs !== null && nowMs < seenAtMs + EXPIRY_MS + input.takeDelayMs) return false;
  if (lastHeardMs === null) return nowMs >= startedAtMs + input.takeDelayMs;
  return nowMs - lastHeardMs >= HOLDER_SILENT_MS;
}

/**
 * From when on a new holder may give orders: `leaseMs` after the last order that its predecessor may have given.
 * Where upstreams check fences, they refuse a predecessor that still runs but is cut off, so only the time until it
 * fell silent counts. Elsewhere its lease has to end by its own clock.
 */
export function ordersFromMs(
  sight: HolderObservation | null,
  tookOverMs: number,
  leaseMs: number,
  checksFences: boolean,
): number {
  if (sight === null) return tookOverMs;
  // The holder before may have been waiting itself, for the orders of another one.
  const delayEndMs = sight.seenAtMs + (sight.orderDelayMs ?? leaseMs);
  const earliestMs = Math.max(tookOverMs, delayEndMs);
  // All orders since then came from one VM, this one. Waiting delayed all adapters and loads for three more seconds
  // after all gateways had been killed at once.
  if (sight.isOwn && !sight.isReleased) return earliestMs;
  const leaseEndMs = sight.seenAtMs + VALID_MS;
  if (sight.isReleased) return Math.max(earliestMs, sight.seenAtMs + leaseMs);
  const silentMs = sight.silentSinceMs ?? leaseEndMs;
  const lastOrderMs = checksFences ? Math.min(silentMs, leaseEndMs) : leaseEndMs;
  return Math.max(earliestMs, lastOrderMs + leaseMs);
}

/** What a holder that writes its record at `nowMs` states as `orderDelayMs`. */
export function orderDelayMs(held: { ordersFromMs: number }, nowMs: number): number {
  return Math.max(0, Math.ceil(held.ordersFromMs - nowMs));
}

/** Whether a holder may give orders at `nowMs`. */
export function mayOrder(
  held: { ordersFromMs: number; renewedAtMs: number; isStoreAway: boolean },
  checksFences: boolean,
  nowMs: number,
): boolean {
  if (nowMs < held.ordersFromMs) return false;
  if (nowMs < held.renewedAtMs + VALID_MS) return true;
  // Without the store no other gateway can have taken over. If one could reach the store after all, its fence stops
  // this holder's orders.
  return checksFences && held.isStoreAway;
}
