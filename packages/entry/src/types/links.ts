/** The way to the agents, as the request path sees it. */
import type { agent } from '@copperlever/protocol';
import type { results } from '@copperlever/runtime';

/** One process of an agent; another incarnation refuses what was meant for this one. */
export type AgentTarget = { agentId: string; incarnation: number; address: string };

export type LinkPart =
  | { kind: 'frame'; frame: agent.AnswerFrame }
  /** The connection is lost; what the agent does with the attempt is not known. */
  | { kind: 'lost'; detail: string };

export type LinkError = { kind: 'link-lost'; detail: string };

/** `fresh` opens a new connection, since a silent one stays silent. */
export type ConnectionChoice = 'shared' | 'fresh';

export type AgentLink = {
  dispatch: (
    target: AgentTarget,
    request: agent.DispatchRequest,
    signal: AbortSignal,
  ) => AsyncIterable<LinkPart>;
  resume: (
    target: AgentTarget,
    request: agent.ResumeRequest,
    signal: AbortSignal,
    connection: ConnectionChoice,
  ) => AsyncIterable<LinkPart>;
  revoke: (
    target: AgentTarget,
    request: agent.RevokeRequest,
    deadlineMs: number,
    connection: ConnectionChoice,
  ) => Promise<results.Result<agent.RevokeReply, LinkError>>;
  acknowledge: (target: AgentTarget, dispatchIds: readonly string[]) => void;
};
