/** The header names and calls that callers, upstreams and the gateway share; implemented by the program that embeds it. */
import type * as http from 'node:http';

import type { results } from '@copperlever/runtime';

import type * as fleet from './fleet.js';
import type * as upstreamStates from './upstream-states.js';

/** A part of a prompt that requests can share; `id` identifies its content. */
export type PromptPart = { id: string; tokens: number };

/** What the gateway reads from the headers of a caller's request. */
export type CallFacts = {
  requestId: string;
  /** How much longer the caller waits; null when it sends no such header. */
  remainingMs: number | null;
  model: string | null;
  adapter: string | null;
  promptTokens: number;
  outputTokens: number;
  promptParts: readonly PromptPart[];
  /** Prompt and output tokens together; null when the caller sends no such header. */
  tokenCount: number | null;
  apiKey: string | null;
  /** The id of the caller's request that brought the first event of the stream to resume; null if none is named. */
  originRequestId: string | null;
};

/** The rate limit that an answer states: requests a second that its upstream accepts from all gateways together. */
export type LimitSignal =
  | { kind: 'unlimited' }
  | { kind: 'named'; perSecond: number }
  /** The header could not be parsed, which shows neither that there is a limit nor that there is none. */
  | { kind: 'unreadable' };

/** What the gateway reads from the headers of an upstream's answer. */
export type AnswerFacts = {
  requestId: string | null;
  /** Whether the answer has a signature header; a success without one is not accepted as an answer. */
  isSigned: boolean;
  /** The upstream guarantees that it did not run the request. */
  didNotRun: boolean;
  /** The request reached an upstream other than the one that it was addressed to, which has that address now. */
  isMisdirected: boolean;
  limit: LimitSignal;
  /** The upstream reports that it is about to leave. */
  isLeaving: boolean;
  /** How long the upstream, which rejected this request, wants no more requests from this gateway; null if unstated. */
  pauseMs: number | null;
  /** The load that the upstream reports; null if the header is missing or cannot be parsed. */
  load: upstreamStates.LoadSignal | null;
};

/** What the gateway sends to the upstream about one attempt. */
export type AttemptFacts = {
  /** The name that the platform gives the upstream. */
  upstreamName: string;
  remainingMs: number;
  priority: number;
  /** The last event that the caller has received; null for a stream from its beginning. */
  resumeAfterId: string | null;
  /** The organisation that the request is made for; null where callers are not identified. */
  organisation: string | null;
};

export type HeaderPair = readonly [name: string, value: string];

export type Dialect = {
  readCall: (headers: http.IncomingHttpHeaders) => CallFacts;
  /** Whether only the gateway may set this header (lower-case name); one sent by a caller is dropped. */
  isReserved: (name: string) => boolean;
  attemptHeaders: (facts: AttemptFacts) => HeaderPair[];
  readAnswer: (status: number, headers: http.IncomingHttpHeaders) => AnswerFacts;
  /** The value of `Retry-After`. */
  retryAfter: (waitMs: number) => string;
  readinessPath: string;
};

/** A change of the models and adapters that an upstream holds. */
export type Order =
  | { kind: 'load-model' | 'unload-model'; model: string }
  | { kind: 'load-adapter' | 'unload-adapter'; model: string; adapter: string };

/** An upstream by the platform's name for it and its address. */
export type OrderTarget = { name: string; address: string };

export type OrderContext = {
  holderId: string;
  fence: number;
  /** The upstream carries the order out only if it has accepted exactly this many orders before. */
  expectedOrderCount: number;
};

export type OrderOutcome =
  | { kind: 'accepted' }
  | { kind: 'holds-already' }
  /** Another order is in progress, or the upstream has accepted orders that the sender did not know of. */
  | { kind: 'conflict' }
  /** A newer lease holder has already sent orders to this upstream. */
  | { kind: 'fenced' }
  /** The address belongs to another upstream now. */
  | { kind: 'other-upstream' }
  | { kind: 'invalid'; status: number };

/** There was no answer, or it could not be parsed. An order may still be carried out later. */
export type UpstreamCallError = { kind: 'no-answer'; reason: string };

/** An upstream's report, and the rate limit stated in the same answer. */
export type ReportAnswer = { report: fleet.UpstreamReport; limit: LimitSignal };

/** Client for requesting reports from upstreams and sending them orders. */
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
