/** Which upstreams have each model near, worked out once for a plan: it is asked for each model at every place. */
import type * as fleet from '../../types/fleet.js';
import * as copyNeeds from './copy-needs.js';

type NearPlace = { upstream: copyNeeds.UpstreamView; level: copyNeeds.LoadLevel };

export type NearIndex = {
  /** Upstreams that are free to bring it from their host memory or disk. */
  usable: (model: string) => readonly copyNeeds.UpstreamView[];
  /** Upstreams that are busy with a change and have it in host memory or on disk. */
  changing: (model: string) => readonly copyNeeds.UpstreamView[];
  /** Upstreams that have it in host memory, on disk, resident or on its way. */
  nearCount: (model: string) => number;
  /** The quickest load of it by an upstream that is free for one, with `exceptId` left out. */
  quickestLoadMs: (spec: fleet.ModelSpec, exceptId: string | null) => number;
};

const NONE: readonly NearPlace[] = [];

function push<Value>(lists: Map<string, Value[]>, key: string, value: Value): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}

function modelsNear(upstream: copyNeeds.UpstreamView): Set<string> {
  const models = new Set([...upstream.hostModels, ...upstream.diskModels]);
  upstream.copies.forEach(({ model }) => models.add(model));
  if (upstream.arriving !== null) models.add(upstream.arriving);
  return models;
}

export function createNearIndex(upstreams: readonly copyNeeds.UpstreamView[]): NearIndex {
  const usable = new Map<string, NearPlace[]>();
  const changing = new Map<string, copyNeeds.UpstreamView[]>();
  const nearCounts = new Map<string, number>();
  upstreams.forEach((upstream) => {
    modelsNear(upstream).forEach((model) => {
      nearCounts.set(model, (nearCounts.get(model) ?? 0) + 1);
      const level = copyNeeds.levelAt(upstream, model);
      if (level === 'store') return;
      if (upstream.isChanging) push(changing, model, upstream);
      else push(usable, model, { upstream, level });
    });
  });

  return {
    usable: (model) => (usable.get(model) ?? NONE).map(({ upstream }) => upstream),
    changing: (model) => changing.get(model) ?? [],
    nearCount: (model) => nearCounts.get(model) ?? 0,
    quickestLoadMs: (spec, exceptId) =>
      (usable.get(spec.name) ?? NONE).reduce(
        (quickestMs, { upstream, level }) =>
          upstream.upstreamId === exceptId
            ? quickestMs
            : Math.min(quickestMs, copyNeeds.loadMsAt(spec, level)),
        spec.storeLoadMs,
      ),
  };
}
