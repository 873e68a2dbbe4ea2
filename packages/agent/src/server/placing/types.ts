/** How agents talk to each other about copies. */
import type { agent } from '@copperlever/protocol';
import type { results } from '@copperlever/runtime';

export type AgentLinkError = { kind: 'unreachable'; detail: string };

type Reply<Message> = Promise<results.Result<Message, AgentLinkError>>;

/** Calls to another agent; each ends by `deadlineMs`. Replaced by a fake in tests. */
export type AgentLink = {
  offer: (
    address: string,
    request: agent.OfferRequest,
    deadlineMs: number,
  ) => Reply<agent.OfferReply>;
  addCopy: (
    address: string,
    request: agent.AddCopyRequest,
    deadlineMs: number,
  ) => Reply<agent.AddCopyReply>;
  reportDemand: (
    address: string,
    request: agent.DemandReport,
    deadlineMs: number,
  ) => Reply<agent.DemandReportReply>;
  close: () => void;
};
