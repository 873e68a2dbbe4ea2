/** The two transports of the daemons, in process: entry to agent, and peer to peer. */
import type * as handlers from '@copperlever/agent/server/dispatch/handlers';
import * as agentHandlers from '@copperlever/agent/server/dispatch/handlers';
import type { membershipTypes } from '@copperlever/coordination';
import type * as links from '@copperlever/entry/types/links';
import type { agent } from '@copperlever/protocol';
import { results } from '@copperlever/runtime';

import type * as networks from './network.js';
import type * as processes from './processes.js';

/** What answers at an address. */
export type Endpoint = {
  process: processes.FakeProcess;
  peers: membershipTypes.PeerHandlers;
  agent: handlers.HandlerDeps | null;
  /** Takes every request as meant for this very process. */
  acceptsAnyIncarnation?: true;
};

export type Endpoints = Map<string, Endpoint>;

type Ports = { self: processes.FakeProcess; network: networks.Network; endpoints: Endpoints };

type Stream = AsyncIterable<links.LinkPart> & {
  push: (part: links.LinkPart) => void;
  end: () => void;
};

function createStream(): Stream {
  const parts: links.LinkPart[] = [];
  let isEnded = false;
  let wake = () => {};

  function nextPush(): Promise<void> {
    return new Promise((resolve) => {
      wake = resolve;
    });
  }

  async function* read() {
    for (;;) {
      const part = parts.shift();
      if (part !== undefined) yield part;
      else if (isEnded) return;
      else await nextPush();
    }
  }

  return {
    [Symbol.asyncIterator]: read,
    push: (part) => {
      parts.push(part);
      wake();
    },
    end: () => {
      isEnded = true;
      wake();
    },
  };
}

/** The request as the endpoint takes it. */
function addressed<Request extends { agentIncarnation: number }>(
  endpoint: Endpoint | undefined,
  request: Request,
): Request {
  if (endpoint?.acceptsAnyIncarnation !== true) return request;
  return { ...request, agentIncarnation: endpoint.agent?.incarnation ?? 0 };
}

/** One call and its reply; null when neither came by the deadline or nothing answers. */
function callOnce<Reply>(
  ports: Ports,
  connection: networks.Connection | undefined,
  kind: string,
  deadlineMs: number,
  handle: (endpoint: Endpoint) => Reply | Promise<Reply> | undefined,
): Promise<Reply | null> {
  const { self, network, endpoints } = ports;
  return new Promise((resolve) => {
    const cancel = self.clock.schedule(deadlineMs, () => resolve(null));
    const end = (reply: Reply | null) => {
      cancel();
      resolve(reply);
    };
    if (connection === undefined) {
      end(null);
      return;
    }
    connection.onReset.add(() => end(null));
    network.send(connection, 'there', kind, () => {
      const endpoint = endpoints.get(connection.to.name);
      const answer = endpoint && handle(endpoint);
      if (answer === undefined) return;
      void Promise.resolve(answer).then((reply) =>
        network.send(connection, 'back', `${kind}-reply`, () => end(reply)),
      );
    });
  });
}

