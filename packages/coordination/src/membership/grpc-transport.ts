/** Calls peers over gRPC. Channels are opened when needed and closed when idle. */
import * as grpc from '@grpc/grpc-js';
import { peer } from '@copperlever/protocol';
import { results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as types from './types.js';

export type GrpcTransportOptions = {
  clock: clocks.Clock;
  /** A channel without a call for this long is closed. */
  idleMs?: number;
};

export type GrpcTransport = types.PeerTransport & {
  openChannelCount: () => number;
  close: () => void;
};

type Channel = { client: peer.PeerServiceClient; activeCount: number; cancelIdle: () => void };

type UnaryCall<Request, Reply> = (
  client: peer.PeerServiceClient,
  request: Request,
  options: Partial<grpc.CallOptions>,
  done: (error: grpc.ServiceError | null, reply: Reply) => void,
) => grpc.ClientUnaryCall;

/** Targets are random among all members: a channel kept for long is seldom used again. */
const DEFAULT_IDLE_MS = 5_000;
const MESSAGE_MAX_BYTES = 32 * 1024 * 1024;

/**
 * No keep-alive: pings on idle channels to hundreds of members break the budget of 2 KB a second
 * on their own. A connection that went silent shows by the deadline of the next call, which closes
 * its channel; the next call opens a new one, since channels share no connections.
 */
const CHANNEL_OPTIONS: grpc.ClientOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.enable_retries': 0,
  'grpc.enable_channelz': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MESSAGE_MAX_BYTES,
};

export function createGrpcTransport(options: GrpcTransportOptions): GrpcTransport {
  const { clock } = options;
  const idleMs = options.idleMs ?? DEFAULT_IDLE_MS;
  const channels = new Map<string, Channel>();

  function open(address: string): Channel {
    const known = channels.get(address);
    if (known !== undefined) return known;
    const credentials = grpc.credentials.createInsecure();
    const client = new peer.PeerServiceClient(address, credentials, CHANNEL_OPTIONS);
    const channel: Channel = { client, activeCount: 0, cancelIdle: () => {} };
    channels.set(address, channel);
    return channel;
  }

  function drop(address: string, channel: Channel): void {
    if (channels.get(address) === channel) channels.delete(address);
    channel.cancelIdle();
    channel.client.close();
  }

  function release(address: string, channel: Channel, isBroken: boolean): void {
    channel.activeCount -= 1;
    // No new call may take a channel that failed; calls that are still on it end by themselves.
    if (isBroken && channels.get(address) === channel) channels.delete(address);
    if (channel.activeCount > 0) return;
    if (isBroken) {
      drop(address, channel);
      return;
    }
    channel.cancelIdle = clock.schedule(clock.nowMs() + idleMs, () => drop(address, channel));
  }

  function describe(address: string, error: grpc.ServiceError): types.PeerError {
    if (error.code === grpc.status.DEADLINE_EXCEEDED) return { kind: 'deadline', address };
    return { kind: 'unreachable', address, reason: error.details };
  }

  /** The deadline is kept on the injected clock; on the wire goes what is left of it. */
  function call<Request, Reply>(
    address: string,
    request: Request,
    deadlineMs: number,
    method: UnaryCall<Request, Reply>,
  ): Promise<results.Result<Reply, types.PeerError>> {
    const channel = open(address);
    channel.cancelIdle();
    channel.activeCount += 1;
    const deadline = Date.now() + Math.max(1, deadlineMs - clock.nowMs());
    return new Promise((resolve) => {
      method(channel.client, request, { deadline }, (error, reply) => {
        release(address, channel, error !== null);
        resolve(error === null ? results.Ok(reply) : results.Err(describe(address, error)));
      });
    });
  }

  const noMetadata = new grpc.Metadata();

  return {
    probe: (address, message, deadlineMs) =>
      call(address, message, deadlineMs, (client, request, callOptions, done) =>
        client.probe(request, noMetadata, callOptions, done),
      ),
    probeIndirectly: (address, wanted, deadlineMs) =>
      call(address, wanted, deadlineMs, (client, request, callOptions, done) =>
        client.probeIndirectly(request, noMetadata, callOptions, done),
      ),
    listMembers: (address, wanted, deadlineMs) =>
      call(address, wanted, deadlineMs, (client, request, callOptions, done) =>
        client.listMembers(request, noMetadata, callOptions, done),
      ),
    fetchConfig: (address, wanted, deadlineMs) =>
      call(address, wanted, deadlineMs, (client, request, callOptions, done) =>
        client.fetchConfig(request, noMetadata, callOptions, done),
      ),
    openChannelCount: () => channels.size,
    close: () => {
      for (const [address, channel] of channels) drop(address, channel);
    },
  };
}

function toUnary<Request, Reply>(
  handle: (request: Request) => Reply | Promise<Reply>,
): grpc.handleUnaryCall<Request, Reply> {
  return (serverCall, respond) => {
    Promise.resolve()
      .then(() => handle(serverCall.request))
      .then(
        (reply) => respond(null, reply),
        (cause: unknown) => respond({ code: grpc.status.INTERNAL, details: String(cause) }),
      );
  };
}

/** Offers the peer service on a gRPC server of the daemon. */
export function addPeerService(server: grpc.Server, handlers: types.PeerHandlers): void {
  server.addService(peer.PeerServiceService, {
    probe: toUnary(handlers.probe),
    probeIndirectly: toUnary(handlers.probeIndirectly),
    listMembers: toUnary(handlers.listMembers),
    fetchConfig: toUnary(handlers.fetchConfig),
  });
}
