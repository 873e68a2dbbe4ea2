/**
 * Last copies move from an agent that cannot keep them to one that can. The one that gives names them
 * in what it says of itself; the others load them in an order that each works out alone, and the
 * first that is ready takes the floor.
 */
import { routing } from '@copperlever/decisions';
import type { clocks } from '@copperlever/runtime';

import type * as fleetViews from './fleet-view.js';

export type HandOversDeps = {
  clock: clocks.Clock;
  selfId: string;
  fleet: fleetViews.FleetView;
  isReady: (model: string) => boolean;
  want: (model: string) => void;
};

export type HandOvers = {
  /** Loads what it is this agent's turn to take over. */
  check: () => void;
};

/** The next agent in the order begins when the ones before it have not got the model by then. */
const STEP_MS = 4_000;

export function createHandOvers(deps: HandOversDeps): HandOvers {
  const { clock, fleet, selfId } = deps;
  const seenSinceMs = new Map<string, number>();

  function offered(): string[] {
    const others = fleet.agents().filter((agent) => agent.agentId !== selfId);
    return [...new Set(others.flatMap((agent) => agent.handingOver))];
  }

  function forgetOld(models: readonly string[]): void {
    [...seenSinceMs.keys()]
      .filter((model) => !models.includes(model))
      .forEach((model) => seenSinceMs.delete(model));
  }

  function takers(model: string): fleetViews.AgentView[] {
    return fleet.candidates(model).filter((agent) => !agent.handingOver.includes(model));
  }

  function isMyTurn(model: string): boolean {
    const candidates = takers(model);
    if (candidates.some((agent) => agent.readyTargets.includes(model))) return false;
    const ids = candidates.map((agent) => agent.agentId);
    const rank = routing.rendezvousOrder(model, ids).indexOf(selfId);
    const sinceMs = seenSinceMs.get(model) ?? clock.nowMs();
    seenSinceMs.set(model, sinceMs);
    return rank !== -1 && clock.nowMs() >= sinceMs + rank * STEP_MS;
  }

  return {
    check: () => {
      const models = offered();
      forgetOld(models);
      models
        .filter((model) => !deps.isReady(model))
        .filter(isMyTurn)
        .forEach(deps.want);
    },
  };
}
