/** Computes the retry time for callers whose requests no upstream accepts at present. */
import type { clocks, randoms } from '@copperlever/runtime';

import * as serviceTimesModule from '../../shared/service-times.js';
import * as queueLimits from '../../shared/queue-limits.js';
import * as retrySchedulesModule from '../../shared/retry-schedule.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as placementTypes from '../../types/placement.js';
import type * as routers from './router.js';

export type RetryAfterDeps = Pick<routers.Router, 'needsModel' | 'isLate' | 'priorityOf'> & {
  clock: Pick<clocks.Clock, 'nowMs'>;
  random: Pick<randoms.Random, 'fraction'>;
  directory: Pick<directories.UpstreamDirectory, 'eligible'>;
  paces: Pick<serviceTimesModule.ServiceTimeEstimator, 'estimate'>;
  placement: Pick<placementTypes.Placement, 'copyAt' | 'nextCopyInMs'>;
  ordersAdmission: () => boolean;
  gatewayCount: () => number;
};

export type RetryAfter = {
  /** For a request whose upstreams are overloaded. Each such refusal delays the retries that are scheduled after it. */
  overloadMs: (call: calls.Call, predictedMs: number) => number;
  /** For a request whose upstreams are closed for `forMs`, or until another copy of its model is ready. */
  closedMs: (call: calls.Call, forMs: number) => number;
};

/** A retry may reach another gateway, from which the upstreams may still accept requests. */
const CLOSED_RETRY_MAX_MS = 5_000;
/** Callers respect a retry time up to this part of the time that they have left. */
const HONOURED_SHARE = 1 / 3;

export function createRetryAfter(deps: RetryAfterDeps): RetryAfter {
  const { clock, directory, placement, needsModel, isLate, priorityOf } = deps;
  const retryTimes = retrySchedulesModule.createRetrySchedule();

  return {
    overloadMs: (call, predictedMs) => {
      const { model } = call.facts;
      const nextCopyInMs = model === null ? null : placement.nextCopyInMs(call.service, model);
      const retryAfterMs = queueLimits.overloadRetryMs({ predictedMs, nextCopyInMs });
      // A late caller has retried already and won't retry again, so it takes no place among the scheduled retries.
      if (model === null || !needsModel(call) || !deps.ordersAdmission() || isLate(call)) {
        return retryAfterMs;
      }
      const nowMs = clock.nowMs();
      const records = directory.eligible(call.service, nowMs);
      const copies = records.filter((record) => placement.copyAt(record, model, null) !== 'none');
      const slots = copies[0]?.slots ?? 1;
      const atMs = retryTimes.scheduleNext(
        {
          group: `${call.service} ${model}`,
          priority: priorityOf(call),
          earliestMs: nowMs + retryAfterMs,
          latestMs: nowMs + HONOURED_SHARE * (call.deadlineMs - nowMs),
          intervalMs: retrySchedulesModule.retryIntervalMs({
            requestSeconds: serviceTimesModule.requestSeconds(
              deps.paces.estimate(call.service, model),
              slots,
            ),
            copyCount: copies.length,
            gatewayCount: deps.gatewayCount(),
          }),
          phase: deps.random.fraction(),
        },
        nowMs,
      );
      return atMs - nowMs;
    },
    closedMs: (call, forMs) => {
      const { model } = call.facts;
      const nextCopyInMs = model === null ? null : placement.nextCopyInMs(call.service, model);
      return Math.min(CLOSED_RETRY_MAX_MS, forMs, nextCopyInMs ?? forMs);
    },
  };
}
