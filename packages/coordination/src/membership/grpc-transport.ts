/** The peer service over gRPC: client and server. */
import type * as grpc from '@grpc/grpc-js';
import { channels as channelsModule, peer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as types from './types.js';

export type GrpcTransportOptions = {
  clock: clocks.Clock;
  /** A channel is closed after this long without a call. */
  idleMs?: number;
};

export type GrpcTransport = types.PeerTransport & {
  openChannelCount: () => number;
  close: () => void;
};

/** Targets are random among all members, so an idle channel is seldom used again soon. */
const DEFAULT_IDLE_MS = 5_000;

export function createGrpcTransport(options: GrpcTransportOptions): GrpcTransport {
  const channels = channelsModule.createChannels<peer.PeerServiceClient>({
    clock: options.clock,
    idleMs: options.idleMs ?? DEFAULT_IDLE_MS,
    connect: (address, credentials, channelOptions) =>
      new peer.PeerServiceClient(address, credentials, channelOptions),
  });
  return {
    probe: (address, message, deadlineMs) =>
      channels.call(address, message, deadlineMs, (client, ...rest) => client.probe(...rest)),
    probeIndirectly: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) =>
        client.probeIndirectly(...rest),
      ),
    listMembers: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.listMembers(...rest)),
    fetchConfig: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.fetchConfig(...rest)),
    openChannelCount: channels.openCount,
    close: channels.close,
  };
}

/** Adds the peer service to a gRPC server of the daemon. */
export function addPeerService(server: grpc.Server, handlers: types.PeerHandlers): void {
  const { toUnary } = channelsModule;
  server.addService(peer.PeerServiceService, {
    probe: toUnary(handlers.probe),
    probeIndirectly: toUnary(handlers.probeIndirectly),
    listMembers: toUnary(handlers.listMembers),
    fetchConfig: toUnary(handlers.fetchConfig),
  });
}
