/** Calls other gateways, and offers them this one's service. */
import type * as grpc from '@grpc/grpc-js';
import { channels as channelsModule, gatewayPeer } from '@copperlever/protocol';
import { results } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as messageNumbers from './message-numbers.js';

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
  /** A reply with a number that cannot be used counts as none. */
  async function call<Request, Reply>(
    address: string,
    request: Request,
    deadlineMs: number,
    method: channelsModule.UnaryCall<gatewayPeer.GatewayPeerServiceClient, Request, Reply>,
  ): Promise<results.Result<Reply, channelsModule.PeerError>> {
    const reply = await channels.call(address, request, deadlineMs, method);
    if (reply.err) return reply;
    try {
      messageNumbers.check(reply.val);
      return reply;
    } catch (cause) {
      return results.Err({ kind: 'unreachable', address, reason: String(cause) });
    }
  }

  return {
    exchange: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.exchange(...rest)),
    ensureAdapter: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.ensureAdapter(...rest)),
    takePermit: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.takePermit(...rest)),
    lendCredits: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.lendCredits(...rest)),
    takeRetry: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.takeRetry(...rest)),
    takeTurn: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.takeTurn(...rest)),
    endTurns: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.endTurns(...rest)),
    replicateOrigins: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.replicateOrigins(...rest)),
    findOrigins: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.findOrigins(...rest)),
    shareCrashes: (address, request, deadlineMs) =>
      call(address, request, deadlineMs, (client, ...rest) => client.shareCrashes(...rest)),
    close: channels.close,
  };
}

function unary<Request, Reply>(
  handle: (request: Request) => Reply | Promise<Reply>,
): grpc.handleUnaryCall<Request, Reply> {
  return channelsModule.toUnary((request) => {
    messageNumbers.check(request);
    return handle(request);
  });
}

export function addPeerService(server: grpc.Server, handlers: PeerHandlers): void {
  server.addService(gatewayPeer.GatewayPeerServiceService, {
    exchange: unary(handlers.exchange),
    ensureAdapter: unary(handlers.ensureAdapter),
    takePermit: unary(handlers.takePermit),
    lendCredits: unary(handlers.lendCredits),
    takeRetry: unary(handlers.takeRetry),
    takeTurn: unary(handlers.takeTurn),
    endTurns: unary(handlers.endTurns),
    replicateOrigins: unary(handlers.replicateOrigins),
    findOrigins: unary(handlers.findOrigins),
    shareCrashes: unary(handlers.shareCrashes),
  });
}
