/** Logs the learned service times of a model when they have changed enough to affect decisions. */
import type { clocks } from '@copperlever/runtime';

import * as serviceTimesModule from '../../shared/service-times.js';
import type * as logEvents from '../../types/log-events.js';

export type ServiceTimeReportsDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  paces: serviceTimesModule.ServiceTimeEstimator;
};

/** Minimum interval between two lines for a model. Learned service times settle within seconds. */
const INTERVAL_MS = 5_000;
/** A prediction that differs by a smaller share nearly always leads to the same decision. */
const CHANGE_SHARE = 0.25;
/** A request of typical size at an upstream of typical load, whose predicted time to the first chunk is compared. */
const REFERENCE: serviceTimesModule.PredictionInputs = {
  uncachedTokens: 1_000,
  prefillAheadMs: 50,
  inFlightCount: 10,
  slotWaiterCount: 0,
  slots: 32,
};

const rounded = (value: number) => Math.round(value * 1_000) / 1_000;

export function createServiceTimeReports(
  deps: ServiceTimeReportsDeps,
): (service: string, model: string) => void {
  const { clock, log, paces } = deps;
  const reported = new Map<string, { atMs: number; referenceMs: number }>();
  return (service, model) => {
    const key = `${service} ${model}`;
    const before = reported.get(key);
    const nowMs = clock.nowMs();
    if (before !== undefined && nowMs - before.atMs < INTERVAL_MS) return;
    const serviceTimes = paces.estimate(service, model);
    const referenceMs = serviceTimesModule.predictFirstChunkMs(serviceTimes, REFERENCE);
    const change = before === undefined ? Infinity : Math.abs(referenceMs / before.referenceMs - 1);
    if (change < CHANGE_SHARE) return;
    reported.set(key, { atMs: nowMs, referenceMs });
    log.info('pace-learnt', {
      service,
      model,
      baseMs: rounded(serviceTimes.baseMs),
      msPerToken: rounded(serviceTimes.msPerToken),
      aheadShare: rounded(serviceTimes.aheadShare),
      msPerRequest: rounded(serviceTimes.msPerRequest),
      slotWaitShare: rounded(serviceTimes.slotWaitShare),
      holdMs: Math.round(serviceTimes.holdMs),
      sampleCount: serviceTimes.sampleCount,
    });
  };
}
