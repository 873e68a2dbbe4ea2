/**
 * What perfect knowledge could serve within targets. Loose on purpose: work may be cut between slots,
 * every upstream holds every model of its pool, and shorter work goes first.
 */
import type * as benchTypes from './types.js';

const WINDOW_MS = 60_000;

export type Bound = { all: number; critical: number };

/** The slot milliseconds that a pool has between two instants. */
function capacityMs(
  size: benchTypes.Size,
  load: benchTypes.Load,
  pool: string,
  fromMs: number,
  toMs: number,
): number {
  return size.upstreams
    .filter((upstream) => upstream.pool === pool)
    .reduce((sumMs, upstream) => {
      const hit = load.disturbances.find((event) => event.upstreamId === upstream.id);
      const hitAtMs = Math.min(toMs, Math.max(fromMs, hit?.atMs ?? toMs));
      const speedAfter = hit?.kind === 'slow' ? hit.speed : 0;
      const spanMs = hitAtMs - fromMs + speedAfter * (toMs - hitAtMs);
      return sumMs + upstream.slotCount * spanMs;
    }, 0);
}

function countFitting(requests: readonly benchTypes.Request[], availableMs: number): number {
  const servicesMs = requests.map((request) => request.realServiceMs);
  servicesMs.sort((left, right) => left - right);
  let leftMs = availableMs;
  const firstUnfit = servicesMs.findIndex((serviceMs) => {
    leftMs -= serviceMs;
    return leftMs < 0;
  });
  return firstUnfit === -1 ? servicesMs.length : firstUnfit;
}

/** Work that arrives in a window must be done between its start and the last of its deadlines. */
function countServable(
  size: benchTypes.Size,
  load: benchTypes.Load,
  pool: string,
  requests: readonly benchTypes.Request[],
  windowMs: number,
): number {
  const windows = new Map<number, benchTypes.Request[]>();
  requests.forEach((request) => {
    const index = Math.floor(request.arrivedAtMs / windowMs);
    const window = windows.get(index) ?? [];
    window.push(request);
    windows.set(index, window);
  });
  let count = 0;
  windows.forEach((window, index) => {
    const untilMs = window.reduce((latest, item) => Math.max(latest, item.deadlineMs), 0);
    count += countFitting(window, capacityMs(size, load, pool, index * windowMs, untilMs));
  });
  return count;
}

export function computeBound(size: benchTypes.Size, load: benchTypes.Load): Bound {
  const pools = [...new Set(size.upstreams.map((upstream) => upstream.pool))];
  const poolOf = new Map(size.models.map((model) => [model.id, model.pool]));
  const bound = { all: 0, critical: 0 };
  pools.forEach((pool) => {
    const requests = load.requests.filter((request) => poolOf.get(request.model) === pool);
    const critical = requests.filter((request) => request.priorityClass === 'critical');
    const urgent = requests.filter((request) => request.priorityClass !== 'batch');
    const most = (part: readonly benchTypes.Request[]) =>
      Math.min(
        countServable(size, load, pool, part, load.arrivalsEndMs),
        countServable(size, load, pool, part, WINDOW_MS),
      );
    const batchCount = requests.length - urgent.length;
    bound.all += Math.min(most(requests), most(urgent) + batchCount);
    bound.critical += most(critical);
  });
  return bound;
}
