/**
 * Proposes copies of the models that this agent ranks first for. Views of the fleet differ, so a model
 * may have two coordinators for a while: they only ask, and agents decide, so the worst is one copy
 * too many.
 */
import type { schema } from '@copperlever/configuration';
import { checks } from '@copperlever/configuration';
import { placement, routing } from '@copperlever/decisions';
import { clocks, type logs, type metrics, randoms } from '@copperlever/runtime';

import type * as demandBoards from './demand-board.js';
import type * as fleetViews from './fleet-view.js';
import type * as types from './types.js';

export type CoordinatorDeps = {
  clock: clocks.Clock;
  random: randoms.Random;
  log: logs.Logger;
  metrics: Pick<metrics.Metrics, 'count'>;
  selfId: string;
  fleet: fleetViews.FleetView;
  board: demandBoards.DemandBoard;
  link: types.AgentLink;
  document: () => schema.Document;
};

export type Coordinator = {
  /** One round over the models that this agent coordinates. */
  check: () => Promise<void>;
  /** Tells the coordinators of other models what this agent sees of their demand. */
  report: () => Promise<void>;
  run: (signal: AbortSignal) => Promise<void>;
};

/** One report in this time, to two or three coordinators, stays far below the 2 KB/s for control. */
const ROUND_MS = 10_000;
const CALL_TIMEOUT_MS = 1_000;
/** More offers find little more than the best of these. */
const OFFERS_SAMPLED = 3;
/** Below this part of the copies' slots no offer is asked for: there is nothing to decide. */
const ASK_ABOVE = 0.5;

export function createCoordinator(deps: CoordinatorDeps): Coordinator {
  const { board, clock, fleet, link, selfId } = deps;
  const changedAtMs = new Map<string, number>();

  function coordinatorOf(model: string): fleetViews.AgentView | undefined {
    const candidates = fleet.candidates(model);
    const ids = candidates.map((agent) => agent.agentId);
    const [firstId] = routing.rendezvousOrder(model, ids);
    return candidates.find((agent) => agent.agentId === firstId);
  }

  function availableSlots(model: string, agent: fleetViews.AgentView): number {
    if (agent.agentId !== selfId) {
      return board.told(model).get(agent.agentId)?.availableSlots ?? agent.upstream.slotCount;
    }
    const others = board.ownTotalSlots() - board.ownSlots(model);
    return Math.max(0, agent.upstream.slotCount - others);
  }

  function neededSlots(model: string): number {
    const told = [...board.told(model)].filter(([agentId]) => agentId !== selfId);
    return told.reduce((sum, [, demand]) => sum + demand.neededSlots, board.ownSlots(model));
  }

  function demandView(model: string): placement.DemandView {
    return {
      model,
      sizeBytes: checks.copySizeBytes(deps.document(), model),
      neededSlots: neededSlots(model),
      minimumCopies: deps.document().models[model]?.minimumCopies ?? 1,
      changedAtMs: changedAtMs.get(model) ?? Number.NEGATIVE_INFINITY,
    };
  }

  function copiesOf(model: string): placement.CopyView[] {
    return fleet
      .candidates(model)
      .filter((agent) => agent.readyTargets.includes(model))
      .map((agent) => ({
        upstreamId: agent.upstreamId,
        failureDomain: agent.upstream.failureDomain,
        isReady: true,
        availableSlots: availableSlots(model, agent),
      }));
  }

  function isWorthAsking(demand: placement.DemandView, copies: readonly placement.CopyView[]) {
    const slots = copies.reduce((sum, copy) => sum + copy.availableSlots, 0);
    const isShort = demand.neededSlots > ASK_ABOVE * slots;
    return copies.length < demand.minimumCopies || isShort;
  }

  async function askOffer(
    model: string,
    agent: fleetViews.AgentView,
  ): Promise<placement.Offer | null> {
    const reply = await link.offer(agent.address, { model }, clock.nowMs() + CALL_TIMEOUT_MS);
    if (reply.err) return null;
    const { displaced, freeBytes, lostSlots, possible } = reply.val;
    return {
      upstreamId: agent.upstreamId,
      failureDomain: agent.upstream.failureDomain,
      freeBytes,
      availableSlots: reply.val.availableSlots,
      eviction: possible ? { models: displaced, lostSlots } : null,
    };
  }

  async function askOffers(model: string): Promise<placement.Offer[]> {
    const without = fleet.candidates(model).filter((agent) => !agent.readyTargets.includes(model));
    const sampled = randoms.sample(deps.random, without, OFFERS_SAMPLED);
    const offers = await Promise.all(sampled.map((agent) => askOffer(model, agent)));
    return offers.filter((offer) => offer !== null);
  }

  async function askForCopy(model: string, plan: Extract<placement.CopyPlan, { kind: 'add' }>) {
    const chosen = fleet.candidates(model).find((agent) => agent.upstreamId === plan.upstreamId);
    if (chosen === undefined) return;
    const forReachability = plan.reason === 'unreachable' || plan.reason === 'below-minimum';
    const request = { model, forReachability, requestedBy: selfId };
    const asked = await link.addCopy(chosen.address, request, clock.nowMs() + CALL_TIMEOUT_MS);
    const isAccepted = asked.ok && asked.val.accepted;
    if (isAccepted) changedAtMs.set(model, clock.nowMs());
    const outcome = isAccepted ? 'accepted' : 'refused';
    deps.metrics.count('agent.copies_asked', 1, { reason: plan.reason, outcome });
    deps.log.info('copy-asked', { model, agent: chosen.agentId, reason: plan.reason, outcome });
  }

  async function place(model: string): Promise<void> {
    const demand = demandView(model);
    const copies = copiesOf(model);
    if (!isWorthAsking(demand, copies)) return;
    const offers = await askOffers(model);
    const limits = { moveCostMs: deps.document().policy.moveCostMs };
    const plan = placement.planCopies(demand, copies, offers, limits, clock.nowMs());
    // A copy that is not needed is left where it is until others need its room.
    if (plan.kind === 'add') await askForCopy(model, plan);
  }

  async function check(): Promise<void> {
    for (const model of Object.keys(deps.document().models)) {
      if (coordinatorOf(model)?.agentId === selfId) await place(model);
    }
  }

  async function report(): Promise<void> {
    const self = fleet.agents().find((agent) => agent.agentId === selfId);
    const byAddress = new Map<string, string[]>();
    for (const model of board.ownModels()) {
      const coordinator = coordinatorOf(model);
      if (coordinator === undefined || coordinator.agentId === selfId) continue;
      const models = byAddress.get(coordinator.address) ?? [];
      byAddress.set(coordinator.address, [...models, model]);
    }
    const sent = [...byAddress].map(([address, models]) => {
      const demands = models.map((model) => ({
        model,
        neededSlots: board.ownSlots(model),
        availableSlots: self === undefined ? 0 : availableSlots(model, self),
      }));
      const deadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
      return link.reportDemand(address, { agentId: selfId, demands }, deadlineMs);
    });
    await Promise.all(sent);
  }

  return {
    check,
    report,
    run: async (signal) => {
      while (!signal.aborted) {
        // Spread over time, so that agents that started together do not all ask together.
        const waitMs = ROUND_MS * (0.5 + deps.random.fraction());
        await clocks.sleepUntil(clock, clock.nowMs() + waitMs, signal);
        if (signal.aborted) return;
        await report();
        await check();
      }
    },
  };
}
