/** The fleet on a virtual clock: slots, memory, the weight store. It obeys; policies decide. */
import type * as benchTypes from './types.js';

const WEIGHT_STORE_BYTES_PER_MS = 2e6;
const TICK_MS = 1_000;

export type Copy = { model: string; readyAtMs: number; lastUsedAtMs: number; activeCount: number };

export type Upstream = {
  spec: benchTypes.UpstreamSpec;
  speed: number;
  lost: boolean;
  copies: Map<string, Copy>;
  running: Map<string, benchTypes.Request>;
};

/** What happened to one request; policies never see it. */
export type Verdict =
  | { kind: 'served'; upstreamId: string; startedAtMs: number; doneAtMs: number }
  | { kind: 'refused'; atMs: number; retryAtMs: number }
  | { kind: 'abandoned'; atMs: number };

/** A policy under measurement; the world calls it and it calls the world. */
export type Policy = {
  arrive: (request: benchTypes.Request) => void;
  finish: (request: benchTypes.Request, upstreamId: string, tookMs: number) => void;
  loaded: (upstreamId: string, model: string) => void;
  /** An upstream was lost with `inFlight`; what waited there is the policy's to move. */
  lose: (upstreamId: string, inFlight: readonly benchTypes.Request[]) => void;
  tick: () => void;
};

export type World = {
  size: benchTypes.Size;
  nowMs: () => number;
  upstream: (id: string) => Upstream;
  upstreams: () => readonly Upstream[];
  model: (id: string) => benchTypes.ModelSpec;
  freeBytes: (upstream: Upstream) => number;
  start: (request: benchTypes.Request, upstreamId: string) => void;
  refuse: (request: benchTypes.Request, retryAtMs: number) => void;
  abandon: (request: benchTypes.Request) => void;
  /** Begins a load; false when the weight store refuses it for now. */
  load: (upstreamId: string, model: string) => boolean;
  unload: (upstreamId: string, model: string) => void;
};

type Timer = { atMs: number; run: () => void };

export type RunResult = { verdicts: Map<string, Verdict>; moves: number };

/** Inserts behind timers of the same instant, so that equal runs stay equal. */
function insertTimer(timers: Timer[], timer: Timer): void {
  let low = 0;
  let high = timers.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((timers[middle] as Timer).atMs > timer.atMs) low = middle + 1;
    else high = middle;
  }
  timers.splice(low, 0, timer);
}

