/**
 * The value of staging: having a model in an upstream's host memory or on its disk, from where it loads in a fifth of
 * the time of a load from the weight store. Demand shifts to models with one or two copies and rises within seconds to
 * what half of the upstreams can serve. During loads from the store most upstreams would be idle, two or three would
 * serve all the demand and answer nearly all of it late, and demand would have shifted again by the time the copies are
 * ready. A model that was loaded once loads from disk afterwards, so while no loads are missing the idle store is used
 * to stage models ahead of demand. Together with learned service times, longer waits, and staged loads in parallel with
 * loads from the store, this raised the part of the value of all requests that was earned in ten simulated days with
 * faults from 0.474 to 0.515; the effect of staging alone was not measured.
 */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';
import type * as stagedIndexes from './staged-index.js';

/** Estimated probability, from 0 to 1, that demand shifts to a model next, by what is known of the model. */
const HOT_RISE_PROBABILITY = 0.5;
const REQUESTED_RISE_PROBABILITY = 0.2;
/** Models that are requested only by delay-tolerant callers usually stay so. */
const DELAY_TOLERANT_RISE_PROBABILITY = 0.02;
/** Estimated number of models without requests so far that become busy in one shift of demand: one or two. */
const UNREQUESTED_RISES_PER_SHIFT = 1.5;
const UNREQUESTED_RISE_PROBABILITY_MAX = 0.25;
/**
 * Estimated part of the upstreams with the model staged that are available when its demand rises; the others are gone
 * or busy with another change.
 */
const USABLE_SHARE = 0.65;
const MS_PER_SECOND = 1_000;

export type StagedCopies = {
  /** Value of staging the model on one more upstream, in requests served in time. */
  valueOfNext: (model: string) => number;
  /** Value lost when the upstream's disk evicts a model to make room for another; 0 while it has room. */
  evictionCost: (upstream: copyNeeds.UpstreamView) => number;
};

function diskSlotCount(engine: fleet.EngineSpec): number {
  const largestMb = Math.max(1, ...engine.models.map(({ sizeMb }) => sizeMb));
  return Math.floor(engine.diskMb / largestMb);
}

export function createStagedCopies(
  input: copyNeeds.PlanInput,
  index: stagedIndexes.StagedIndex,
  needs: ReadonlyMap<string, copyNeeds.Need>,
): StagedCopies {
  const { engine } = input;
  const specs = new Map(engine.models.map((spec) => [spec.name, spec]));
  const maxExpected = Math.max(0, ...[...needs.values()].map(({ expected }) => expected));
  const unrequestedTotal = engine.models
    .filter(({ name }) => input.demand(name) === null)
    .reduce((sum, spec) => sum + copyNeeds.unrequestedWeight(spec), 0);
  const diskSlots = diskSlotCount(engine);
  function riseProbability(model: string): number {
    const need = needs.get(model);
    const figures = input.demand(model);
    const spec = specs.get(model);
    if (need === undefined || spec === undefined) return 0;
    if (figures === null) {
      const share = copyNeeds.unrequestedWeight(spec) / Math.max(1, unrequestedTotal);
      return Math.min(UNREQUESTED_RISE_PROBABILITY_MAX, UNREQUESTED_RISES_PER_SHIFT * share);
    }
    if (need.anticipated > 0) return HOT_RISE_PROBABILITY;
    if (figures.recentCount < 1 && figures.delayTolerantPerSecond > 0)
      return DELAY_TOLERANT_RISE_PROBABILITY;
    return REQUESTED_RISE_PROBABILITY;
  }

  /** Value of the `count`th upstream on which the model is staged. */
  function valueOf(model: string, count: number): number {
    const spec = specs.get(model);
    const need = needs.get(model);
    if (spec === undefined || need === undefined || count < 1) return 0;
    const savedS = Math.max(0, spec.storeLoadMs - spec.diskLoadMs) / MS_PER_SECOND;
    const inTimePerSecond = USABLE_SHARE * copyNeeds.inTimePerSecond(need.requestS);
    const remainingPerSecond = Math.max(need.expected, maxExpected) - (count - 1) * inTimePerSecond;
    const gained = Math.min(inTimePerSecond, Math.max(0, remainingPerSecond));
    return riseProbability(model) * gained * savedS * copyNeeds.LATE_ANSWER_COST;
  }

  return {
    valueOfNext: (model) => valueOf(model, index.stagedCount(model) + 1),
    evictionCost: (upstream) => {
      if (upstream.diskModels.size < diskSlots) return 0;
      const resident = new Set(upstream.copies.map(({ model }) => model));
      const costs = [...upstream.diskModels]
        .filter((model) => !resident.has(model))
        .map((model) => valueOf(model, index.stagedCount(model)));
      // The upstream decides which model it evicts, the least recently used one. That is not known here, so the average
      // is taken.
      return costs.reduce((sum, cost) => sum + cost, 0) / Math.max(1, costs.length);
    },
  };
}
