/** Joins what an agent needs to hold copies in an engine's memory, or to stand beside a service. */
import { floors } from '@copperlever/coordination';
import { clocks } from '@copperlever/runtime';

import type * as containers from './container.js';
import * as engineCopies from './server/copies/engine-copies.js';
import * as serviceCopies from './server/copies/service-copies.js';
import type * as copyTypes from './server/copies/types.js';
import * as floorKeepers from './server/floors/floor-keeper.js';
import * as standings from './server/floors/standings.js';
import * as intents from './server/orders/intents.js';
import * as orders from './server/orders/orders.js';
import type * as orderTypes from './server/orders/types.js';
import * as fleetViews from './server/placing/fleet-view.js';
import * as handOvers from './server/placing/hand-overs.js';
import * as ledgers from './shared/memory-ledger.js';
import * as needs from './shared/needs.js';

export type AgentCopies = copyTypes.Copies & {
  /** Follows the engine, the floors and the other agents until stopped. */
  run?: (signal: AbortSignal) => Promise<void>;
  /** The models whose last copy is here and that another agent should take over. */
  handingOver?: () => readonly string[];
  ledger?: ledgers.MemoryLedger;
};

const HAND_OVER_CHECK_MS = 1_000;
/**
 * Where all models should fit and one finds no place for this long, the last copies lie so that they
 * do not: then too the models take turns.
 */
const TURN_PATIENCE_MS = 5_000;

function createOrders(
  parts: containers.AgentParts,
  ledger: ledgers.MemoryLedger,
): orderTypes.Orders {
  const { clock, document, incarnation, log, metrics, random, store } = parts;
  const { upstreamId } = parts.settings;
  return orders.createOrders({
    clock,
    log,
    metrics,
    engine: parts.upstream,
    ledger,
    upstreamId,
    incarnation,
    intents: intents.createIntentsStore({ clock, random, store, upstreamId, incarnation }),
    checksFencing: () => {
      const upstream = document().upstreams[upstreamId];
      return upstream?.kind === 'engine' && upstream.checksFencing;
    },
  });
}

function createEngineParts(parts: containers.AgentParts): AgentCopies {
  const { clock, control, document, log, metrics, random, settings, store } = parts;
  const { upstreamId, agentId } = settings;
  const { membership } = control;
  const fleet = fleetViews.createFleetView({ members: membership.members, document });
  const ledger = ledgers.createMemoryLedger(needs.capacityBytes(document(), upstreamId));

  function isStaying(): boolean {
    const isLeaving = membership.self().status === 'leaving';
    return !isLeaving && document().upstreams[upstreamId]?.draining === false;
  }

  function isNowhere(model: string): boolean {
    const isElsewhere = (agent: fleetViews.AgentView) =>
      agent.agentId !== agentId && agent.isStaying && agent.readyTargets.includes(model);
    return !fleet.agents().some(isElsewhere);
  }

  /** Only a model that nobody has may take the place of last copies, and only for want of room. */
  function mayTakeTurn(target: string, waitedMs: number): boolean {
    const model = document().adapters[target]?.model ?? target;
    const isShort = !fleet.fitsAll(model) || waitedMs >= TURN_PATIENCE_MS;
    return isShort && isNowhere(model);
  }

  const copies = engineCopies.createEngineCopies({
    clock,
    log,
    metrics,
    engine: parts.upstream,
    ledger,
    orders: createOrders(parts, ledger),
    upstreamId,
    document,
    // An adapter is loaded again wherever its model is; only models have floors.
    isFloorHere: (name) => needs.isModel(document(), name) && keeper.isFloorHere(name),
    mayTakeTurn,
  });

  function handingOver(): readonly string[] {
    const held = keeper.heldModels();
    if (!isStaying()) return held;
    return held.filter((model) => copies.stuckNames().includes(model));
  }

  const keeper: floorKeepers.FloorKeeper = floorKeepers.createFloorKeeper({
    clock,
    random,
    log,
    metrics,
    floors: floors.createFloors({ store, clock, random }),
    self: { holderId: agentId, incarnation: parts.incarnation },
    readyModels: () => copies.readyTargets().filter((target) => needs.isModel(document(), target)),
    standingOf: standings.createStandings({ find: membership.find, document }),
    isStaying,
    isHandingOver: (model) => handingOver().includes(model),
    reload: copies.want,
  });

  const taking = handOvers.createHandOvers({
    clock,
    selfId: agentId,
    fleet,
    isReady: copies.isReady,
    want: copies.want,
  });

  async function followHandOvers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clocks.sleepUntil(clock, clock.nowMs() + HAND_OVER_CHECK_MS, signal);
      if (isStaying()) taking.check();
    }
  }

  return {
    ...copies,
    handingOver,
    run: async (signal) => {
      await Promise.all([copies.run(signal), keeper.run(signal), followHandOvers(signal)]);
    },
  };
}

/** An engine's copies, or a plain service's, as the first configuration with the upstream says. */
export function createCopies(parts: containers.AgentParts): AgentCopies {
  const { settings, document } = parts;
  const upstream = document().upstreams[settings.upstreamId];
  if (upstream?.kind === 'engine') return createEngineParts(parts);
  return serviceCopies.createServiceCopies(() =>
    Object.entries(document().services)
      .filter(([, service]) => service.pool === upstream?.pool)
      .map(([name]) => name),
  );
}
