/**
 * Divides the time in which a leaving upstream may still get work among the steps by which this reaches each gateway
 * from the store. If the steps of one path took longer together, the upstream would get requests until it ends. So
 * each step is a share of the whole, and the sum of each path is below it (`worstDirectMs`, `worstRelayedMs`).
 */
export type ListBudget = {
  /**
   * Pause of a watch after changes. Changes are frequent and each call is paid for, so one call brings several.
   */
  pauseMs: number;
  /** Wait time of a watch call. A watch that fell silent is noticed only at its end. */
  waitMs: number;
  /** Additional time for the answer to a watch call. */
  graceMs: number;
  /** A listing that takes longer is abandoned, and another requested. */
  listTimeoutMs: number;
  /** A gateway with a relayed list asks the store itself once that list is this old. */
  maxRelayedAgeMs: number;
  /** A list that is older may lack a software version at which another gateway has begun streams. */
  maxOnlyVersionAgeMs: number;
  /** How long after a software version was first listed streams begin at it. Longer than `maxOnlyVersionAgeMs`. */
  newVersionHoldMs: number;
};

/** How often a gateway checks whether changes are still relayed to it. */
export const RELAY_CHECK_INTERVAL_MS = 50;
export const FIRST_BACKOFF_MS = 100;
/** Time of a listing that is answered: some round trips, page after page. */
const LISTING_MS = 100;

const PAUSE_SHARE = 0.2;
const WAIT_SHARE = 0.2;
const GRACE_SHARE = 0.15;
const LIST_SHARE = 0.15;
const RELAYED_AGE_SHARE = 0.65;
const ONLY_VERSION_AGE_SHARE = 0.9;
/** The lease holder plans by the list, which limits its age. */
const PAUSE_MAX_MS = 600;
const WAIT_MAX_MS = 2_000;
const LIST_MAX_MS = 1_000;

export function listBudget(drainTimeoutMs: number): ListBudget {
  return {
    pauseMs: Math.min(PAUSE_MAX_MS, drainTimeoutMs * PAUSE_SHARE),
    waitMs: Math.min(WAIT_MAX_MS, drainTimeoutMs * WAIT_SHARE),
    graceMs: drainTimeoutMs * GRACE_SHARE,
    listTimeoutMs: Math.min(LIST_MAX_MS, drainTimeoutMs * LIST_SHARE),
    maxRelayedAgeMs: drainTimeoutMs * RELAYED_AGE_SHARE,
    maxOnlyVersionAgeMs: drainTimeoutMs * ONLY_VERSION_AGE_SHARE,
    newVersionHoldMs: drainTimeoutMs,
  };
}

/**
 * Maximum delay from the store to a gateway that watches the store itself, if the connection falls silent at the
 * worst time.
 */
export function worstDirectMs({ pauseMs, waitMs, graceMs }: ListBudget): number {
  return pauseMs + waitMs + graceMs + FIRST_BACKOFF_MS + LISTING_MS;
}

/**
 * Maximum delay to a gateway with a relayed list, if the relaying gateway falls silent and the first listing is lost.
 */
export function worstRelayedMs({ maxRelayedAgeMs: askAtAgeMs, listTimeoutMs }: ListBudget): number {
  return askAtAgeMs + RELAY_CHECK_INTERVAL_MS + listTimeoutMs + FIRST_BACKOFF_MS + LISTING_MS;
}
