/** What the handlers of callers' requests need. */
import type { schema } from '@copperlever/configuration';
import type * as journals from '@copperlever/coordination/journal/types';
import type { clocks, daemonHolds, logs, metrics as metricsModule } from '@copperlever/runtime';

import type * as calls from '../../types/calls.js';
import type * as openCallsModule from '../requests/open-calls.js';
import type * as plannedStops from '../requests/planned-stop.js';
import type * as serving from '../requests/serve.js';

export type CallDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  metrics: metricsModule.Metrics;
  journal: journals.Journal;
  serve: serving.Serve;
  configuration: () => { version: number; document: schema.Document } | null;
  nextRequestId: () => string;
  openCalls: { count: number };
  holds: Pick<daemonHolds.DaemonHolds, 'answers' | 'waitingAnswers' | 'bodies' | 'noteClosed'>;
  calls: openCallsModule.OpenCalls;
  stop: plannedStops.PlannedStop;
};

const STARTING_RETRY_MS = 1_000;

export function refusal(
  cause: calls.NotRunCause,
  detail: string,
  retryAtMs: number | null = null,
): calls.Refusal {
  return { kind: 'not-run', cause, retryAtMs, detail };
}

export function starting(deps: CallDeps): calls.Refusal {
  return refusal('starting', 'no configuration yet', deps.clock.nowMs() + STARTING_RETRY_MS);
}
