/** A request while the gateway serves it, and the ways in which its attempts and the request itself end. */
import type * as dialects from './dialects.js';
import type * as fleet from './fleet.js';

export type Call = {
  requestId: string;
  route: fleet.Route;
  service: string;
  method: string;
  /** Path and query, byte for byte as the caller sent them. */
  path: string;
  headers: readonly dialects.HeaderPair[];
  body: Buffer;
  facts: dialects.CallFacts;
  /** The organisation that the request is made for; null where callers are not identified. */
  organisation: string | null;
  /** 0 is the most urgent. */
  priority: number;
  /**
   * The earliest time at which the request can have arrived, since it may have been buffered before it was read. Its deadline
   * and latency objective count from here.
   */
  arrivedAtMs: number;
  /** Upper bound for the time that the request waited in the socket's buffer before it was read. */
  bufferedMs: number;
  /** Lower bound for the time that the caller had already waited when the request arrived. */
  elapsedBeforeMs: number;
  /** When the caller gives up or the route's timeout expires, whichever is first. */
  deadlineMs: number;
  /** Hash of organisation, route, method, path, model, adapter and body: equal when a caller repeats its request. */
  fingerprint: string;
  /** The event after which the caller itself asked to resume a stream (`Last-Event-ID`); null otherwise. */
  resumeAfterId: string | null;
};

/** Why the gateway refused a request. */
export type RefusalCause =
  | 'no-configuration'
  | 'no-upstream'
  | 'model-not-ready'
  /** An upstream has the model without the adapter, and the adapter cannot be loaded at present. */
  | 'adapter-not-ready'
  | 'overloaded'
  /** Every upstream that could run it has reported that it accepts no more requests for now. */
  | 'upstreams-closed'
  /** The retry budget of its service is used up. */
  | 'retries-spent'
  /** Which software version began the stream that its caller takes up is not known. */
  | 'stream-unknown'
  /** No upstream of the software version that began the stream gets new work. */
  | 'version-gone'
  /** It has what the requests have in common under which several upstreams ended. */
  | 'quarantined'
  /** An upstream ended under it, and it may not be sent alone just now. */
  | 'suspected'
  | 'deadline-near'
  /** A stop of the gateway came to its end before it was sent. */
  | 'stopping';

/** What a request was waiting for when its caller left. */
export type Stage =
  | 'unread'
  | 'quota'
  | 'origin'
  | 'gate'
  | 'held'
  | 'model'
  | 'adapter'
  | 'turn'
  | 'permit'
  | 'upstream';

/** `answer-too-large`: there was no room to hold the answer until its end. */
export type FailureCause = 'upstream-lost' | 'timeout' | 'stopping' | 'answer-too-large';

/** How a request ended at the gateway. */
export type Ending =
  | { kind: 'answered'; status: number; upstreamId: string }
  /** No upstream ran it or will run it; the caller can retry after `retryAfterMs`. */
  | { kind: 'not-run'; cause: RefusalCause; retryAfterMs: number }
  /** An upstream failed, or had not answered when a stop of the gateway came to its end, and may have run the request. */
  | { kind: 'failed'; cause: FailureCause; upstreamId: string }
  /** The caller received a part of the answer before it broke off. */
  | { kind: 'cut'; cause: 'upstream-lost' | 'timeout'; upstreamId: string }
  | { kind: 'caller-gone'; stage: Stage };

/** How one attempt at one upstream ended. */
export type AttemptResult =
  | { kind: 'answered'; status: number }
  /** The upstream answered with an error, which its caller has not been sent. The upstream may have run the request. */
  | { kind: 'held-failure'; answer: HeldAnswer; isSigned: boolean }
  /** No byte of the request reached the upstream. */
  | { kind: 'not-sent'; reason: string }
  | { kind: 'rejected'; isMisdirected: boolean; retryAfterMs: number | null }
  /** The answer is missing, incomplete or invalid; the upstream may have run the request. */
  | { kind: 'lost'; reason: LossReason; hasBegun: boolean; lastEventId: string | null }
  | { kind: 'deadline'; hasBegun: boolean }
  /** Its answer states no length, and there was no room to hold it until its end. The upstream has run the request. */
  | { kind: 'no-room' }
  | { kind: 'caller-gone' };

/**
 * `invalid`: an answer of no valid status. `oversized`: an event, which has to be held until its end, is longer than allowed. `failed`: an error in answer to a stream that
 * goes on, of which the caller has a part.
 */
export type LossReason = 'connection' | 'silent' | 'garbled' | 'invalid' | 'oversized' | 'failed';

/**
 * What marks the end of an answer's body at its upstream. `until-close`: its connection, which a process that was killed closes in
 * the same way as one that has written all.
 */
export type Framing = 'length' | 'chunked' | 'until-close';

export type HeldAnswer = {
  status: number;
  headers: readonly dialects.HeaderPair[];
  body: Buffer;
  /** The length that its head states. Without a body by the protocol, the upstream's, or none. */
  statedBytes: number | null;
};
