/** Calls between agents over gRPC. */
import { agent } from '@copperlever/protocol';
import { type clocks, results } from '@copperlever/runtime';
import * as grpc from '@grpc/grpc-js';

import type * as types from './types.js';

/** Agents talk rarely: a channel that is kept open for that would cost more than its calls. */
const IDLE_TIMEOUT_MS = 30_000;

type Callback<Message> = (error: grpc.ServiceError | null, reply: Message) => void;

export function createGrpcAgentLink(clock: clocks.Clock): types.AgentLink {
  const clients = new Map<string, agent.AgentServiceClient>();

  function clientFor(address: string): agent.AgentServiceClient {
    const found = clients.get(address);
    if (found !== undefined) return found;
    const made = new agent.AgentServiceClient(address, grpc.credentials.createInsecure(), {
      'grpc.client_idle_timeout_ms': IDLE_TIMEOUT_MS,
    });
    clients.set(address, made);
    return made;
  }

  function call<Message>(
    deadlineMs: number,
    send: (options: Partial<grpc.CallOptions>, done: Callback<Message>) => void,
  ): Promise<results.Result<Message, types.AgentLinkError>> {
    const deadline = new Date(clock.wallMs() + deadlineMs - clock.nowMs());
    return new Promise((resolve) => {
      try {
        send({ deadline }, (error, reply) => {
          if (error === null) resolve(results.Ok(reply));
          else resolve(results.Err({ kind: 'unreachable', detail: error.message }));
        });
      } catch (cause) {
        // Addresses are told by members: one that is none counts as that of an agent that cannot be reached.
        resolve(results.Err({ kind: 'unreachable', detail: String(cause) }));
      }
    });
  }

  return {
    offer: (address, request, deadlineMs) =>
      call(deadlineMs, (options, done) =>
        clientFor(address).offer(request, new grpc.Metadata(), options, done),
      ),
    addCopy: (address, request, deadlineMs) =>
      call(deadlineMs, (options, done) =>
        clientFor(address).addCopy(request, new grpc.Metadata(), options, done),
      ),
    reportDemand: (address, request, deadlineMs) =>
      call(deadlineMs, (options, done) =>
        clientFor(address).reportDemand(request, new grpc.Metadata(), options, done),
      ),
    close: () => {
      clients.forEach((client) => client.close());
      clients.clear();
    },
  };
}
