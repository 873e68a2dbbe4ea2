/**
 * What it is worth that an upstream has a model near, in its host memory or on its disk, from where it comes in a
 * fifth of the time of a load from the weight store. Load: demand that moves on to models with one or two copies and
 * rises within seconds to what half of the upstreams can serve. Harm prevented: while a load from the store takes its
 * time most upstreams idle, two or three serve the whole demand, and nearly all answers are late; when the copies
 * have come, demand has moved on. A model that was loaded once comes from the disk from then on, so the store, which
 * idles while nothing is missing, spreads models ahead of need. Together with learnt paces, longer waits and near loads
 * beside those from the store, on ten played days with faults, 0.515 of the worth that callers bring was earned, 0.474
 * without them; its own part was not measured.
 */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';
import type * as nearIndexes from './near-index.js';

/** How likely a model is to be what demand moves to next, from 0 to 1, by what is known of it: guesses, not measured. */
const HOT_RISES = 0.5;
const ASKED_RISES = 0.2;
/** What is asked for by those who can wait keeps being asked for by them. */
const PATIENT_RISES = 0.02;
/** Of all that nobody has asked for one or two come up at a move, so many on average; a guess too. */
const UNASKED_RISE = 1.5;
const UNASKED_RISES_MAX = 0.25;
/** Of upstreams that have a model near some are away or busy with another change when it rises; a guess. */
const USABLE_SHARE = 0.65;
const MS_PER_SECOND = 1_000;

export type NearCopies = {
  /** What one more upstream that has the model near is worth, in requests served in time. */
  worthOfNext: (model: string) => number;
  /** What is lost when the upstream's disk makes room for another model; 0 while it has room. */
  evictionLoss: (upstream: copyNeeds.UpstreamView) => number;
};

function diskPlaces(engine: fleet.EngineSpec): number {
  const largestMb = Math.max(1, ...engine.models.map(({ sizeMb }) => sizeMb));
  return Math.floor(engine.diskMb / largestMb);
}

export function createNearCopies(
  input: copyNeeds.PlanInput,
  index: nearIndexes.NearIndex,
  needs: ReadonlyMap<string, copyNeeds.Need>,
): NearCopies {
  const { engine } = input;
  const specs = new Map(engine.models.map((spec) => [spec.name, spec]));
  const top = Math.max(0, ...[...needs.values()].map(({ expected }) => expected));
  const unaskedWeight = engine.models
    .filter(({ name }) => input.demand(name) === null)
    .reduce((sum, spec) => sum + copyNeeds.unaskedWeight(spec), 0);
  const places = diskPlaces(engine);
  function risesShare(model: string): number {
    const need = needs.get(model);
    const figures = input.demand(model);
    const spec = specs.get(model);
    if (need === undefined || spec === undefined) return 0;
    if (figures === null) {
      const share = copyNeeds.unaskedWeight(spec) / Math.max(1, unaskedWeight);
      return Math.min(UNASKED_RISES_MAX, UNASKED_RISE * share);
    }
    if (need.anticipated > 0) return HOT_RISES;
    if (figures.recentCount < 1 && figures.patientPerSecond > 0) return PATIENT_RISES;
    return ASKED_RISES;
  }

  /** What the upstream number `count` that has it near is worth. */
  function worthOf(model: string, count: number): number {
    const spec = specs.get(model);
    const need = needs.get(model);
    if (spec === undefined || need === undefined || count < 1) return 0;
    const savedS = Math.max(0, spec.storeLoadMs - spec.diskLoadMs) / MS_PER_SECOND;
    const inTimePerSecond = USABLE_SHARE * copyNeeds.inTimePerSecond(need.requestS);
    const wantedPerSecond = Math.max(need.expected, top) - (count - 1) * inTimePerSecond;
    const gained = Math.min(inTimePerSecond, Math.max(0, wantedPerSecond));
    return risesShare(model) * gained * savedS * copyNeeds.LATE_LOSS;
  }

  return {
    worthOfNext: (model) => worthOf(model, index.nearCount(model) + 1),
    evictionLoss: (upstream) => {
      if (upstream.diskModels.size < places) return 0;
      const resident = new Set(upstream.copies.map(({ model }) => model));
      const losses = [...upstream.diskModels]
        .filter((model) => !resident.has(model))
        .map((model) => worthOf(model, index.nearCount(model)));
      // Which of them goes is the upstream's to decide: the one that it used longest ago.
      return losses.reduce((sum, loss) => sum + loss, 0) / Math.max(1, losses.length);
    },
  };
}
