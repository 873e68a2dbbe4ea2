/**
 * The value of copies of each model, in requests served in time per second. A few models take most of the requests;
 * many others are requested occasionally, and demand may shift to any of them. Without a value for the last copy of a
 * model, a busy model would get its third copy by evicting the only copy of another, whose requests would then all miss
 * for as long as a load takes.
 */
import type * as fleet from '../../types/fleet.js';
import type * as demandMeters from './demand-meter.js';
import type * as stagedIndexes from './staged-index.js';
import * as clamps from '../clamp.js';

export type CopyView = {
  model: string;
  /** Requests of the model in flight there. */
  inFlightCount: number;
  /** The copy is about to be unloaded. */
  isClosing: boolean;
  readyAtMs: number;
};

export type UpstreamView = {
  upstreamId: string;
  failureDomain: string;
  copies: readonly CopyView[];
  hostModels: ReadonlySet<string>;
  diskModels: ReadonlySet<string>;
  /** A change is in progress; no further change is planned there. */
  isChanging: boolean;
  /** The model that the change loads; counted as a copy. */
  loadingModel: string | null;
  /** The change in progress loads from the weight store. */
  isLoadingFromStore: boolean;
  /** Adapters are being loaded there. A change would prevent further adapter loads until it ends. */
  isLoadingAdapters: boolean;
  /** When the change in progress is expected to end; null if there is none or the time is not known. */
  freeAtMs: number | null;
};

export type StorageLevel = 'host' | 'disk' | 'store';

export type PlanInput = {
  engine: fleet.EngineSpec;
  upstreams: readonly UpstreamView[];
  demand: (model: string) => demandMeters.DemandFigures | null;
  /** Learned service time of one request of the model, in seconds of one copy. */
  requestS: (model: string) => number;
  /** Learned ratio of the upstream's latencies to the baseline of its service; 1 is the baseline. */
  latencyRatio: (upstreamId: string) => number;
  /** Learned time for which a request of the model holds its slot. An unload waits for such requests. */
  holdMs: (model: string) => number;
  /** Whether requests have been received. Before the first one, every upstream may be loading without harm. */
  hasDemand: boolean;
  /** Loads from the weight store that may start now. */
  storeLoadsLeft: number;
  nowMs: number;
  /** Plan only for this model, and only at these upstreams, as if it had copies nowhere else; null to plan for all. */
  only?: { model: string; upstreamIds: ReadonlySet<string> } | null;
};

/**
 * Utilization up to which a copy answers nearly all requests within half a second, and the utilization at which it
 * answers hardly any of them within that time.
 */
const ALL_IN_TIME_UTILIZATION = 0.3;
const ALL_LATE_UTILIZATION = 1;
/** Part of the value of an answer that is lost when it is late. */
export const LATE_ANSWER_COST = 0.7;
/**
 * A busy model may become as busy as the busiest one: its rate may rise to GROWTH_SHARE of that rate, and what a copy
 * adds in that case counts with GROWTH_WEIGHT.
 */
const GROWTH_SHARE = 0.8;
const GROWTH_WEIGHT = 0.3;
const HOT_PER_SECOND = 1;
/** With fewer requests the rate is unreliable: one request just after the start counts as several a second. */
const HOT_COUNT = 3;
/**
 * Delay-tolerant requests are also served when there is no copy, after a swap that disturbs other requests. Keeping the
 * copy is worth this part of a request.
 */
const DELAY_TOLERANT_VALUE = 0.5;
/**
 * A request that found no copy is retried once, and further requests of its session follow. Missed requests add up, so
 * that a model which is requested rarely still gets a copy in time.
 */
const MISSED_REQUEST_VALUE = 0.4;
const MISSED_VALUE_MAX = 3;
/**
 * Demand may shift to any model; if that model has no copy, some requests a second miss until it is loaded. This is the
 * value of a last copy, in requests per second, if a new one would have to come from the weight store. It is lower in
 * proportion if another upstream could load the model faster.
 */
export const LAST_COPY_VALUE = 0.5;
/**
 * Relative to a model without adapters, for models that have not been requested yet (an estimate). Adapters are made
 * for tasks of individual callers, so such a model is likely to be requested.
 */
const HAS_ADAPTERS_WEIGHT = 3;
/**
 * Time beside the load itself until a model without a copy is available again: detecting the demand, evicting another
 * model and loading adapters.
 */
const RELOAD_OVERHEAD_MS = 1_500;
/** Demand for a model, in requests per second except for `requestS`. */
export type Need = {
  /** Service time of one request, in seconds of one copy. */
  requestS: number;
  expected: number;
  /** Value of the first copy for delay-tolerant requests. */
  delayTolerant: number;
  /** The rate that a model which is requested now may rise to. */
  anticipated: number;
  /** Value of the first copy for the requests that found no copy. */
  missedValue: number;
  /** Value of the first copy for demand that may still shift to the model. */
  lastCopyValue: number;
};

export const NO_NEED: Need = {
  requestS: 0,
  expected: 0,
  delayTolerant: 0,
  anticipated: 0,
  missedValue: 0,
  lastCopyValue: 0,
};

/** Copies of a model: their number, and their capacity in copies at an average upstream. */
export type Copies = { count: number; capacity: number };

export const NO_COPIES: Copies = { count: 0, capacity: 0 };

export function withoutCopy({ count, capacity }: Copies, copyCapacity: number): Copies {
  return count <= 1 ? NO_COPIES : { count: count - 1, capacity: capacity - copyCapacity };
}

/**
 * Copies of each model, including those that will be loaded by `untilMs` and excluding those that are about to be
 * unloaded.
 */
