/**
 * The baselines: first come, first served at each upstream, and no admission. Callers of a baseline
 * give up at their deadline, which frees the queue of work that no one wants any more.
 */
import type * as benchTypes from '../types.js';
import type * as world from '../world.js';

/** Which upstream a request goes to; null when none can serve it. */
export type Choose = (
  request: benchTypes.Request,
  usable: readonly world.Upstream[],
  outstanding: (upstreamId: string) => number,
) => world.Upstream | null;

export type BaselineOptions = { choose: Choose; loadsOnDemand: boolean };

function hasReadyCopy(upstream: world.Upstream, model: string, nowMs: number): boolean {
  const copy = upstream.copies.get(model);
  return copy !== undefined && copy.readyAtMs <= nowMs;
}

export function createBaseline(fleet: world.World, options: BaselineOptions): world.Policy {
  const queues = new Map<string, benchTypes.Request[]>(
    fleet.upstreams().map((upstream) => [upstream.spec.id, []]),
  );
  const retried = new Set<string>();

  function queueOf(upstream: world.Upstream): benchTypes.Request[] {
    return queues.get(upstream.spec.id) as benchTypes.Request[];
  }

  /** Unloads the least recently used copies that nothing runs on until `neededBytes` are free. */
  function makeRoom(upstream: world.Upstream, neededBytes: number): boolean {
    const idle = [...upstream.copies.values()]
      .filter((copy) => copy.activeCount === 0 && copy.readyAtMs <= fleet.nowMs())
      .sort((left, right) => left.lastUsedAtMs - right.lastUsedAtMs);
    while (fleet.freeBytes(upstream) < neededBytes) {
      const oldest = idle.shift();
      if (oldest === undefined) return false;
      fleet.unload(upstream.spec.id, oldest.model);
    }
    return true;
  }

  function loadIfMissing(upstream: world.Upstream, model: string): void {
    if (!options.loadsOnDemand || upstream.copies.has(model)) return;
    if (!makeRoom(upstream, fleet.model(model).sizeBytes)) return;
    fleet.load(upstream.spec.id, model);
  }

  function pump(upstream: world.Upstream): void {
    const queue = queueOf(upstream);
    const left: benchTypes.Request[] = [];
    queue.forEach((request) => {
      if (request.deadlineMs < fleet.nowMs()) {
        fleet.abandon(request);
      } else if (
        upstream.running.size < upstream.spec.slotCount &&
        hasReadyCopy(upstream, request.model, fleet.nowMs())
      ) {
        fleet.start(request, upstream.spec.id);
      } else {
        left.push(request);
      }
    });
    queues.set(upstream.spec.id, left);
  }

  function arrive(request: benchTypes.Request): void {
    const { pool } = fleet.model(request.model);
    const usable = fleet
      .upstreams()
      .filter((upstream) => upstream.spec.pool === pool && !upstream.lost);
    const chosen = options.choose(
      request,
      usable,
      (id) => (queues.get(id)?.length ?? 0) + fleet.upstream(id).running.size,
    );
    if (chosen === null) {
      fleet.refuse(request, fleet.nowMs());
      return;
    }
    queueOf(chosen).push(request);
    loadIfMissing(chosen, request.model);
    pump(chosen);
  }

  return {
    arrive,
    finish: (_, upstreamId) => pump(fleet.upstream(upstreamId)),
    loaded: (upstreamId) => pump(fleet.upstream(upstreamId)),
    lose: (upstreamId, inFlight) => {
      const waiting = queues.get(upstreamId) ?? [];
      queues.set(upstreamId, []);
      [...inFlight, ...waiting].forEach((request) => {
        if (retried.has(request.id)) return;
        retried.add(request.id);
        arrive(request);
      });
    },
    tick: () => {
      fleet.upstreams().forEach((upstream) => {
        if (upstream.lost) return;
        pump(upstream);
        const firstMissing = queueOf(upstream).find(
          (request) => !upstream.copies.has(request.model),
        );
        if (firstMissing !== undefined) loadIfMissing(upstream, firstMissing.model);
      });
    },
  };
}

/** Every upstream of the pool in turn, whatever it holds. */
export function chooseRoundRobin(): Choose {
  let turn = 0;
  return (_, usable) => {
    turn += 1;
    return usable[turn % usable.length] ?? null;
  };
}

/** The copy with the fewest requests; any upstream when there is no copy and loading is allowed. */
export function chooseLeastOutstanding(loadsOnDemand: boolean): Choose {
  return (request, usable, outstanding) => {
    const copies = usable.filter((upstream) => upstream.copies.has(request.model));
    const pool = copies.length > 0 || !loadsOnDemand ? copies : usable;
    return pool.reduce<world.Upstream | null>((best, upstream) => {
      if (best === null) return upstream;
      return outstanding(upstream.spec.id) < outstanding(best.spec.id) ? upstream : best;
    }, null);
  };
}
