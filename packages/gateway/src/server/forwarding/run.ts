/** What one request has been through so far. */
import type * as calls from '../../types/calls.js';

/**
 * What a request gave way to although an upstream would have taken it. `free-slots`: it was late, and no slot was free
 * beside those that may still be in time.
 */
export type GaveWay = 'more-urgent' | 'organisation-behind' | 'free-slots';

export type Run = {
  ranCount: number;
  sentCount: number;
  /** The caller has a part of an answer. */
  hasBegun: boolean;
  upstreamId: string;
  /** An upstream was full: what has to be waited for is a place there, not another copy. */
  wasFull: boolean;
  /** An upstream's own failure, while another upstream is looked for. */
  heldFailure: { answer: calls.HeldAnswer; upstreamId: string } | null;
  excludedIds: Set<string>;
  resumeAfterId: string | null;
  adapterAsks: number;
  /** For its model. */
  hasWaited: boolean;
  /** When it was first held as batch work, and by when it has to be sent; null where it never was. */
  heldSinceMs: number | null;
  latestStartMs: number | null;
  /** At its latest choice of an upstream. */
  gaveWay: GaveWay | null;
  /** What it waits for, or has last waited for. */
  stage: calls.Stage;
};

export function createRun(): Run {
  return {
    ranCount: 0,
    sentCount: 0,
    hasBegun: false,
    upstreamId: '',
    wasFull: false,
    heldFailure: null,
    excludedIds: new Set(),
    resumeAfterId: null,
    adapterAsks: 0,
    hasWaited: false,
    heldSinceMs: null,
    latestStartMs: null,
    gaveWay: null,
    stage: 'quota',
  };
}

/** The same prompt with another model or adapter is cached apart. */
export function cacheScope({ facts }: calls.Call): string {
  return `${facts.model ?? ''}/${facts.adapter ?? ''}`;
}