export function createFakeLink(ports: Ports): links.AgentLink & { close: () => void } {
  const { self, network, endpoints } = ports;
  const connections = new Map<string, networks.Connection>();

  function connect(address: string, choice: links.ConnectionChoice) {
    const known = connections.get(address);
    if (choice === 'shared' && known !== undefined && !known.to.isKilled()) return known;
    const fresh = network.connect(self, address);
    if (fresh !== undefined) connections.set(address, fresh);
    return fresh;
  }

  function openStream(
    address: string,
    choice: links.ConnectionChoice,
    kind: string,
    signal: AbortSignal,
    handle: (
      deps: handlers.HandlerDeps,
      endpoint: Endpoint,
      gone: AbortSignal,
    ) => AsyncIterable<agent.AnswerFrame>,
  ): Stream {
    const stream = createStream();
    const connection = connect(address, choice);
    const lose = () => stream.push({ kind: 'lost', detail: 'connection reset' });
    if (connection === undefined) {
      lose();
      return stream;
    }
    connection.onReset.add(lose);
    const gone = new AbortController();
    signal.addEventListener('abort', () => {
      stream.end();
      network.send(connection, 'there', 'cancel', () => gone.abort());
    });
    const pump = async (endpoint: Endpoint, deps: handlers.HandlerDeps) => {
      for await (const frame of handle(deps, endpoint, gone.signal)) {
        const partKind = frame.part?.$case ?? 'empty';
        network.send(connection, 'back', partKind, () => stream.push({ kind: 'frame', frame }));
      }
      network.send(connection, 'back', 'close', stream.end);
    };
    network.send(connection, 'there', kind, () => {
      const endpoint = endpoints.get(connection.to.name);
      if (endpoint !== undefined && endpoint.agent !== null) void pump(endpoint, endpoint.agent);
    });
    return stream;
  }

  return {
    dispatch: (target, request, signal) =>
      openStream(target.address, 'shared', 'dispatch', signal, (deps, endpoint, gone) =>
        agentHandlers.handleDispatch(deps, addressed(endpoint, request), gone),
      ),
    resume: (target, request, signal, choice) =>
      openStream(target.address, choice, 'resume', signal, (deps, endpoint, gone) =>
        agentHandlers.handleResume(deps, addressed(endpoint, request), gone),
      ),
    revoke: async (target, request, deadlineMs, choice) => {
      const connection = connect(target.address, choice);
      const reply = await callOnce(ports, connection, 'revoke', deadlineMs, (endpoint) =>
        endpoint.agent === null
          ? undefined
          : agentHandlers.handleRevoke(endpoint.agent, addressed(endpoint, request)),
      );
      return reply === null
        ? results.Err({ kind: 'link-lost', detail: 'no reply' })
        : results.Ok(reply);
    },
    acknowledge: (target, dispatchIds) => {
      const connection = connect(target.address, 'shared');
      if (connection === undefined) return;
      network.send(connection, 'there', 'acknowledge', () => {
        const deps = endpoints.get(connection.to.name)?.agent ?? null;
        if (deps !== null) {
          agentHandlers.handleAcknowledge(deps, { dispatchIds: [...dispatchIds] });
        }
      });
    },
    close: () => {},
  };
}

export function createFakeTransport(ports: Ports): membershipTypes.PeerTransport & {
  openChannelCount: () => number;
  close: () => void;
} {
  const channels = new Map<string, networks.Connection>();

  async function call<Reply>(
    address: string,
    kind: string,
    deadlineMs: number,
    handle: (endpoint: Endpoint) => Reply | Promise<Reply>,
  ): Promise<results.Result<Reply, membershipTypes.PeerError>> {
    const known = channels.get(address);
    const isUsable = known !== undefined && !known.to.isKilled();
    const channel = isUsable ? known : ports.network.connect(ports.self, address);
    if (channel !== undefined) channels.set(address, channel);
    const reply = await callOnce(ports, channel, kind, deadlineMs, handle);
    if (reply !== null) return results.Ok(reply);
    // As in the gRPC transport, a call without an answer closes its channel.
    channels.delete(address);
    return results.Err({ kind: 'unreachable', address, reason: 'no reply' });
  }

  return {
    probe: (address, message, deadlineMs) =>
      call(address, 'probe', deadlineMs, ({ peers }) => peers.probe(message)),
    probeIndirectly: (address, request, deadlineMs) =>
      call(address, 'probe', deadlineMs, ({ peers }) => peers.probeIndirectly(request)),
    listMembers: (address, request, deadlineMs) =>
      call(address, 'list-members', deadlineMs, ({ peers }) => peers.listMembers(request)),
    fetchConfig: (address, request, deadlineMs) =>
      call(address, 'fetch-config', deadlineMs, ({ peers }) => peers.fetchConfig(request)),
    openChannelCount: () => channels.size,
    close: () => {},
  };
}
