/** The project's own decisions, wired to the virtual fleet as the entry and the agent wire them. */
import { retryBudgets } from '@copperlever/decisions';
import type { randoms } from '@copperlever/runtime';

import type * as benchTypes from '../types.js';
import type * as world from '../world.js';
import * as presentAgents from './present-agents.js';
import * as presentCoordinator from './present-coordinator.js';
import * as presentEntries from './present-entries.js';

const ENTRY_COUNT = 3;
/** Upstreams that are asked for one request before it is refused. */
const ATTEMPTS = 3;

type Sent = { entry: presentEntries.Entry; agent: presentAgents.Agent };

export function createPresent(fleet: world.World, random: randoms.Random): world.Policy {
  const sentBy = new Map<string, Sent>();
  const budget = retryBudgets.createRetryBudget();
  const agents = new Map(
    fleet
      .upstreams()
      .map((upstream) => [upstream.spec.id, presentAgents.createAgent(fleet, upstream)] as const),
  );
  const entries = Array.from({ length: ENTRY_COUNT }, () =>
    presentEntries.createEntry(fleet, random),
  );
  const coordinator = presentCoordinator.createCoordinator(fleet, {
    agents,
    slowness: (id) => entries[0]?.slowness(id) ?? 1,
  });

  function settle(requestId: string): Sent {
    const sent = sentBy.get(requestId) as Sent;
    sentBy.delete(requestId);
    sent.entry.settled(sent.agent);
    sent.entry.answered(sent.agent);
    return sent;
  }

  function pump(agent: presentAgents.Agent): void {
    agent.pump().forEach((request) => {
      settle(request.id);
      fleet.refuse(request, fleet.nowMs() + agent.queue.predictedWaitMs(fleet.nowMs()));
    });
  }

  function liveAgents(pool: string): presentAgents.Agent[] {
    return [...agents.values()].filter(
      ({ upstream }) => upstream.spec.pool === pool && !upstream.lost,
    );
  }

  function ensureCopy(model: benchTypes.ModelSpec, live: readonly presentAgents.Agent[]): void {
    const hasCopy = live.some(
      ({ upstream, draining }) => upstream.copies.has(model.id) && !draining.has(model.id),
    );
    if (!hasCopy) coordinator.plan(model);
  }

  function send(request: benchTypes.Request, entry: presentEntries.Entry): void {
    const model = fleet.model(request.model);
    const live = liveAgents(model.pool);
    ensureCopy(model, live);
    const excludedIds = new Set<string>();
    let retryAtMs = Infinity;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const agent = entry.route(request, live, excludedIds);
      if (agent === null) break;
      excludedIds.add(agent.upstream.spec.id);
      if (!agent.upstream.copies.has(request.model)) continue;
      const verdict = agent.admit(request);
      if (verdict.kind === 'admit') {
        sentBy.set(request.id, { entry, agent });
        entry.sent(agent);
        pump(agent);
        entry.answered(agent);
        return;
      }
      entry.answered(agent);
      retryAtMs = Math.min(retryAtMs, verdict.retryAtMs);
    }
    fleet.refuse(request, retryAtMs === Infinity ? fleet.nowMs() : retryAtMs);
  }

  return {
    arrive: (request) => {
      const entry = entries[random.below(ENTRY_COUNT)] as presentEntries.Entry;
      coordinator.observe(request, entry.expectedMs(request));
      send(request, entry);
    },
    finish: (request, upstreamId, tookMs) => {
      const agent = agents.get(upstreamId) as presentAgents.Agent;
      agent.finish(request, tookMs);
      settle(request.id).entry.finished(request, upstreamId, tookMs);
      budget.recordSuccess();
      pump(agent);
    },
    loaded: (upstreamId) => {
      coordinator.loaded();
      pump(agents.get(upstreamId) as presentAgents.Agent);
    },
    lose: (upstreamId, inFlight) => {
      const agent = agents.get(upstreamId) as presentAgents.Agent;
      [...inFlight, ...agent.takeWaiting()].forEach((request) => {
        const { entry } = settle(request.id);
        if (budget.tryAcquire(fleet.nowMs())) send(request, entry);
        else fleet.refuse(request, fleet.nowMs());
      });
    },
    tick: () => {
      agents.forEach((agent) => {
        if (agent.upstream.lost) return;
        agent.sampleBusy();
        pump(agent);
      });
      coordinator.tick();
    },
  };
}
