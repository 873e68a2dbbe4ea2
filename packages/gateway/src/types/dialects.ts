/** The names that callers, upstreams and this gateway have agreed on; given by whoever embeds it. */
import type * as http from 'node:http';

import type { results } from '@copperlever/runtime';

import type * as fleet from './fleet.js';
import type * as upstreamStates from './upstream-states.js';

export type PromptPart = { id: string; tokens: number };

/** What a caller's headers say about its request. */
export type CallFacts = {
  requestId: string;
  /** How long the caller still waits; null when it does not say. */
  remainingMs: number | null;
  model: string | null;
  adapter: string | null;
  promptTokens: number;
  outputTokens: number;
  promptParts: readonly PromptPart[];
  /** Prompt and output tokens together; null when it does not say. */
  tokenCount: number | null;
  apiKey: string | null;
};

/** What an answer says of the requests that its upstream takes a second, from all gateways together. */
export type LimitWord =
  | { kind: 'unlimited' }
  | { kind: 'named'; perSecond: number }
  /** Not a rate: it says neither that there is a limit nor that there is none. */
  | { kind: 'unreadable' };

/** What an upstream's headers say about its answer. */
export type AnswerFacts = {
  requestId: string | null;
  isSigned: boolean;
  /** The upstream promises that it did not run the request. */
  didNotRun: boolean;
  /** Another upstream has this address now. */
  isMisdirected: boolean;
  limit: LimitWord;
  /** The upstream says that it leaves. */
  isLeaving: boolean;
  /** It turned the request away and wants no other from this gateway for so long; null where it says no such thing. */
  pauseMs: number | null;
  /** What it says of its load; null where that is not told or cannot be read. */
  load: upstreamStates.LoadWord | null;
};

/** What the gateway tells the upstream about one attempt. */
export type AttemptFacts = {
  /** What the platform calls the upstream. */
  upstreamName: string;
  remainingMs: number;
  priority: number;
  /** The last event that the caller has; null for a stream from its beginning. */
  resumeAfterId: string | null;
  /** On whose behalf it is; null where callers are not told apart. */
  organisation: string | null;
};

export type HeaderPair = readonly [name: string, value: string];

export type Dialect = {
  readCall: (headers: http.IncomingHttpHeaders) => CallFacts;
  /** Whether a caller's header of this lower-case name is the gateway's own to set. */
  isReserved: (name: string) => boolean;
  attemptHeaders: (facts: AttemptFacts) => HeaderPair[];
  readAnswer: (status: number, headers: http.IncomingHttpHeaders) => AnswerFacts;
  /** The value of `Retry-After`. */
  retryAfter: (waitMs: number) => string;
  readinessPath: string;
};

export type Order =
  | { kind: 'load-model' | 'unload-model'; model: string }
  | { kind: 'load-adapter' | 'unload-adapter'; model: string; adapter: string };

/** An upstream by what the platform calls it, and where it is. */
export type OrderTarget = { name: string; address: string };

export type OrderContext = {
  holderId: string;
  fence: number;
  /** The order counts only if the upstream has taken this many orders so far. */
  expectedOrderCount: number;
};

export type OrderOutcome =
  | { kind: 'accepted' }
  | { kind: 'holds-already' }
  /** Another order is under way, or the upstream has taken others meanwhile. */
  | { kind: 'conflict' }
  /** A newer holder has given this upstream orders. */
  | { kind: 'fenced' }
  | { kind: 'other-upstream' }
  | { kind: 'invalid'; status: number };

/** No answer, or none that can be read: an order may be carried out later. */
export type UpstreamCallError = { kind: 'no-answer'; reason: string };

/** A report, and what its answer says beside it. */
export type ReportAnswer = { report: fleet.UpstreamReport; limit: LimitWord };

/** Reports and orders, at one upstream. */
export type UpstreamControl = {
  report: (
    target: OrderTarget,
    deadlineMs: number,
  ) => Promise<results.Result<ReportAnswer, UpstreamCallError>>;
  order: (
    target: OrderTarget,
    order: Order,
    context: OrderContext,
    deadlineMs: number,
  ) => Promise<results.Result<OrderOutcome, UpstreamCallError>>;
};
