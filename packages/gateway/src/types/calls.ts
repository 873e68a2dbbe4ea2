/** One request on its way through the gateway. */
import type * as dialects from './dialects.js';
import type * as fleet from './fleet.js';

export type Call = {
  requestId: string;
  route: fleet.Route;
  service: string;
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  headers: readonly dialects.HeaderPair[];
  body: Buffer;
  facts: dialects.CallFacts;
  /** On whose behalf it is; null where callers are not told apart. */
  organisation: string | null;
  /** 0 is the most urgent. */
  priority: number;
  /** At the earliest: it may have lain unread for `unreadMs`. Its deadline and objective count from here. */
  arrivedAtMs: number;
  /** For how long it may have lain unread, at most. */
  unreadMs: number;
  /** How long the caller had been waiting when the request came, at least. */
  elapsedBeforeMs: number;
  /** When the caller gives up or the route's timeout is reached, whichever is first. */
  deadlineMs: number;
  /** The same for a request that comes again: organisation, service, path, model and body. */
  fingerprint: string;
  /** The client's own event to resume after; null otherwise. */
  resumeAfterId: string | null;
};

export type RefusalCause =
  | 'no-configuration'
  | 'no-upstream'
  | 'model-not-ready'
  /** The model is there, its adapter is not, and cannot be loaded for now. */
  | 'adapter-not-ready'
  | 'overloaded'
  /** Every upstream that could run it takes nothing more for now, by its own word. */
  | 'upstreams-closed'
  | 'retries-spent'
  | 'quarantined'
  | 'deadline-near';

/** What a request had come to when its caller left. */
export type Stage =
  'unread' | 'quota' | 'gate' | 'held' | 'model' | 'adapter' | 'turn' | 'permit' | 'upstream';

/** How a request ended at the gateway. */
export type Ending =
  | { kind: 'answered'; status: number; upstreamId: string }
  /** It did not run and never will; asking again makes sense after the wait. */
  | { kind: 'not-run'; cause: RefusalCause; retryAfterMs: number }
  /** An upstream failed it, or may have run it. */
  | { kind: 'failed'; cause: 'upstream-lost' | 'timeout'; upstreamId: string }
  /** The answer had begun and was cut off. */
  | { kind: 'cut'; cause: 'upstream-lost' | 'timeout'; upstreamId: string }
  | { kind: 'caller-gone'; stage: Stage };

/** How one attempt at one upstream ended. */
export type AttemptResult =
  | { kind: 'answered'; status: number }
  /** The upstream's own failure, held back so that another upstream can be tried. */
  | { kind: 'held-failure'; answer: HeldAnswer }
  /** Nothing of the request reached the upstream. */
  | { kind: 'not-sent'; reason: string }
  | { kind: 'rejected'; isMisdirected: boolean; retryAfterMs: number | null }
  /** It may have run. */
  | { kind: 'lost'; reason: LossReason; hasBegun: boolean; lastEventId: string | null }
  | { kind: 'deadline'; hasBegun: boolean }
  | { kind: 'caller-gone' };

export type LossReason = 'connection' | 'silent' | 'garbled';

/**
 * How the end of an answer is told. An answer that ends with its upstream's connection may have been cut
 * off there; it is passed on in the same way, so that nobody is told that it is whole.
 */
export type Framing = 'length' | 'chunked' | 'until-close';

export type HeldAnswer = {
  status: number;
  framing: Framing;
  headers: readonly dialects.HeaderPair[];
  body: Buffer;
};
