/**
 * Asks the owners of upstreams for prefill turns and tells them of their ends; is itself the owner of some upstreams. A
 * question to an owner that does not answer costs a request 20 ms at the most: it is sent without a turn.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';

import * as prefillTurns from '../../shared/prefill-turns.js';
import * as turnOwners from '../../shared/turn-owners.js';
import type * as logEvents from '../../types/log-events.js';
import type * as settingsModule from '../../types/settings.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as metricsModule from '../metrics/metrics.js';

/** What a request asks for; the gateway adds its own id. */
export type TurnQuestion = Omit<prefillTurns.TurnRequest, 'gatewayId'>;

/** `unanswered`: the owner was silent. */
export type TurnAnswer = { ownerId: string } & (prefillTurns.TurnReply | { kind: 'unanswered' });

export type TurnEnd = Omit<prefillTurns.EndedTurn, 'gatewayId'>;

export type Turns = {
  /** Whether requests ask for turns at this upstream. */
  isWanted: (upstreamId: string) => boolean;
  /** For a request that is about to ask. */
  nextTurnId: () => number;
  ask: (question: TurnQuestion) => Promise<TurnAnswer>;
  /** To the owner that was asked: prefilled, not sent, or not waiting any more. */
  end: (ownerId: string, ended: TurnEnd) => void;
  /** As the owner: another gateway asks. */
  take: (asked: prefillTurns.TurnRequest) => prefillTurns.TurnReply;
  /** As the owner: another gateway tells. */
  ended: (turns: readonly prefillTurns.EndedTurn[]) => void;
};

export type TurnsDeps = {
  clock: clocks.Clock;
  random: randoms.Random;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'turnAnswered'>;
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'applyLoadSignal' | 'isOnSharedMachine'>;
  /** The mean length of this process's own turns of the loop, lately. */
  loopTurnMs: () => number;
  mode: settingsModule.Settings['promptTurns'];
  gatewayId: string;
  /** Gateways that live and have time for questions. */
  ownerIds: (nowMs: number) => readonly string[];
  /** Tokens that are not prefilled at the upstream, by what is known of all gateways. */
  unreadTokens: (upstreamId: string, nowMs: number) => number;
  /** Null without an answer. */
  takeFrom: (
    ownerId: string,
    asked: prefillTurns.TurnRequest,
    deadlineMs: number,
  ) => Promise<prefillTurns.TurnReply | null>;
  tellEnded: (ownerId: string, ended: readonly prefillTurns.EndedTurn[]) => void;
};

const ANSWER_MS = 20;
/** A call that is given up closes its channel: an owner that only pauses keeps its own for longer than it is waited for. */
const CALL_MS = 500;
/** An answer that comes within a longer turn of the loop is read too late: the question would cost both sides a call for nothing. */
const ASKING_TURN_MAX_MS = ANSWER_MS / 2;
/** This process itself had no time: the answer may have come and not been read. */
const OWN_LAG_MS = 5;
const BATCH_MS = 10;
const TURN_IDS = 2 ** 32;