/** Runs `load` against the policy that `createPolicy` makes, from the copies of `placement`. */
export function run(
  size: benchTypes.Size,
  load: benchTypes.Load,
  placement: ReadonlyMap<string, readonly string[]>,
  createPolicy: (world: World) => Policy,
): RunResult {
  let nowMs = 0;
  let moves = 0;
  let storeTokens = size.loadsPerSecond;
  let storeFilledAtMs = 0;
  let loadingCount = 0;
  /** Latest first, so that the next one is taken from the end. */
  const timers: Timer[] = [];
  const verdicts = new Map<string, Verdict>();
  const models = new Map(size.models.map((model) => [model.id, model]));
  const upstreams = size.upstreams.map((spec): Upstream => {
    const copies = (placement.get(spec.id) ?? []).map((model): [string, Copy] => [
      model,
      { model, readyAtMs: 0, lastUsedAtMs: 0, activeCount: 0 },
    ]);
    return { spec, speed: 1, lost: false, copies: new Map(copies), running: new Map() };
  });
  const byId = new Map(upstreams.map((upstream) => [upstream.spec.id, upstream]));

  function schedule(atMs: number, work: () => void): void {
    insertTimer(timers, { atMs, run: work });
  }

  function takeStoreToken(): boolean {
    const gained = ((nowMs - storeFilledAtMs) / 1_000) * size.loadsPerSecond;
    storeTokens = Math.min(Math.max(1, size.loadsPerSecond), storeTokens + gained);
    storeFilledAtMs = nowMs;
    if (storeTokens < 1) return false;
    storeTokens -= 1;
    return true;
  }

  const world: World = {
    size,
    nowMs: () => nowMs,
    upstream: (id) => byId.get(id) as Upstream,
    upstreams: () => upstreams,
    model: (id) => models.get(id) as benchTypes.ModelSpec,
    freeBytes: (upstream) => {
      const usedBytes = [...upstream.copies.keys()].reduce(
        (sum, id) => sum + world.model(id).sizeBytes,
        0,
      );
      return upstream.spec.memoryBytes - usedBytes;
    },
    start: (request, upstreamId) => {
      const upstream = world.upstream(upstreamId);
      const copy = upstream.copies.get(request.model);
      if (copy === undefined || copy.readyAtMs > nowMs || upstream.lost) {
        throw new Error(`${upstreamId} has no ready copy of ${request.model}`);
      }
      if (upstream.running.size >= upstream.spec.slotCount) {
        throw new Error(`${upstreamId} has no free slot`);
      }
      const startedAtMs = nowMs;
      const tookMs = request.realServiceMs / upstream.speed;
      upstream.running.set(request.id, request);
      copy.lastUsedAtMs = nowMs;
      copy.activeCount += 1;
      schedule(nowMs + tookMs, () => {
        if (!upstream.running.delete(request.id)) return;
        copy.activeCount -= 1;
        verdicts.set(request.id, { kind: 'served', upstreamId, startedAtMs, doneAtMs: nowMs });
        policy.finish(request, upstreamId, tookMs);
      });
    },
    refuse: (request, retryAtMs) => {
      verdicts.set(request.id, { kind: 'refused', atMs: nowMs, retryAtMs });
    },
    abandon: (request) => {
      verdicts.set(request.id, { kind: 'abandoned', atMs: nowMs });
    },
    load: (upstreamId, modelId) => {
      const upstream = world.upstream(upstreamId);
      const model = world.model(modelId);
      if (upstream.lost || upstream.copies.has(modelId)) return false;
      if (world.freeBytes(upstream) < model.sizeBytes) {
        throw new Error(`${upstreamId} has no memory for ${modelId}`);
      }
      if (!takeStoreToken()) return false;
      moves += 1;
      loadingCount += 1;
      const slowdown = Math.max(1, loadingCount / size.concurrentLoads);
      const readyAtMs = nowMs + (model.sizeBytes / WEIGHT_STORE_BYTES_PER_MS) * slowdown;
      upstream.copies.set(modelId, {
        model: modelId,
        readyAtMs,
        lastUsedAtMs: nowMs,
        activeCount: 0,
      });
      schedule(readyAtMs, () => {
        loadingCount -= 1;
        if (!upstream.lost) policy.loaded(upstreamId, modelId);
      });
      return true;
    },
    unload: (upstreamId, modelId) => {
      const copy = world.upstream(upstreamId).copies.get(modelId);
      if (copy === undefined || copy.activeCount > 0 || copy.readyAtMs > nowMs) {
        throw new Error(`${modelId} on ${upstreamId} is in use`);
      }
      world.upstream(upstreamId).copies.delete(modelId);
      moves += 1;
    },
  };
  const policy = createPolicy(world);

  function disturb(disturbance: benchTypes.Disturbance): void {
    const upstream = world.upstream(disturbance.upstreamId);
    switch (disturbance.kind) {
      case 'slow':
        upstream.speed = disturbance.speed;
        return;
      case 'lost': {
        const inFlight = [...upstream.running.values()];
        upstream.lost = true;
        upstream.running.clear();
        upstream.copies.clear();
        policy.lose(disturbance.upstreamId, inFlight);
      }
    }
  }

  load.disturbances.forEach((disturbance) =>
    schedule(disturbance.atMs, () => disturb(disturbance)),
  );
  const endMs = load.requests.reduce((latest, item) => Math.max(latest, item.deadlineMs), 0);
  function tick(): void {
    policy.tick();
    if (nowMs < endMs) schedule(nowMs + TICK_MS, tick);
  }
  schedule(0, tick);

  let next = 0;
  while (next < load.requests.length || timers.length > 0) {
    const request = load.requests[next];
    const timer = timers.at(-1);
    if (request !== undefined && (timer === undefined || request.arrivedAtMs < timer.atMs)) {
      nowMs = request.arrivedAtMs;
      next += 1;
      policy.arrive(request);
    } else if (timer !== undefined) {
      timers.pop();
      nowMs = timer.atMs;
      timer.run();
    }
  }
  return { verdicts, moves };
}
