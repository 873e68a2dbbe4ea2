/** The state of one request while it is being served: its attempts so far, and what it has waited for. */
import type * as calls from '../../types/calls.js';
import type * as trials from '../crashes/trials.js';
import type * as heldAnswers from './held-answers.js';

/**
 * Why a request was refused although an upstream would have accepted it. `more-urgent`: more urgent requests were refused.
 * `organisation-behind`: an organisation with less than its share was refused. `free-slots`: the request was already late, and
 * late requests are only sent where a slot is free.
 */
export type YieldReason = 'more-urgent' | 'organisation-behind' | 'free-slots';

export type Run = {
  /** Attempts that an upstream may have run. */
  ranCount: number;
  /** Attempts of which an upstream may have received a part, rejected ones included. */
  sentCount: number;
  /** Until then its next send has a token of the retry budget; null without one. */
  retryHeldUntilMs: number | null;
  /** An attempt is under way of which an upstream may have received a part. */
  isAtUpstream: boolean;
  /** Its latest attempt was given up, although it might still have answered, for another that follows. */
  wasGivenUp: boolean;
  /** The caller has received a part of an answer. */
  hasBegun: boolean;
  /** The upstream of the latest attempt. */
  upstreamId: string;
  /** When the latest attempt began; null before the first. */
  passedOnAtMs: number | null;
  /** An upstream rejected it for lack of capacity: it has to wait for capacity there, not for another copy of the model. */
  wasFull: boolean;
  /** An error answer of an upstream, kept while another upstream is tried. */
  heldFailure: { answer: calls.HeldAnswer; upstreamId: string } | null;
  /** Counts what is held of its answers. */
  holds: Pick<heldAnswers.CallHolds, 'open'>;
  /** What it can have in common with other requests that crash upstreams. */
  traits: readonly string[];
  /** Its next attempt shows whether its upstream survives it. */
  trial: trials.Trial | null;
  /** The upstream at which its latest attempt was lost; null before the first loss. */
  lostUpstreamId: string | null;
  /** Upstreams that are not tried again for this request. */
  excludedIds: Set<string>;
  /** The last event that the caller received from this gateway, after which the next attempt resumes the stream. */
  resumeAfterId: string | null;
  /**
   * The software version that the stream has to go on at, once the caller has events of it; null while it may begin at any.
   */
  boundVersion: string | null;
  /** Events of it have been forwarded, and which software version wrote them is not certain: it must not go on anywhere. */
  isVersionUnknown: boolean;
  /** How often an upstream was asked to load the adapter. */
  adapterRequestCount: number;
  /** It has waited for a copy of its model at least once. */
  hasWaitedForModel: boolean;
  /** When it was first held as batch work, and by when it has to be sent; null if it was never held. */
  heldSinceMs: number | null;
  latestStartMs: number | null;
  /** Why it had to yield when an upstream was last chosen for it; null if it had not. */
  yieldReason: YieldReason | null;
  /** What it is waiting for, or was last waiting for. */
  stage: calls.Stage;
};

const UNCOUNTED: heldAnswers.Hold = { set: () => {}, letGoBy: () => {}, release: () => {} };

/** The ending of a request that is given up: a failure if an upstream may have run it. */
export type Refuse = (
  call: calls.Call,
  run: Run,
  cause: calls.RefusalCause,
  waitMs: number,
) => calls.Ending;

export function createRun(holds: Run['holds'] = { open: () => UNCOUNTED }): Run {
  return {
    ranCount: 0,
    sentCount: 0,
    retryHeldUntilMs: null,
    isAtUpstream: false,
    wasGivenUp: false,
    hasBegun: false,
    upstreamId: '',
    passedOnAtMs: null,
    wasFull: false,
    heldFailure: null,
    holds,
    traits: [],
    trial: null,
    lostUpstreamId: null,
    excludedIds: new Set(),
    resumeAfterId: null,
    boundVersion: null,
    isVersionUnknown: false,
    adapterRequestCount: 0,
    hasWaitedForModel: false,
    heldSinceMs: null,
    latestStartMs: null,
    yieldReason: null,
    stage: 'quota',
  };
}

/** Scope of prompt cache keys: a prompt is cached separately for each model and adapter. */
export function cacheScope({ facts }: calls.Call): string {
  return `${facts.model ?? ''}/${facts.adapter ?? ''}`;
}
