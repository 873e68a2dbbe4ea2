/** gRPC channels to many peers: opened on demand, dropped after a failure, closed when idle. */
import * as grpc from '@grpc/grpc-js';
import { results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

export type PeerError =
  /** No reply before the deadline. */
  { kind: 'deadline'; address: string } | { kind: 'unreachable'; address: string; reason: string };

export type UnaryCall<Client, Request, Reply> = (
  client: Client,
  request: Request,
  metadata: grpc.Metadata,
  options: Partial<grpc.CallOptions>,
  done: (error: grpc.ServiceError | null, reply: Reply) => void,
) => grpc.ClientUnaryCall;

export type ChannelsOptions<Client> = {
  clock: clocks.Clock;
  connect: (
    address: string,
    credentials: grpc.ChannelCredentials,
    options: grpc.ClientOptions,
  ) => Client;
  /** A channel without calls for this long is closed. */
  idleMs: number;
};

export type Channels<Client> = {
  /** `deadlineMs` is a time of the injected clock; the call sends the remaining time as its gRPC deadline. */
  call: <Request, Reply>(
    address: string,
    request: Request,
    deadlineMs: number,
    method: UnaryCall<Client, Request, Reply>,
  ) => Promise<results.Result<Reply, PeerError>>;
  openCount: () => number;
  close: () => void;
};

type Channel<Client> = { client: Client; activeCount: number; cancelIdle: () => void };

const MESSAGE_MAX_BYTES = 32 * 1024 * 1024;

/**
 * Without keep-alive: pings on idle channels to hundreds of members would alone exceed the budget of 2 KB per second.
 * A connection that went silent is detected by the deadline of the next call, which closes its channel. The call after
 * that opens a new connection, because channels do not share connections.
 */
const CHANNEL_OPTIONS: grpc.ClientOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.enable_retries': 0,
  'grpc.enable_channelz': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MESSAGE_MAX_BYTES,
};

export function createChannels<Client extends { close: () => void }>(
  options: ChannelsOptions<Client>,
): Channels<Client> {
  const { clock } = options;
  const channels = new Map<string, Channel<Client>>();
  const noMetadata = new grpc.Metadata();

  /** Addresses are told by peers: one that is none counts as that of a peer that cannot be reached. */
  function getOrOpen(address: string): results.Result<Channel<Client>, PeerError> {
    const existing = channels.get(address);
    if (existing !== undefined) return results.Ok(existing);
    try {
      const client = options.connect(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS);
      const channel = { client, activeCount: 0, cancelIdle: () => {} };
      channels.set(address, channel);
      return results.Ok(channel);
    } catch (cause) {
      return results.Err({ kind: 'unreachable', address, reason: String(cause) });
    }
  }

  function closeChannel(address: string, channel: Channel<Client>): void {
    if (channels.get(address) === channel) channels.delete(address);
    channel.cancelIdle();
    channel.client.close();
  }

  function release(address: string, channel: Channel<Client>, isBroken: boolean): void {
    channel.activeCount -= 1;
    // New calls must not use a failed channel; calls still active on it complete or fail on their own.
    if (isBroken && channels.get(address) === channel) channels.delete(address);
    if (channel.activeCount > 0) return;
    if (isBroken) {
      closeChannel(address, channel);
      return;
    }
    channel.cancelIdle = clock.schedule(clock.nowMs() + options.idleMs, () =>
      closeChannel(address, channel),
    );
  }

  function toPeerError(address: string, error: grpc.ServiceError): PeerError {
    if (error.code === grpc.status.DEADLINE_EXCEEDED) return { kind: 'deadline', address };
    return { kind: 'unreachable', address, reason: error.details };
  }

  return {
    call: async (address, request, deadlineMs, method) => {
      const opened = getOrOpen(address);
      if (opened.err) return opened;
      const channel = opened.val;
      channel.cancelIdle();
      channel.activeCount += 1;
      const deadline = Date.now() + Math.max(1, deadlineMs - clock.nowMs());
      return new Promise((resolve) => {
        method(channel.client, request, noMetadata, { deadline }, (error, reply) => {
          release(address, channel, error !== null);
          resolve(error === null ? results.Ok(reply) : results.Err(toPeerError(address, error)));
        });
      });
    },
    openCount: () => channels.size,
    close: () => {
      for (const [address, channel] of channels) closeChannel(address, channel);
    },
  };
}

/** Wraps a function that may throw or reject as the handler of a unary method. */
export function toUnary<Request, Reply>(
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
