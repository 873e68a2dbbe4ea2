/** The project's own decisions, wired to the virtual fleet as the entry and the agent wire them. */
import { queues, routing, serviceTimes, types } from '@copperlever/decisions';
import type { randoms } from '@copperlever/runtime';

import type * as benchTypes from '../types.js';
import type * as world from '../world.js';

const ENTRY_COUNT = 3;
const MAX_WAITING = 400;
const ATTEMPTS = 2;
const REGION = 'region';

type Agent = {
  upstream: world.Upstream;
  queue: queues.WorkQueue;
  times: serviceTimes.ServiceTimes;
};

/** What one entry knows of one upstream, from the last answer it had from there. */
type View = { predictedWaitMs: number; seenAtMs: number; inFlightCount: number };

export function createPresent(fleet: world.World, random: randoms.Random): world.Policy {
  const requests = new Map<string, benchTypes.Request>();
  const entryOf = new Map<string, Map<string, View>>();
  const agents = new Map<string, Agent>(
    fleet.upstreams().map((upstream) => {
      const times = serviceTimes.createServiceTimes();
      const limits = { slotCount: upstream.spec.slotCount, maxWaiting: MAX_WAITING };
      return [upstream.spec.id, { upstream, times, queue: queues.createWorkQueue(limits, times) }];
    }),
  );
  const entries = Array.from({ length: ENTRY_COUNT }, () => new Map<string, View>());

  function viewOf(entry: Map<string, View>, upstreamId: string): View {
    const view = entry.get(upstreamId) ?? { predictedWaitMs: 0, seenAtMs: 0, inFlightCount: 0 };
    entry.set(upstreamId, view);
    return view;
  }

  function refreshView(view: View, agent: Agent): void {
    view.predictedWaitMs = agent.queue.predictedWaitMs(fleet.nowMs());
    view.seenAtMs = fleet.nowMs();
  }

  function toCandidate(
    entry: Map<string, View>,
    agent: Agent,
    request: benchTypes.Request,
  ): routing.Candidate {
    const { spec, copies } = agent.upstream;
    const view = viewOf(entry, spec.id);
    const copy = copies.get(request.model);
    return {
      upstreamId: spec.id,
      failureDomain: spec.failureDomain,
      region: REGION,
      hasCopy: copy !== undefined && copy.readyAtMs <= fleet.nowMs(),
      suspected: false,
      predictedWaitMs: Math.max(0, view.predictedWaitMs - (fleet.nowMs() - view.seenAtMs)),
      inFlightCount: view.inFlightCount,
    };
  }

  function isReady(agent: Agent, item: types.WorkItem): boolean {
    const copy = agent.upstream.copies.get((requests.get(item.id) as benchTypes.Request).model);
    return copy !== undefined && copy.readyAtMs <= fleet.nowMs();
  }

  function pump(agent: Agent): void {
    agent.queue.takeExpired(fleet.nowMs()).forEach((item) => {
      giveUp(agent, requests.get(item.id) as benchTypes.Request);
    });
    for (;;) {
      const item = agent.queue.startNext(fleet.nowMs(), (waiting) => isReady(agent, waiting));
      if (item === null) return;
      fleet.start(requests.get(item.id) as benchTypes.Request, agent.upstream.spec.id);
    }
  }

  function giveUp(agent: Agent, request: benchTypes.Request): void {
    settle(request, agent);
    fleet.refuse(request, fleet.nowMs());
  }

  function settle(request: benchTypes.Request, agent: Agent): void {
    const entry = entryOf.get(request.id) as Map<string, View>;
    const view = viewOf(entry, agent.upstream.spec.id);
    view.inFlightCount -= 1;
    refreshView(view, agent);
  }

  function arrive(request: benchTypes.Request): void {
    const entry = entries[random.below(ENTRY_COUNT)] as Map<string, View>;
    requests.set(request.id, request);
    entryOf.set(request.id, entry);
    const excludedIds = new Set<string>();
    let retryAtMs = Infinity;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const agent = route(entry, request, excludedIds);
      if (agent === null) break;
      const view = viewOf(entry, agent.upstream.spec.id);
      const verdict = agent.queue.admit(request, fleet.nowMs());
      if (verdict.kind === 'admit') {
        view.inFlightCount += 1;
        pump(agent);
        refreshView(view, agent);
        return;
      }
      refreshView(view, agent);
      excludedIds.add(agent.upstream.spec.id);
      retryAtMs = Math.min(retryAtMs, verdict.retryAtMs);
    }
    fleet.refuse(request, retryAtMs === Infinity ? fleet.nowMs() : retryAtMs);
  }

  function route(
    entry: Map<string, View>,
    request: benchTypes.Request,
    excludedIds: ReadonlySet<string>,
  ): Agent | null {
    const { pool } = fleet.model(request.model);
    const candidates = [...agents.values()]
      .filter((agent) => agent.upstream.spec.pool === pool && !agent.upstream.lost)
      .map((agent) => toCandidate(entry, agent, request));
    const chosen = routing.chooseRoute(
      { target: request.model, prefixKey: request.prefixKey, localRegion: REGION, excludedIds },
      candidates,
      random.fraction,
    );
    switch (chosen.kind) {
      case 'send':
        return agents.get(chosen.upstreamId) as Agent;
      case 'nowhere':
        return null;
    }
  }

  return {
    arrive,
    finish: (request, upstreamId, tookMs) => {
      const agent = agents.get(upstreamId) as Agent;
      const nominalMs = request.realServiceMs;
      const model = fleet.model(request.model);
      agent.times.observe(request.target, {
        prefillMsPerToken: (model.prefillMsPerToken * tookMs) / nominalMs,
        decodeMsPerToken: (model.decodeMsPerToken * tookMs) / nominalMs,
        outputShare: request.realOutputTokens / request.outputTokens,
      });
      agent.queue.finish(request.id, fleet.nowMs());
      settle(request, agent);
      pump(agent);
    },
    loaded: (upstreamId) => pump(agents.get(upstreamId) as Agent),
    lose: () => undefined,
    tick: () => agents.forEach((agent) => pump(agent)),
  };
}