export function copiesOf(
  upstreams: readonly UpstreamView[],
  capacities: ReadonlyMap<string, number>,
  untilMs: number,
): Map<string, Copies> {
  const known = new Map<string, Copies>();
  const add = (model: string, capacity: number): void => {
    const before = known.get(model) ?? NO_COPIES;
    known.set(model, { count: before.count + 1, capacity: before.capacity + capacity });
  };
  upstreams.forEach((upstream) => {
    const capacity = capacities.get(upstream.upstreamId) ?? 1;
    upstream.copies
      .filter((copy) => !copy.isClosing)
      .forEach((copy) => {
        add(copy.model, capacity);
      });
    const { loadingModel, freeAtMs } = upstream;
    if (loadingModel !== null && (freeAtMs ?? -Infinity) <= untilMs) add(loadingModel, capacity);
  });
  return known;
}

/**
 * Time in which a model without a copy would be available again, relative to a load from the weight store. An upstream
 * that loads from the store can load nothing else meanwhile, so `exceptId` is left out.
 */
function reloadTimeShare(
  stagedIndex: stagedIndexes.StagedIndex,
  spec: fleet.ModelSpec,
  exceptId: string | null,
): number {
  const shortestMs = stagedIndex.shortestLoadMs(spec, exceptId);
  return Math.min(1, (shortestMs + RELOAD_OVERHEAD_MS) / spec.storeLoadMs);
}

/** Relative probability that a model which has not been requested yet will be, among all such models. */
export function unrequestedWeight(spec: fleet.ModelSpec): number {
  return spec.adapterCount > 0 ? HAS_ADAPTERS_WEIGHT : 1;
}

/** Value of a model's last copy for demand that may still shift to the model. */
export function valueOfLastCopy(
  input: PlanInput,
  stagedIndex: stagedIndexes.StagedIndex,
  spec: fleet.ModelSpec,
  exceptId: string | null = null,
): number {
  const weight = input.demand(spec.name) === null ? unrequestedWeight(spec) : 1;
  return LAST_COPY_VALUE * weight * reloadTimeShare(stagedIndex, spec, exceptId);
}

export function needsOf(
  input: PlanInput,
  stagedIndex: stagedIndexes.StagedIndex,
): Map<string, Need> {
  const figures = input.engine.models.map((spec) => ({ spec, figures: input.demand(spec.name) }));
  const maxRecent = Math.max(0, ...figures.map((entry) => entry.figures?.recentPerSecond ?? 0));
  return new Map(
    figures.map(({ spec, figures: known }): [string, Need] => {
      const lastCopyValue = valueOfLastCopy(input, stagedIndex, spec);
      const requestS = input.requestS(spec.name);
      if (known === null) {
        return [spec.name, { ...NO_NEED, requestS, lastCopyValue }];
      }
      const isHot =
        known.recentPerSecond >= HOT_PER_SECOND &&
        known.recentCount >= HOT_COUNT &&
        !known.isFalling;
      return [
        spec.name,
        {
          requestS,
          expected: known.expectedPerSecond,
          delayTolerant: DELAY_TOLERANT_VALUE * known.delayTolerantPerSecond,
          anticipated: isHot ? GROWTH_SHARE * maxRecent : 0,
          missedValue: Math.min(MISSED_VALUE_MAX, MISSED_REQUEST_VALUE * known.missedCount),
          lastCopyValue,
        },
      ];
    }),
  );
}

/** Avoids a division by zero. No engine serves more than a thousand requests a second. */
const MIN_REQUEST_S = 0.001;
/**
 * Utilization up to which a copy serves most requests in time: about the middle between ALL_IN_TIME_UTILIZATION and
 * ALL_LATE_UTILIZATION.
 */
const IN_TIME_UTILIZATION = 0.6;

/** Requests per second that one copy serves in time. */
export function inTimePerSecond(requestS: number): number {
  return IN_TIME_UTILIZATION / Math.max(MIN_REQUEST_S, requestS);
}

/** Requests per second that copies of this capacity serve in time; late answers count in part. */
function servedPerSecond(perSecond: number, requestS: number, capacity: number): number {
  if (capacity <= 0) return 0;
  const busyShare = (perSecond * requestS) / capacity;
  const lateShare = clamps.clamp(
    (busyShare - ALL_IN_TIME_UTILIZATION) / (ALL_LATE_UTILIZATION - ALL_IN_TIME_UTILIZATION),
    0,
    1,
  );
  // Above their capacity, copies answer as many requests as they can, all of them late, and the rest not at all.
  return (
    Math.min(perSecond, capacity / Math.max(MIN_REQUEST_S, requestS)) *
    (1 - LATE_ANSWER_COST * lateShare)
  );
}

/** Value of one more copy of this capacity beside the model's other copies, in requests per second. */
export function marginalValue(need: Need, others: Copies, capacity: number): number {
  const { requestS } = need;
  const added = (perSecond: number) =>
    servedPerSecond(perSecond, requestS, others.capacity + capacity) -
    servedPerSecond(perSecond, requestS, others.capacity);
  const served = added(need.expected);
  if (others.count === 0)
    return served + need.delayTolerant + need.missedValue + need.lastCopyValue;
  const risenPerSecond = Math.max(need.expected, need.anticipated);
  const servedIfRisen = added(risenPerSecond);
  return served + GROWTH_WEIGHT * Math.max(0, servedIfRisen - served);
}

export function storageLevelAt(upstream: UpstreamView, model: string): StorageLevel {
  if (upstream.hostModels.has(model)) return 'host';
  return upstream.diskModels.has(model) ? 'disk' : 'store';
}

export function loadMsAt(spec: fleet.ModelSpec, level: StorageLevel): number {
  switch (level) {
    case 'host':
      return spec.hostLoadMs;
    case 'disk':
      return spec.diskLoadMs;
    case 'store':
      return spec.storeLoadMs;
  }
}
