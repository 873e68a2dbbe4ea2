/** The agents that may serve a target, from the membership and their own last answers. */
import { type schema, targets } from '@copperlever/configuration';
import type * as membership from '@copperlever/coordination/membership/types';
import type { routing } from '@copperlever/decisions';
import { type agent, attributes, daemonAttributes } from '@copperlever/protocol';

import type * as links from '../types/links.js';
import * as targetPaces from './target-paces.js';

export type KnownAgent = {
  target: links.AgentTarget;
  upstreamId: string;
  candidate: routing.Candidate;
};

export type AgentDirectory = {
  /** The agents whose upstream may serve `target`; leaving and draining ones are left out. */
  find: (target: targets.Target, document: schema.Document) => KnownAgent[];
  /** One process of an agent, also one that is leaving; null when it is gone or was replaced. */
  locate: (agentId: string, incarnation: number) => links.AgentTarget | null;
  /** Remembers what an agent said of itself with an answer. */
  noteLoad: (agentId: string, load: agent.AgentLoad | undefined) => void;
  noteStarted: (agentId: string) => void;
  noteEnded: (agentId: string) => void;
  /** An answer ended whole: how fast its upstream is shows in later choices. */
  noteAnswer: (agentId: string, answer: targetPaces.EndedAnswer) => void;
  /** The tick that `agentId` last told this entry; 0 for none. */
  tickOf: (agentId: string, incarnation: number) => number;
};

export type DirectoryDeps = {
  members: () => readonly membership.Member[];
  nowMs: () => number;
  /** What a member has published cannot be read: it is left out. */
  onUnreadable: (memberId: string) => void;
};

type SeenLoad = { load: agent.AgentLoad; atMs: number };

export function createAgentDirectory(deps: DirectoryDeps): AgentDirectory {
  const loads = new Map<string, SeenLoad>();
  const inFlightCounts = new Map<string, number>();
  const paces = targetPaces.createTargetPaces();
  // Records change rarely and are read for each request.
  const decoded = new WeakMap<Buffer, attributes.DaemonAttributes | null>();

  /** Null if they cannot be read, which is told once for each record. */
  function attributesOf(member: membership.Member): attributes.DaemonAttributes | null {
    const known = decoded.get(member.attributes);
    if (known !== undefined) return known;
    const fresh = daemonAttributes.read(member.attributes);
    if (fresh === null) deps.onUnreadable(member.memberId);
    decoded.set(member.attributes, fresh);
    return fresh;
  }

  /** The membership lags behind what the agent itself has said in an answer. */
  function incarnationOf(member: membership.Member): number {
    return Math.max(member.incarnation, loads.get(member.memberId)?.load.incarnation ?? 0);
  }

  /** The wait that the agent predicted, less what has passed since. */
  function predictedWaitMs(agentId: string): number {
    const seen = loads.get(agentId);
    if (seen === undefined) return 0;
    return Math.max(0, seen.load.predictedWaitMs - (deps.nowMs() - seen.atMs));
  }

  function toKnown(
    member: membership.Member,
    said: attributes.DaemonAttributes,
    target: targets.Target,
  ): KnownAgent {
    return {
      target: {
        agentId: member.memberId,
        incarnation: incarnationOf(member),
        address: member.address,
      },
      upstreamId: said.upstreamId,
      candidate: {
        upstreamId: member.memberId,
        failureDomain: member.failureDomain,
        region: member.region,
        hasCopy: said.readyTargets.includes(target.name),
        suspected: member.status === 'suspected',
        predictedWaitMs: predictedWaitMs(member.memberId),
        inFlightCount: inFlightCounts.get(member.memberId) ?? 0,
        latencyRatio: paces.slowness(member.memberId),
      },
    };
  }

  return {
    find: (target, document) => {
      const pools = targets.poolsOf(document, target);
      const known: KnownAgent[] = [];
      for (const member of deps.members()) {
        if (member.status === 'leaving' || member.status === 'dead') continue;
        const said = attributesOf(member);
        if (said?.role !== attributes.DaemonRole.DAEMON_ROLE_AGENT) continue;
        const upstream = document.upstreams[said.upstreamId];
        if (upstream === undefined || upstream.draining) continue;
        if (pools.includes(upstream.pool)) known.push(toKnown(member, said, target));
      }
      return known;
    },
    locate: (agentId, incarnation) => {
      const member = deps.members().find((one) => one.memberId === agentId);
      if (member === undefined || incarnationOf(member) !== incarnation) return null;
      return { agentId, incarnation, address: member.address };
    },
    noteLoad: (agentId, load) => {
      if (load !== undefined) loads.set(agentId, { load, atMs: deps.nowMs() });
    },
    noteStarted: (agentId) => {
      inFlightCounts.set(agentId, (inFlightCounts.get(agentId) ?? 0) + 1);
    },
    noteEnded: (agentId) => {
      inFlightCounts.set(agentId, Math.max(0, (inFlightCounts.get(agentId) ?? 0) - 1));
    },
    noteAnswer: paces.observe,
    tickOf: (agentId, incarnation) => {
      const seen = loads.get(agentId);
      return seen?.load.incarnation === incarnation ? seen.load.tick : 0;
    },
  };
}
