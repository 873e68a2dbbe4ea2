/**
 * Index of the upstreams that have each model staged. It is built once for a plan, which looks it up for each model at
 * each candidate.
 */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';

type StagedWeights = { upstream: copyNeeds.UpstreamView; level: copyNeeds.StorageLevel };

export type StagedIndex = {
  /** Upstreams that can load the model now from their host memory or disk. */
  usable: (model: string) => readonly copyNeeds.UpstreamView[];
  /** Upstreams that have the model in host memory or on disk but are busy with a change. */
  changing: (model: string) => readonly copyNeeds.UpstreamView[];
  /** Number of upstreams that have the model in host memory, on disk, resident or loading. */
  stagedCount: (model: string) => number;
  /** The shortest load time of the model at any upstream that can start a load now, except `exceptId`. */
  shortestLoadMs: (spec: fleet.ModelSpec, exceptId: string | null) => number;
};

const NONE: readonly StagedWeights[] = [];

function push<Value>(lists: Map<string, Value[]>, key: string, value: Value): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}

function modelsHeldBy(upstream: copyNeeds.UpstreamView): Set<string> {
  const models = new Set([...upstream.hostModels, ...upstream.diskModels]);
  upstream.copies.forEach(({ model }) => models.add(model));
  if (upstream.loadingModel !== null) models.add(upstream.loadingModel);
  return models;
}

export function createStagedIndex(upstreams: readonly copyNeeds.UpstreamView[]): StagedIndex {
  const usable = new Map<string, StagedWeights[]>();
  const changing = new Map<string, copyNeeds.UpstreamView[]>();
  const stagedCounts = new Map<string, number>();
  upstreams.forEach((upstream) => {
    modelsHeldBy(upstream).forEach((model) => {
      stagedCounts.set(model, (stagedCounts.get(model) ?? 0) + 1);
      const level = copyNeeds.storageLevelAt(upstream, model);
      if (level === 'store') return;
      if (upstream.isChanging) push(changing, model, upstream);
      else push(usable, model, { upstream, level });
    });
  });

  return {
    usable: (model) => (usable.get(model) ?? NONE).map(({ upstream }) => upstream),
    changing: (model) => changing.get(model) ?? [],
    stagedCount: (model) => stagedCounts.get(model) ?? 0,
    shortestLoadMs: (spec, exceptId) =>
      (usable.get(spec.name) ?? NONE).reduce(
        (shortestMs, { upstream, level }) =>
          upstream.upstreamId === exceptId
            ? shortestMs
            : Math.min(shortestMs, copyNeeds.loadMsAt(spec, level)),
        spec.storeLoadMs,
      ),
  };
}
