/** When callers are told to come back whose requests no upstream takes now. */
import type { clocks, randoms } from '@copperlever/runtime';

import * as pacesModule from '../../shared/paces.js';
import * as queueLimits from '../../shared/queue-limits.js';
import * as retryTimesModule from '../../shared/retry-times.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as placementTypes from '../../types/placement.js';
import type * as routers from './router.js';

export type RetryAfterDeps = Pick<routers.Router, 'needsModel' | 'isLate' | 'priorityOf'> & {
  clock: Pick<clocks.Clock, 'nowMs'>;
  random: Pick<randoms.Random, 'fraction'>;
  directory: Pick<directories.UpstreamDirectory, 'eligible'>;
  paces: Pick<pacesModule.Paces, 'pace'>;
  placement: Pick<placementTypes.Placement, 'copyAt' | 'nextCopyInMs'>;
  ordersAdmission: () => boolean;
  gatewayCount: () => number;
};

export type RetryAfter = {
  /** Its upstreams are overloaded; each such refusal delays the returns that are told after it. */
  overloadMs: (call: calls.Call, predictedMs: number) => number;
  /** Its upstreams are closed for `forMs`, or until another copy is there. */
  closedMs: (call: calls.Call, forMs: number) => number;
};

/** Callers may come back to another gateway, which the upstreams may still let in. */
const CLOSED_RETRY_MAX_MS = 5_000;
/** Callers keep to the time that they are told up to this part of the time that they have left. */
const HONOURED_SHARE = 1 / 3;

export function createRetryAfter(deps: RetryAfterDeps): RetryAfter {
  const { clock, directory, placement, needsModel, isLate, priorityOf } = deps;
  const retryTimes = retryTimesModule.createRetryTimes();

  return {
    overloadMs: (call, predictedMs) => {
      const { model } = call.facts;
      const nextCopyInMs = model === null ? null : placement.nextCopyInMs(call.service, model);
      const aloneMs = queueLimits.overloadRetryMs({ predictedMs, nextCopyInMs });
      // A late caller has come back already, and does not again.
      if (model === null || !needsModel(call) || !deps.ordersAdmission() || isLate(call)) {
        return aloneMs;
      }
      const nowMs = clock.nowMs();
      const records = directory.eligible(call.service, nowMs);
      const copies = records.filter((record) => placement.copyAt(record, model, null) !== 'none');
      const slots = copies[0]?.slots ?? 1;
      const atMs = retryTimes.next(
        {
          group: `${call.service} ${model}`,
          priority: priorityOf(call),
          earliestMs: nowMs + aloneMs,
          latestMs: nowMs + HONOURED_SHARE * (call.deadlineMs - nowMs),
          intervalMs: retryTimesModule.returnIntervalMs({
            requestS: pacesModule.requestS(deps.paces.pace(call.service, model), slots),
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
