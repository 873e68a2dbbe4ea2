/** Placing in the present policy: plans the copies of each model and carries the plans out. */
import { demands, eviction, loadAllowance, placement } from '@copperlever/decisions';

import type * as benchTypes from '../types.js';
import type * as world from '../world.js';
import * as presentAgents from './present-agents.js';

/** Each model is planned once in this many ticks of a second, spread evenly. */
const PLAN_EVERY_TICKS = 5;

/** A change under way on one upstream: what leaves first, then what is loaded. */
type Move = { model: string; displaced: readonly string[]; purpose: loadAllowance.LoadPurpose };

export type Coordinator = {
  observe: (request: benchTypes.Request, expectedMs: number) => void;
  /** Plans for one model now, rather than at the next tick. */
  plan: (model: benchTypes.ModelSpec) => void;
  loaded: () => void;
  tick: () => void;
};

type Options = {
  agents: ReadonlyMap<string, presentAgents.Agent>;
  slowness: (upstreamId: string) => number;
};

export function createCoordinator(fleet: world.World, options: Options): Coordinator {
  const demand = demands.createDemands();
  const allowance = loadAllowance.createLoadAllowance(fleet.size);
  const floors = new Map<string, string>();
  const changedAtMs = new Map<string, number>();
  const moves = new Map<string, Move>();
  let tickCount = 0;

  function liveAgents(pool: string): presentAgents.Agent[] {
    return [...options.agents.values()].filter(
      ({ upstream }) => upstream.spec.pool === pool && !upstream.lost,
    );
  }

  function holders(model: benchTypes.ModelSpec): presentAgents.Agent[] {
    return liveAgents(model.pool).filter(
      (agent) => agent.upstream.copies.has(model.id) && !agent.draining.has(model.id),
    );
  }

  function availableSlots(agent: presentAgents.Agent, model: string): number {
    return agent.availableSlots(model) / options.slowness(agent.upstream.spec.id);
  }

  function isFloor(agent: presentAgents.Agent, modelId: string): boolean {
    const held = holders(fleet.model(modelId));
    const floorId = floors.get(modelId);
    const isKept = held.some((holder) => holder.upstream.spec.id === floorId);
    if (!isKept && held[0] !== undefined) floors.set(modelId, held[0].upstream.spec.id);
    return floors.get(modelId) === agent.upstream.spec.id;
  }

  function spareElsewhere(agent: presentAgents.Agent, modelId: string): number {
    return holders(fleet.model(modelId))
      .filter((holder) => holder !== agent)
      .reduce(
        (sum, holder) =>
          sum + Math.max(0, availableSlots(holder, modelId) - holder.busySlots(modelId)),
        0,
      );
  }

  function toOffer(agent: presentAgents.Agent, model: benchTypes.ModelSpec): placement.Offer {
    const freeBytes = fleet.freeBytes(agent.upstream);
    const copies = presentAgents.listHeldCopies(
      agent,
      (other) => isFloor(agent, other),
      (other) => spareElsewhere(agent, other),
      fleet,
    );
    return {
      upstreamId: agent.upstream.spec.id,
      failureDomain: agent.upstream.spec.failureDomain,
      freeBytes,
      availableSlots: availableSlots(agent, model.id),
      eviction: eviction.chooseEvicted(copies, model.sizeBytes - freeBytes, fleet.nowMs()),
    };
  }

  function toCopyView(agent: presentAgents.Agent, model: string): placement.CopyView {
    return {
      upstreamId: agent.upstream.spec.id,
      failureDomain: agent.upstream.spec.failureDomain,
      isReady: (agent.upstream.copies.get(model)?.readyAtMs ?? 0) <= fleet.nowMs(),
      availableSlots: availableSlots(agent, model),
    };
  }

  function isMoving(model: string): boolean {
    return [...moves.values()].some((move) => move.model === model);
  }

  /** A copy that was to leave stays when its model has lost all others. */
  function keepLastCopy(model: benchTypes.ModelSpec): void {
    const last = liveAgents(model.pool).find((agent) => agent.draining.has(model.id));
    if (last === undefined) return;
    const move = moves.get(last.upstream.spec.id);
    move?.displaced.forEach((id) => last.draining.delete(id));
    moves.delete(last.upstream.spec.id);
  }

  function plan(model: benchTypes.ModelSpec): void {
    const nowMs = fleet.nowMs();
    if (isMoving(model.id)) return;
    if (holders(model).length === 0) keepLastCopy(model);
    const held = holders(model);
    const neededSlots = demand.neededSlots(model.id, nowMs);
    const offers = () =>
      liveAgents(model.pool)
        .filter((agent) => !held.includes(agent) && !moves.has(agent.upstream.spec.id))
        .filter((agent) => !agent.upstream.copies.has(model.id))
        .map((agent) => toOffer(agent, model));
    const view = {
      model: model.id,
      sizeBytes: model.sizeBytes,
      neededSlots,
      minimumCopies: 1,
      changedAtMs: changedAtMs.get(model.id) ?? -Infinity,
    };
    const copies = held.map((agent) => toCopyView(agent, model.id));
    const limits = { moveCostMs: fleet.size.moveCostMs };
    begin(model, placement.planCopies(view, copies, offers(), limits, nowMs));
  }

  function begin(model: benchTypes.ModelSpec, change: placement.CopyPlan): void {
    switch (change.kind) {
      case 'none':
        return;
      case 'remove': {
        const agent = options.agents.get(change.upstreamId) as presentAgents.Agent;
        if (agent.activeCount(model.id) > 0) return;
        fleet.unload(change.upstreamId, model.id);
        changedAtMs.set(model.id, fleet.nowMs());
        return;
      }
      case 'add': {
        const agent = options.agents.get(change.upstreamId) as presentAgents.Agent;
        const purpose = change.reason === 'unreachable' ? 'reachability' : 'demand';
        change.displaced.forEach((id) => agent.draining.add(id));
        moves.set(change.upstreamId, { model: model.id, displaced: change.displaced, purpose });
        advance(agent);
      }
    }
  }

  /** Unloads what has run dry, and loads once there is room and the weight store allows it. */
  function advance(agent: presentAgents.Agent): void {
    const { id } = agent.upstream.spec;
    const move = moves.get(id);
    if (move === undefined) return;
    if (agent.upstream.lost) {
      moves.delete(id);
      return;
    }
    move.displaced
      .filter((model) => agent.upstream.copies.has(model) && agent.activeCount(model) === 0)
      .forEach((model) => {
        fleet.unload(id, model);
        agent.draining.delete(model);
      });
    const neededBytes = fleet.model(move.model).sizeBytes;
    if (fleet.freeBytes(agent.upstream) < neededBytes) return;
    if (!allowance.tryAcquire(move.purpose, fleet.nowMs())) return;
    if (!fleet.load(id, move.model)) {
      allowance.recordRefused(fleet.nowMs());
      return;
    }
    allowance.recordStarted();
    changedAtMs.set(move.model, fleet.nowMs());
    moves.delete(id);
  }

  return {
    observe: (request, expectedMs) => demand.observe(request.model, expectedMs, fleet.nowMs()),
    plan,
    loaded: () => allowance.recordFinished(),
    tick: () => {
      const ordered = [...moves.entries()].sort(
        ([, left], [, right]) =>
          Number(left.purpose === 'demand') - Number(right.purpose === 'demand'),
      );
      ordered.forEach(([id]) => advance(options.agents.get(id) as presentAgents.Agent));
      tickCount += 1;
      fleet.size.models
        .filter((_, index) => (index + tickCount) % PLAN_EVERY_TICKS === 0)
        .forEach(plan);
    },
  };
}
