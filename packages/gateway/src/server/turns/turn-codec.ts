/** Turns in the gateways' messages. */
import type { gatewayPeer } from '@copperlever/protocol';

import type * as prefillTurns from '../../shared/prefill-turns.js';
import type * as upstreamStates from '../../types/upstream-states.js';

const PERCENT = 100;
const UINT32_MAX = 2 ** 32 - 1;

function toUint32(value: number): number {
  return Number.isFinite(value) ? Math.min(UINT32_MAX, Math.max(0, Math.round(value))) : 0;
}

export function toTakeTurnRequest(asked: prefillTurns.TurnRequest): gatewayPeer.TakeTurnRequest {
  const { gatewayId, turnId, upstreamId, msPerToken, mustStart } = asked;
  return {
    gatewayId,
    turnId,
    upstreamId,
    promptTokens: toUint32(asked.promptTokens),
    msPerToken,
    priority: toUint32(asked.priority),
    pauseObjectiveMs: toUint32(asked.pauseObjectiveMs ?? 0),
    canWaitMs: toUint32(asked.canWaitMs),
    mustStart,
  };
}

export function fromTakeTurnRequest(news: gatewayPeer.TakeTurnRequest): prefillTurns.TurnRequest {
  const pauseObjectiveMs = news.pauseObjectiveMs === 0 ? null : news.pauseObjectiveMs;
  return { ...news, pauseObjectiveMs };
}

export function toTakeTurnReply(reply: prefillTurns.TurnReply): gatewayPeer.TakeTurnReply {
  switch (reply.kind) {
    case 'given':
      return { isGiven: true, isFull: false, waitMs: 0 };
    case 'wait':
      return { isGiven: false, isFull: false, waitMs: toUint32(reply.waitMs) };
    case 'full':
      return { isGiven: false, isFull: true, waitMs: toUint32(reply.retryAfterMs) };
  }
}

export function fromTakeTurnReply(news: gatewayPeer.TakeTurnReply): prefillTurns.TurnReply {
  const { isGiven, isFull, waitMs } = news;
  if (isGiven) return { kind: 'given' };
  return isFull ? { kind: 'full', retryAfterMs: waitMs } : { kind: 'wait', waitMs };
}

function toLoadSignalMessage(word: upstreamStates.LoadSignal): gatewayPeer.LoadWordNews {
  return {
    runningCount: toUint32(word.runningCount),
    waitingCount: toUint32(word.waitingCount),
    slots: toUint32(word.slots),
    momentPercent: toUint32((word.transientFactor ?? 0) * PERCENT),
  };
}

function fromLoadSignalMessage(news: gatewayPeer.LoadWordNews): upstreamStates.LoadSignal {
  const { runningCount, waitingCount, slots, momentPercent } = news;
  const momentFactor = momentPercent === 0 ? null : momentPercent / PERCENT;
  return { runningCount, waitingCount, slots, transientFactor: momentFactor };
}

export function toEndTurnsRequest(
  gatewayId: string,
  turns: readonly prefillTurns.EndedTurn[],
): gatewayPeer.EndTurnsRequest {
  return {
    gatewayId,
    turns: turns.map(({ turnId, upstreamId, isPrefilled, tookMs, load }) => ({
      turnId,
      upstreamId,
      isPrefilled,
      tookMs: toUint32(tookMs),
      load: load === null ? undefined : toLoadSignalMessage(load),
    })),
  };
}

export function fromEndTurnsRequest(
  news: gatewayPeer.EndTurnsRequest,
): readonly prefillTurns.EndedTurn[] {
  const { gatewayId } = news;
  return news.turns.map(({ turnId, upstreamId, isPrefilled, tookMs, load }) => ({
    gatewayId,
    turnId,
    upstreamId,
    isPrefilled,
    tookMs,
    load: load === undefined ? null : fromLoadSignalMessage(load),
  }));
}
