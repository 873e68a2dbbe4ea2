/**
 * What copies of each model are worth, in requests a second that are served in time. Load: a few busy models beside
 * many that are asked for now and then, any of which demand may move to. Harm prevented: a hot model's third copy
 * bought with the only one of a model that would miss all its requests for as long as a load takes.
 */
import type * as fleet from '../../types/fleet.js';
import type * as demandMeters from './demand-meter.js';
import type * as nearIndexes from './near-index.js';
import * as clamps from '../clamp.js';

export type CopyView = {
  model: string;
  /** Requests in flight for it there. */
  inFlightCount: number;
  /** It is about to go. */
  isClosing: boolean;
  readyAtMs: number;
};

export type UpstreamView = {
  upstreamId: string;
  failureDomain: string;
  copies: readonly CopyView[];
  hostModels: ReadonlySet<string>;
  diskModels: ReadonlySet<string>;
  /** A change is under way: nothing new is planned there. */
  isChanging: boolean;
  /** The model that the change brings; counted as a copy. */
  arriving: string | null;
  /** The change under way brings it from the weight store. */
  isLoadingFromStore: boolean;
  /** Adapters are on their way there; a change would keep the others away until it ends. */
  isLoadingAdapters: boolean;
  /** When the change under way is expected to end; null while none is, or nobody knows. */
  freeAtMs: number | null;
};

export type LoadLevel = 'host' | 'disk' | 'store';

export type PlanInput = {
  engine: fleet.EngineSpec;
  upstreams: readonly UpstreamView[];
  demand: (model: string) => demandMeters.DemandFigures | null;
  /** Seconds of one copy that a request of the model takes, as learnt. */
  requestS: (model: string) => number;
  /** Of the upstream's work against the usual of its service, as learnt; 1 is usual. */
  slowness: (upstreamId: string) => number;
  /** For how long its requests keep their slots, as learnt: an unload waits for them. */
  holdMs: (model: string) => number;
  /** Requests have come; before, every upstream may be busy without harm. */
  hasDemand: boolean;
  /** Loads from the weight store that may begin now. */
  storeLoadsLeft: number;
  nowMs: number;
};

/** Up to this part of its time a copy answers nearly all within half a second; at the other, hardly any. */
const EASY_SHARE = 0.3;
const FULL_SHARE = 1;
/** What a late answer loses of a timely one's worth. */
export const LATE_LOSS = 0.7;
/** A model that is asked for now may be asked for more: what the busiest has is a measure of how much. */
const NEXT_TO_RISE_SHARE = 0.8;
const NEXT_TO_RISE_WEIGHT = 0.3;
const HOT_PER_SECOND = 1;
/** With fewer requests a rate says little: one in the first moments reads as several a second. */
const HOT_COUNT = 3;
/**
 * Who can wait for a copy is served without one as well, after a swap that disturbs others. Keeping the copy is
 * worth this part of a request.
 */
const PATIENT_WORTH = 0.5;
/**
 * A request that found no copy comes back once, and others of its session follow. Misses add up, so that
 * a model which is asked for seldom gets its turn before it has starved.
 */
const MISSED_WEIGHT = 0.4;
const MISSED_WEIGHT_MAX = 3;
/**
 * Any model may be the next that demand moves to, and then misses some requests a second until its copy
 * is back. The weight of a last copy stands for that, in requests a second, for a copy that would have to
 * come from the store; less in proportion where another upstream has it at hand.
 */
export const LAST_COPY_WEIGHT = 0.5;
/**
 * Against a model without adapters that nobody has asked for: a guess. Adapters are made for the tasks of single
 * callers, so somebody means to ask for it.
 */
const ADAPTERS_WEIGHT = 3;
/** Beside its load a comeback takes noticing, making room and bringing adapters. */
const COMEBACK_MS = 1_500;
/** What a model is asked for; in requests a second, but for `requestS`. */
export type Need = {
  /** Seconds of one copy that a request takes. */
  requestS: number;
  expected: number;
  /** What its first copy is worth to those who can wait. */
  patient: number;
  /** What it may rise to, being asked for now. */
  anticipated: number;
  /** What its first copy is worth for requests that found none, */
  missedWeight: number;
  /** and for those that demand may yet bring. */
  lastWeight: number;
};

export const NO_NEED: Need = {
  requestS: 0,
  expected: 0,
  patient: 0,
  anticipated: 0,
  missedWeight: 0,
  lastWeight: 0,
};

/** Copies of a model: how many, and for how many copies at a mean upstream they count. */
export type Copies = { count: number; capacity: number };

export const NO_COPIES: Copies = { count: 0, capacity: 0 };

