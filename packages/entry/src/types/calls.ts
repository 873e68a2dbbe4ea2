/** A caller's request once it is understood, and what can become of it. */
import type { targets } from '@copperlever/configuration';
import type { types as work } from '@copperlever/decisions';

export type HeaderPair = { name: string; value: string };

export type Call = {
  requestId: string;
  target: targets.Target;
  method: string;
  /** The path that the upstream gets, with its query. */
  path: string;
  headers: readonly HeaderPair[];
  body: Buffer;
  priorityClass: work.PriorityClass;
  callerGroup: string;
  /** An instant of this process's monotonic clock. */
  deadlineMs: number;
  /** Set for a request that must run at most once; null for an idempotent one. */
  idempotencyKey: string | null;
  promptTokens: number;
  outputTokens: number;
  prefixKey: string;
  /** A hash of target and body: a request that is sent again has the same one. */
  fingerprint: string;
};

/** `no-room`: of what this process may hold in sum; the same answer may find room later. */
export type Room = 'taken' | 'too-large' | 'no-room';

/** Where the answer goes. Nothing has reached the caller before the first `chunk`. */
export type AnswerSink = {
  head: (status: number, headers: readonly HeaderPair[]) => void;
  /** Resolves when the caller's connection takes more. */
  chunk: (data: Buffer) => Promise<void>;
  /** Whether the caller has received any of the answer. */
  hasBegun: () => boolean;
  /** Takes the room of bytes that it will hold; undefined for one that passes everything on. */
  takeRoom?: (bytes: number) => Promise<Room>;
};

/** Why a request did not run. */
export type NotRunCause =
  | 'malformed-request'
  | 'unknown-model'
  | 'unknown-service'
  | 'unknown-route'
  | 'body-too-large'
  /** This entry holds as many bytes of bodies as it may. */
  | 'no-room'
  | 'invalid-header'
  /** The deadline had passed when the request arrived. */
  | 'deadline-passed'
  /** The deadline passed while the request waited. */
  | 'expired-waiting'
  | 'deadline-unreachable'
  | 'queue-full'
  | 'group-over-share'
  | 'no-upstream'
  | 'no-memory'
  | 'load-failed'
  | 'upstream-unreachable'
  | 'retries-exhausted'
  | 'quarantined'
  | 'starting'
  | 'leaving'
  | 'config-behind'
  | 'idempotency-key-reused'
  | 'claim-store-unavailable'
  | 'caller-gone';

export type UnknownCause =
  /** This entry stopped before the answer was whole. */
  | 'stopping'
  | 'agent-lost'
  | 'claim-lost'
  | 'deadline-passed'
  | 'in-progress'
  /** The upstream had the request, and its answer did not come whole. */
  | 'upstream-broken';

export type FailedCause =
  | 'stopping'
  | 'upstream-broken'
  | 'upstream-silent'
  | 'agent-lost'
  | 'deadline-passed'
  | 'cancelled'
  | 'answer-too-large'
  | 'quarantined';

/** How a request ended. `retryAtMs` is an instant of the local monotonic clock. */
export type Outcome =
  | { kind: 'answered'; status: number; replayed: boolean }
  | { kind: 'not-run'; cause: NotRunCause; retryAtMs: number | null; detail: string }
  | { kind: 'unknown'; cause: UnknownCause; retryAtMs: number | null; detail: string }
  | { kind: 'failed'; cause: FailedCause; retryAtMs: number | null; detail: string };

export type Refusal = Exclude<Outcome, { kind: 'answered' }>;
