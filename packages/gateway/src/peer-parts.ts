/** Joins what other gateways may call with the parts that answer. */
import * as messageCodec from './server/peers/message-codec.js';
import type * as peerLinks from './server/peers/peer-link.js';
import * as turnCodec from './server/turns/turn-codec.js';
import type * as partTypes from './types/parts.js';

export function createPeerHandlers(parts: partTypes.GatewayParts): peerLinks.PeerHandlers {
  return {
    exchange: parts.exchange.handle,
    ensureAdapter: async ({ upstreamId, model, adapter }) => ({
      isReady: await parts.placer.ensureAdapter(upstreamId, model, adapter),
      retryAfterMs: 0,
    }),
    takePermit: ({ gatewayId, limit }) => {
      if (limit === undefined) return messageCodec.NO_PERMIT;
      const asked = { gatewayId, limit: messageCodec.fromLimitMessage(limit) };
      return messageCodec.toPermitReply(parts.limits.give(asked));
    },
    lendCredits: ({ gatewayId, incarnation, report }) => {
      const term = parts.lease.heldTerm();
      if (term === null || report === undefined) return { loan: undefined };
      const loan = parts.quotas.lend(term, { gatewayId, incarnation }, report);
      return { loan: messageCodec.toQuotaLoanMessage(loan) };
    },
    takeRetry: (asked) => parts.retries.give(asked),
    takeTurn: (request) =>
      turnCodec.toTakeTurnReply(parts.turns.take(turnCodec.fromTakeTurnRequest(request))),
    endTurns: (request) => {
      parts.turns.ended(turnCodec.fromEndTurnsRequest(request));
      return {};
    },
    replicateOrigins: parts.originPeers.storeReplicas,
    findOrigins: parts.originPeers.findLocal,
    shareCrashes: parts.crashes.handle,
  };
}
