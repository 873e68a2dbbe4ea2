/** The other agents as the membership and the configuration describe them. */
import { checks, type schema } from '@copperlever/configuration';
import type { membershipTypes } from '@copperlever/coordination';
import { attributes, daemonAttributes } from '@copperlever/protocol';

export type AgentView = {
  agentId: string;
  address: string;
  upstreamId: string;
  upstream: schema.EngineUpstream;
  readyTargets: readonly string[];
  handingOver: readonly string[];
  /** It takes new work, and its upstream is not to be emptied. */
  isStaying: boolean;
};

export type FleetViewDeps = {
  members: () => readonly membershipTypes.Member[];
  document: () => schema.Document;
};

export type FleetView = {
  /** The engines' agents that are not dead. */
  agents: () => readonly AgentView[];
  /** Agents whose engines may hold the model and that stay. */
  candidates: (model: string) => readonly AgentView[];
  /** Whether all models of the model's pools still fit into the engines that are left. */
  fitsAll: (model: string) => boolean;
};

export function createFleetView(deps: FleetViewDeps): FleetView {
  function toView(member: membershipTypes.Member): AgentView | null {
    // Entries name it in their logs.
    const said = daemonAttributes.read(member.attributes);
    if (said === null) return null;
    const upstream = deps.document().upstreams[said.upstreamId];
    if (said.role !== attributes.DaemonRole.DAEMON_ROLE_AGENT) return null;
    if (upstream?.kind !== 'engine' || member.status === 'dead') return null;
    return {
      agentId: member.memberId,
      address: member.address,
      upstreamId: said.upstreamId,
      upstream,
      readyTargets: said.readyTargets,
      handingOver: said.handingOver,
      isStaying: member.status !== 'leaving' && !upstream.draining,
    };
  }

  function agents(): AgentView[] {
    return deps
      .members()
      .map(toView)
      .filter((view) => view !== null);
  }

  function candidates(model: string): AgentView[] {
    const pools = deps.document().models[model]?.pools ?? [];
    return agents().filter((agent) => agent.isStaying && pools.includes(agent.upstream.pool));
  }

  return {
    agents,
    candidates,
    fitsAll: (model) => {
      const document = deps.document();
      const pools = document.models[model]?.pools ?? [];
      const availableBytes = candidates(model).reduce(
        (sumBytes, agent) => sumBytes + agent.upstream.memoryBytes,
        0,
      );
      const neededBytes = Object.entries(document.models)
        .filter(([, other]) => other.pools.every((pool) => pools.includes(pool)))
        .reduce((sumBytes, [name]) => sumBytes + checks.copySizeBytes(document, name), 0);
      return neededBytes <= availableBytes;
    },
  };
}
