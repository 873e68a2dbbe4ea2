/** Logs what has been learnt of a model's pace, when it has changed enough to change decisions. */
import type { clocks } from '@copperlever/runtime';

import * as pacesModule from '../../shared/paces.js';
import type * as logEvents from '../../types/log-events.js';

export type PaceReportsDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  paces: pacesModule.Paces;
};

/** At most one line for a model within this time: a pace settles within seconds. */
const PAUSE_MS = 5_000;
/** A prediction that is off by less decides the same nearly always. */
const CHANGE_SHARE = 0.25;
/** A request of usual size, on an upstream of usual load, by which paces are compared. */
const REFERENCE: pacesModule.Work = {
  ownTokens: 1_000,
  readAheadMs: 50,
  inFlightCount: 10,
  overCount: 0,
  slots: 32,
};

const rounded = (value: number) => Math.round(value * 1_000) / 1_000;

export function createPaceReports(deps: PaceReportsDeps): (service: string, model: string) => void {
  const { clock, log, paces } = deps;
  const reported = new Map<string, { atMs: number; referenceMs: number }>();
  return (service, model) => {
    const key = `${service} ${model}`;
    const before = reported.get(key);
    const nowMs = clock.nowMs();
    if (before !== undefined && nowMs - before.atMs < PAUSE_MS) return;
    const pace = paces.pace(service, model);
    const referenceMs = pacesModule.firstPieceMs(pace, REFERENCE);
    const change = before === undefined ? Infinity : Math.abs(referenceMs / before.referenceMs - 1);
    if (change < CHANGE_SHARE) return;
    reported.set(key, { atMs: nowMs, referenceMs });
    log.info('pace-learnt', {
      service,
      model,
      baseMs: rounded(pace.baseMs),
      msPerToken: rounded(pace.msPerToken),
      aheadShare: rounded(pace.aheadShare),
      msPerRequest: rounded(pace.msPerRequest),
      slotWaitShare: rounded(pace.slotWaitShare),
      holdMs: Math.round(pace.holdMs),
      sampleCount: pace.sampleCount,
    });
  };
}