export function createTurns(deps: TurnsDeps): Turns {
  const { clock, log, states, gatewayId } = deps;
  const owners = turnOwners.createTurnOwners(gatewayId);
  const given = prefillTurns.createPrefillTurns({
    speed: states.state,
    pendingTokens: deps.unreadTokens,
  });
  const endedByOwner = new Map<string, prefillTurns.EndedTurn[]>();
  // An earlier life of this gateway may have turns that the owners still count.
  let lastTurnId = deps.random.below(TURN_IDS);

  async function inTime<Value>(work: Promise<Value>): Promise<Value | 'deadline'> {
    const byMs = clock.nowMs() + ANSWER_MS;
    const outcome = await clocksModule.raceDeadline(clock, byMs, work);
    if (outcome !== 'deadline' || clock.nowMs() - byMs < OWN_LAG_MS) return outcome;
    return clocksModule.raceDeadline(clock, clock.nowMs() + ANSWER_MS, work);
  }

  async function askOwner(
    ownerId: string,
    asked: prefillTurns.TurnRequest,
  ): Promise<prefillTurns.TurnReply | null> {
    if (ownerId === gatewayId) return given.take(asked, clock.nowMs());
    const call = deps.takeFrom(ownerId, asked, clock.nowMs() + CALL_MS);
    const reply = await inTime(call);
    if (reply !== 'deadline') return reply;
    void call.then((lateReply) => noteLate(ownerId, asked, lateReply));
    return null;
  }

  /**
   * The request has been sent without a turn. Failure: an owner that is late now and then is passed over for as long as one
   * that is gone, two owners give turns at one upstream, and neither counts this prompt.
   */
  function noteLate(
    ownerId: string,
    asked: prefillTurns.TurnRequest,
    reply: prefillTurns.TurnReply | null,
  ): void {
    if (reply === null) return;
    owners.noteAnswered(ownerId);
    if (reply.kind === 'given') return;
    const sent = { ...asked, canWaitMs: 0, mustStart: true };
    void deps.takeFrom(ownerId, sent, clock.nowMs() + CALL_MS);
  }

  function ownerOf(upstreamId: string, nowMs: number): string {
    return owners.ownerOf(upstreamId, () => deps.ownerIds(nowMs), nowMs);
  }

  function canAsk(upstreamId: string): boolean {
    if (deps.loopTurnMs() <= ASKING_TURN_MAX_MS) return true;
    return ownerOf(upstreamId, clock.nowMs()) === gatewayId;
  }

  function noteSilent(ownerId: string, upstreamId: string): void {
    if (!owners.noteSilent(ownerId, clock.nowMs())) return;
    log.warn('turn-owner-silent', { ownerId, upstreamId, forMs: turnOwners.SILENT_MS });
  }

  function flush(ownerId: string): void {
    const ended = endedByOwner.get(ownerId);
    endedByOwner.delete(ownerId);
    if (ended !== undefined) deps.tellEnded(ownerId, ended);
  }

  return {
    isWanted: (upstreamId) => {
      switch (deps.mode) {
        case 'on':
          return canAsk(upstreamId);
        case 'off':
          return false;
        case 'auto':
          return states.isOnSharedMachine(upstreamId) && canAsk(upstreamId);
      }
    },
    nextTurnId: () => {
      lastTurnId = (lastTurnId + 1) % TURN_IDS;
      return lastTurnId;
    },
    ask: async (question) => {
      const nowMs = clock.nowMs();
      const { upstreamId } = question;
      const ownerId = ownerOf(upstreamId, nowMs);
      const reply = await askOwner(ownerId, { ...question, gatewayId });
      deps.metrics.turnAnswered(reply?.kind ?? 'unanswered');
      if (reply !== null) return { ownerId, ...reply };
      noteSilent(ownerId, upstreamId);
      return { ownerId, kind: 'unanswered' };
    },
    end: (ownerId, ended) => {
      if (ownerId === gatewayId) {
        given.end({ ...ended, gatewayId }, clock.nowMs());
        return;
      }
      const waiting = endedByOwner.get(ownerId);
      if (waiting !== undefined) {
        waiting.push({ ...ended, gatewayId });
        return;
      }
      endedByOwner.set(ownerId, [{ ...ended, gatewayId }]);
      clock.schedule(clock.nowMs() + BATCH_MS, () => flush(ownerId));
    },
    take: (asked) => given.take(asked, clock.nowMs()),
    ended: (turns) => {
      const nowMs = clock.nowMs();
      turns.forEach((turn) => {
        if (turn.load !== null) {
          states.applyLoadSignal(turn.upstreamId, turn.load, nowMs - turn.tookMs, nowMs);
        }
        given.end(turn, nowMs);
      });
    },
  };
}
