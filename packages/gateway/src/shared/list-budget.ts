/**
 * How the time in which an upstream that leaves may still get work is spent on the way of its word from the store to
 * each gateway. Failure: the parts of one of the ways add up to more, and requests go to it until it ends. So each part
 * is a share of the whole here, and the sum of each way is below it (`worstOwnMs`, `worstFedMs`).
 */
export type ListBudget = {
  /** A watch pauses so long after changes, so that one call brings several: they are frequent, and each is paid for. */
  pauseMs: number;
  /** A watch waits so long: one that fell silent is noticed only at its end. */
  waitMs: number;
  /** What the answer to a watch may take on top. */
  graceMs: number;
  /** A listing that takes longer is given up, and another asked for. */
  listTimeoutMs: number;
  /** Whoever is told by others asks the store itself once what it was told is so old. */
  askAtAgeMs: number;
};

/** How often it is looked whether others still tell of changes. */
export const FED_STEP_MS = 50;
export const FIRST_BACKOFF_MS = 100;
/** A listing that is answered: some round trips, page after page. */
const LISTING_MS = 100;

const PAUSE_SHARE = 0.2;
const WAIT_SHARE = 0.2;
const GRACE_SHARE = 0.15;
const LIST_SHARE = 0.15;
const ASK_SHARE = 0.65;
/** The holder of the lease plans by the list. */
const PAUSE_MAX_MS = 600;
const WAIT_MAX_MS = 2_000;
const LIST_MAX_MS = 1_000;

export function listBudget(drainTimeoutMs: number): ListBudget {
  return {
    pauseMs: Math.min(PAUSE_MAX_MS, drainTimeoutMs * PAUSE_SHARE),
    waitMs: Math.min(WAIT_MAX_MS, drainTimeoutMs * WAIT_SHARE),
    graceMs: drainTimeoutMs * GRACE_SHARE,
    listTimeoutMs: Math.min(LIST_MAX_MS, drainTimeoutMs * LIST_SHARE),
    askAtAgeMs: drainTimeoutMs * ASK_SHARE,
  };
}

/** From the store's word to a gateway that watches itself, on a connection that falls silent at the worst moment. */
export function worstOwnMs({ pauseMs, waitMs, graceMs }: ListBudget): number {
  return pauseMs + waitMs + graceMs + FIRST_BACKOFF_MS + LISTING_MS;
}

/** The same to a gateway that is told by another which has fallen silent, and whose first listing is lost. */
export function worstFedMs({ askAtAgeMs, listTimeoutMs }: ListBudget): number {
  return askAtAgeMs + FED_STEP_MS + listTimeoutMs + FIRST_BACKOFF_MS + LISTING_MS;
}
