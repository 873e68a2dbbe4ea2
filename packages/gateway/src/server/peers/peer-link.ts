/** Calls other gateways, and offers them this one's service. */
import type * as grpc from '@grpc/grpc-js';
import { channels as channelsModule, gatewayPeer } from '@copperlever/protocol';
import type { clocks, results } from '@copperlever/runtime';

export type PeerLink = {
  exchange: (
    address: string,
    request: gatewayPeer.ExchangeRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.ExchangeReply, channelsModule.PeerError>>;
  ensureAdapter: (
    address: string,
    request: gatewayPeer.EnsureAdapterRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.EnsureAdapterReply, channelsModule.PeerError>>;
  takePermit: (
    address: string,
    request: gatewayPeer.TakePermitRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.TakePermitReply, channelsModule.PeerError>>;
  lendCredits: (
    address: string,
    request: gatewayPeer.LendCreditsRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.LendCreditsReply, channelsModule.PeerError>>;
  takeRetry: (
    address: string,
    request: gatewayPeer.TakeRetryRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.TakeRetryReply, channelsModule.PeerError>>;
  takeTurn: (
    address: string,
    request: gatewayPeer.TakeTurnRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.TakeTurnReply, channelsModule.PeerError>>;
  endTurns: (
    address: string,
    request: gatewayPeer.EndTurnsRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.EndTurnsReply, channelsModule.PeerError>>;
  replicateOrigins: (
    address: string,
    request: gatewayPeer.ReplicateOriginsRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.ReplicateOriginsReply, channelsModule.PeerError>>;
  findOrigins: (
    address: string,
    request: gatewayPeer.FindOriginsRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.FindOriginsReply, channelsModule.PeerError>>;
  shareCrashes: (
    address: string,
    request: gatewayPeer.ShareCrashesRequest,
    deadlineMs: number,
  ) => Promise<results.Result<gatewayPeer.ShareCrashesReply, channelsModule.PeerError>>;
  close: () => void;
};

export type PeerHandlers = {
  exchange: (request: gatewayPeer.ExchangeRequest) => gatewayPeer.ExchangeReply;
  ensureAdapter: (
    request: gatewayPeer.EnsureAdapterRequest,
  ) => Promise<gatewayPeer.EnsureAdapterReply>;
  takePermit: (request: gatewayPeer.TakePermitRequest) => gatewayPeer.TakePermitReply;
  lendCredits: (request: gatewayPeer.LendCreditsRequest) => gatewayPeer.LendCreditsReply;
  takeRetry: (request: gatewayPeer.TakeRetryRequest) => gatewayPeer.TakeRetryReply;
  takeTurn: (request: gatewayPeer.TakeTurnRequest) => gatewayPeer.TakeTurnReply;
  endTurns: (request: gatewayPeer.EndTurnsRequest) => gatewayPeer.EndTurnsReply;
  replicateOrigins: (
    request: gatewayPeer.ReplicateOriginsRequest,
  ) => gatewayPeer.ReplicateOriginsReply;
  findOrigins: (request: gatewayPeer.FindOriginsRequest) => gatewayPeer.FindOriginsReply;
  shareCrashes: (request: gatewayPeer.ShareCrashesRequest) => gatewayPeer.ShareCrashesReply;
};

/** The holder is called several times a second; other peers at random, about once. */
const IDLE_MS = 10_000;

export function createPeerLink(clock: clocks.Clock): PeerLink {
  const channels = channelsModule.createChannels<gatewayPeer.GatewayPeerServiceClient>({
    clock,
    idleMs: IDLE_MS,
    connect: (address, credentials, options) =>
      new gatewayPeer.GatewayPeerServiceClient(address, credentials, options),
  });
  return {
    exchange: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.exchange(...rest)),
    ensureAdapter: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) =>
        client.ensureAdapter(...rest),
      ),
    takePermit: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.takePermit(...rest)),
    lendCredits: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.lendCredits(...rest)),
    takeRetry: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.takeRetry(...rest)),
    takeTurn: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.takeTurn(...rest)),
    endTurns: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.endTurns(...rest)),
    replicateOrigins: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) =>
        client.replicateOrigins(...rest),
      ),
    findOrigins: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) => client.findOrigins(...rest)),
    shareCrashes: (address, request, deadlineMs) =>
      channels.call(address, request, deadlineMs, (client, ...rest) =>
        client.shareCrashes(...rest),
      ),
    close: channels.close,
  };
}

export function addPeerService(server: grpc.Server, handlers: PeerHandlers): void {
  server.addService(gatewayPeer.GatewayPeerServiceService, {
    exchange: channelsModule.toUnary(handlers.exchange),
    ensureAdapter: channelsModule.toUnary(handlers.ensureAdapter),
    takePermit: channelsModule.toUnary(handlers.takePermit),
    lendCredits: channelsModule.toUnary(handlers.lendCredits),
    takeRetry: channelsModule.toUnary(handlers.takeRetry),
    takeTurn: channelsModule.toUnary(handlers.takeTurn),
    endTurns: channelsModule.toUnary(handlers.endTurns),
    replicateOrigins: channelsModule.toUnary(handlers.replicateOrigins),
    findOrigins: channelsModule.toUnary(handlers.findOrigins),
    shareCrashes: channelsModule.toUnary(handlers.shareCrashes),
  });
}
