/** The parts of an answer, in the order in which they come. */
import type * as causes from './causes.js';

export type HeaderPair = { name: string; value: string };

/** Parts that end an answer: nothing follows them. */
export type ClosingPart =
  | { kind: 'end'; sizeBytes: number }
  | { kind: 'refused'; cause: causes.RefusalCause; retryAtMs: number; detail: string }
  | { kind: 'failed'; cause: causes.FailureCause; detail: string; upstreamCrashed: boolean };

export type AnswerPart =
  | { kind: 'accepted' }
  | { kind: 'started' }
  | { kind: 'head'; status: number; headers: readonly HeaderPair[] }
  | { kind: 'chunk'; offsetBytes: number; data: Buffer }
  | ClosingPart;
