/** The upstream as its agent sees it: a model engine or a plain service. */
import type { results } from '@copperlever/runtime';

import type * as answers from './answers.js';

export type UpstreamCall = {
  requestId: string;
  method: string;
  path: string;
  headers: readonly answers.HeaderPair[];
  body: Buffer;
  /** Engines honour priorities: lower numbers first. */
  priority: number;
};

export type UpstreamPart =
  | { kind: 'head'; status: number; headers: readonly answers.HeaderPair[] }
  | { kind: 'data'; data: Buffer }
  | { kind: 'end' }
  /** The call never reached the upstream. */
  | { kind: 'not-sent'; detail: string }
  /** The call was under way when the upstream or its connection was lost. */
  | { kind: 'broken'; detail: string };

/** An order to an engine. `fence` only makes the fencing number known. */
export type EngineOrder =
  | { kind: 'load'; name: string; version: string; sizeBytes: number }
  | { kind: 'unload'; name: string; version: string }
  | { kind: 'fence' };

export type NumberedOrder = EngineOrder & { orderId: string; fencingNumber: number };

export type OrderError =
  | { kind: 'old-fencing-number' }
  | { kind: 'no-memory' }
  /** The order never left; it has no effect. */
  | { kind: 'not-sent'; detail: string }
  /** The order may take effect now, later or never. */
  | { kind: 'outcome-unknown'; detail: string };

export type EngineCopy = {
  name: string;
  version: string;
  sizeBytes: number;
  state: 'loading' | 'ready';
};

export type EngineReport = {
  /** Changes when the engine restarts; it then holds nothing. */
  incarnation: number;
  fencingNumber: number;
  memoryBytes: number;
  usedBytes: number;
  copies: readonly EngineCopy[];
  runningCount: number;
};

export type ReportError =
  /** Nobody took the call. */
  | { kind: 'unreachable'; detail: string }
  /** Somebody answered, and not with a report: a plain service gives none. */
  | { kind: 'no-report'; detail: string };

export type UpstreamPort = {
  /** Runs one call; the last part is `end`, `not-sent` or `broken`. Aborting cancels upstream. */
  run: (call: UpstreamCall, signal: AbortSignal) => AsyncIterable<UpstreamPart>;
};

export type EnginePort = UpstreamPort & {
  order: (order: NumberedOrder, deadlineMs: number) => Promise<results.Result<void, OrderError>>;
  report: (deadlineMs: number) => Promise<results.Result<EngineReport, ReportError>>;
};