export function withoutCopy({ count, capacity }: Copies, copyCapacity: number): Copies {
  return count <= 1 ? NO_COPIES : { count: count - 1, capacity: capacity - copyCapacity };
}

/** Copies of each model, with those that are on their way and there by `untilMs`, without those about to go. */
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
    const { arriving, freeAtMs } = upstream;
    if (arriving !== null && (freeAtMs ?? -Infinity) <= untilMs) add(arriving, capacity);
  });
  return known;
}

/**
 * How quickly a model that has no copy could come back, against a load from the store. An upstream that
 * loads from the store itself brings nothing else meanwhile.
 */
function comebackShare(
  near: nearIndexes.NearIndex,
  spec: fleet.ModelSpec,
  exceptId: string | null,
): number {
  const quickestMs = near.quickestLoadMs(spec, exceptId);
  return Math.min(1, (quickestMs + COMEBACK_MS) / spec.storeLoadMs);
}

/** How likely a model that nobody has asked for is to be asked for, against others of that kind. */
export function unaskedWeight(spec: fleet.ModelSpec): number {
  return spec.adapterCount > 0 ? ADAPTERS_WEIGHT : 1;
}

/** What the last copy of a model is worth for the requests that demand may yet bring. */
export function lastCopyWeight(
  input: PlanInput,
  near: nearIndexes.NearIndex,
  spec: fleet.ModelSpec,
  exceptId: string | null = null,
): number {
  const weight = input.demand(spec.name) === null ? unaskedWeight(spec) : 1;
  return LAST_COPY_WEIGHT * weight * comebackShare(near, spec, exceptId);
}

export function needsOf(input: PlanInput, near: nearIndexes.NearIndex): Map<string, Need> {
  const figures = input.engine.models.map((spec) => ({ spec, figures: input.demand(spec.name) }));
  const top = Math.max(0, ...figures.map((entry) => entry.figures?.recentPerSecond ?? 0));
  return new Map(
    figures.map(({ spec, figures: known }): [string, Need] => {
      const lastWeight = lastCopyWeight(input, near, spec);
      const requestS = input.requestS(spec.name);
      if (known === null) {
        return [spec.name, { ...NO_NEED, requestS, lastWeight }];
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
          patient: PATIENT_WORTH * known.patientPerSecond,
          anticipated: isHot ? NEXT_TO_RISE_SHARE * top : 0,
          missedWeight: Math.min(MISSED_WEIGHT_MAX, MISSED_WEIGHT * known.missedCount),
          lastWeight,
        },
      ];
    }),
  );
}

/** Guards a division: no engine serves a thousand requests a second. */
const LEAST_REQUEST_S = 0.001;
/** A copy serves most in time up to this part of its time: about the middle of the easy and the full share. */
const IN_TIME_SHARE = 0.6;

/** Requests a second that one copy serves in time. */
export function inTimePerSecond(requestS: number): number {
  return IN_TIME_SHARE / Math.max(LEAST_REQUEST_S, requestS);
}

/** Requests a second that are served in time, late ones counted in part, by copies of that capacity. */
function servedBy(perSecond: number, requestS: number, capacity: number): number {
  if (capacity <= 0) return 0;
  const busyShare = (perSecond * requestS) / capacity;
  const lateShare = clamps.clamp((busyShare - EASY_SHARE) / (FULL_SHARE - EASY_SHARE), 0, 1);
  // Beyond their capacity copies answer late what they can, and the rest not at all.
  return (
    Math.min(perSecond, capacity / Math.max(LEAST_REQUEST_S, requestS)) *
    (1 - LATE_LOSS * lateShare)
  );
}

/** What one more copy of that capacity adds beside the others of its model, in requests a second. */
export function marginal(need: Need, others: Copies, capacity: number): number {
  const { requestS } = need;
  const added = (perSecond: number) =>
    servedBy(perSecond, requestS, others.capacity + capacity) -
    servedBy(perSecond, requestS, others.capacity);
  const served = added(need.expected);
  if (others.count === 0) return served + need.patient + need.missedWeight + need.lastWeight;
  const risen = Math.max(need.expected, need.anticipated);
  const foreseen = added(risen);
  return served + NEXT_TO_RISE_WEIGHT * Math.max(0, foreseen - served);
}

export function levelAt(upstream: UpstreamView, model: string): LoadLevel {
  if (upstream.hostModels.has(model)) return 'host';
  return upstream.diskModels.has(model) ? 'disk' : 'store';
}

export function loadMsAt(spec: fleet.ModelSpec, level: LoadLevel): number {
  switch (level) {
    case 'host':
      return spec.hostLoadMs;
    case 'disk':
      return spec.diskLoadMs;
    case 'store':
      return spec.storeLoadMs;
  }
}
