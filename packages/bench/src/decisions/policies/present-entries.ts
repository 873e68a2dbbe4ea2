/** The entries of the present policy: what each knows of the upstreams, and where it sends requests. */
import { routing, serviceTimes, latencyRatios } from '@copperlever/decisions';
import type { types } from '@copperlever/decisions';
import type { randoms } from '@copperlever/runtime';

import type * as benchTypes from '../types.js';
import type * as world from '../world.js';
import * as presentAgents from './present-agents.js';

const REGION = 'region';

/** What one entry knows of one upstream, from the last answer it had from there. */
type View = {
  waitMs: Record<types.PriorityClass, number>;
  seenAtMs: number;
  inFlightCount: number;
};

export type Entry = {
  /** The upstream that the request goes to next; null when none is left. */
  route: (
    request: benchTypes.Request,
    agents: readonly presentAgents.Agent[],
    excludedIds: ReadonlySet<string>,
  ) => presentAgents.Agent | null;
  /** An answer of the agent, whichever it was. */
  answered: (agent: presentAgents.Agent) => void;
  sent: (agent: presentAgents.Agent) => void;
  settled: (agent: presentAgents.Agent) => void;
  finished: (request: benchTypes.Request, upstreamId: string, tookMs: number) => void;
  expectedMs: (request: benchTypes.Request) => number;
  slowness: (upstreamId: string) => number;
};

export function createEntry(fleet: world.World, random: randoms.Random): Entry {
  const views = new Map<string, View>();
  const paces = latencyRatios.createLatencyRatios();
  const times = serviceTimes.createServiceTimeEstimator(presentAgents.baseOf);

  function viewOf(agent: presentAgents.Agent): View {
    const known = views.get(agent.upstream.spec.id);
    if (known !== undefined) return known;
    const view = {
      waitMs: { critical: 0, standard: 0, batch: 0 },
      seenAtMs: 0,
      inFlightCount: 0,
    };
    views.set(agent.upstream.spec.id, view);
    return view;
  }

  function toCandidate(agent: presentAgents.Agent, request: benchTypes.Request): routing.Candidate {
    const nowMs = fleet.nowMs();
    const { spec, copies } = agent.upstream;
    const view = viewOf(agent);
    const copy = copies.get(request.model);
    const countedDownMs = view.waitMs[request.priorityClass] - (nowMs - view.seenAtMs);
    return {
      upstreamId: spec.id,
      failureDomain: spec.failureDomain,
      region: REGION,
      hasCopy: copy !== undefined && !agent.draining.has(request.model),
      suspected: false,
      predictedWaitMs: Math.max(0, countedDownMs, (copy?.readyAtMs ?? 0) - nowMs),
      inFlightCount: view.inFlightCount,
      latencyRatio: paces.latencyRatio(spec.id),
    };
  }

  return {
    route: (request, agents, excludedIds) => {
      const candidates = agents.map((agent) => toCandidate(agent, request));
      const route = routing.chooseRoute(
        {
          target: request.model,
          prefixKey: request.prefixKey,
          localRegion: REGION,
          excludedIds,
          expectedMs: times.expectedMs(request),
        },
        candidates,
        random.fraction,
      );
      switch (route.kind) {
        case 'send':
          return agents.find((agent) => agent.upstream.spec.id === route.upstreamId) ?? null;
        case 'nowhere':
          return null;
      }
    },
    answered: (agent) => {
      const view = viewOf(agent);
      view.waitMs = agent.queue.predictedWaitsMs(fleet.nowMs());
      view.seenAtMs = fleet.nowMs();
    },
    sent: (agent) => {
      viewOf(agent).inFlightCount += 1;
    },
    settled: (agent) => {
      viewOf(agent).inFlightCount -= 1;
    },
    finished: (request, upstreamId, tookMs) => {
      const usualMs = times.longestMs({ ...request, outputTokens: request.realOutputTokens });
      const model = fleet.model(request.model);
      times.observe(request.target, presentAgents.toServiceTime(request, model, tookMs));
      paces.observe(upstreamId, tookMs, usualMs);
    },
    expectedMs: times.expectedMs,
    slowness: paces.latencyRatio,
  };
}
