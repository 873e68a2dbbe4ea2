/**
 * Gateways before engines that prefill prompts between decoding steps, on a virtual clock: what streams pause for, and what
 * it costs, where each gateway decides alone, where each upstream has an owner, and where each model has one queue.
 */
import { gatewayPeer } from '@copperlever/protocol';
import type { randoms } from '@copperlever/runtime';

import * as prefillTurns from '../shared/prefill-turns.js';
import * as turnOwners from '../shared/turn-owners.js';
import * as upstreamStates from '../shared/upstream-states.js';
import * as turnCodec from '../server/turns/turn-codec.js';
import * as virtualClocks from './virtual-clock.js';

export type TurnWay = 'alone' | 'owners' | 'model-queues';

export type TurnFault = 'none' | 'killed' | 'paused' | 'partitioned' | 'duplicated';

export type TurnLoad = {
  way: TurnWay;
  gatewayCount: number;
  upstreamCount: number;
  /** With two, half of an upstream's streams are of either. */
  modelsPerUpstream: 1 | 2;
  streamsPerSecond: number;
  fault: TurnFault;
  lengthMs: number;
  /** Whether the speed of upstreams is known from the beginning. */
  knowsSpeed: boolean;
  /** Whether a request is refused by its gateway's own estimate before it asks for a turn. */
  hasQueueLimit: boolean;
  /** Until the first figure is taken, and until the fault. */
  warmUpMs: number;
};

export type TurnOutcome = {
  requests: number;
  prefills: number;
  /** Prefills that were part of a pause beyond what is allowed of a stream that ran there. */
  harmful: number;
  lateStreams: number;
  lateFirst: number;
  refused: number;
  unanswered: number;
  turnWaitsMs: number[];
  /** Each gateway's, with those that it receives. */
  messagesPerSecond: number;
  bytesPerSecond: number;
  busiestMessagesPerSecond: number;
};

const MS_PER_SECOND = 1_000;
const TOKENS_PER_MS = 22;
const CHUNK_TOKENS = 4_096;
const STEP_MS = 8;
const STEPS_PER_EVENT = 4;
const STREAM_MS = 1_700;
const SPEEDS = [0.6, 1, 1.6];
const SPELL_MS = 600;
const DISTURBED_SHARE = 0.15;
const DISTURBED_FACTOR = 2.5;
const TOKENS_MEAN = 1_460;
const TOKENS_SHORT_MEAN = 650;
const TOKENS_MAX = 4_700;
const PAUSE_MS = 300;
const OBJECTIVE_MS = 800;
/** From the sending to the first event beside prefill. */
const BASE_MS = 20;
const QUEUE_LIMIT_MS = 0.9 * PAUSE_MS;
const NEWS_MIN_MS = 50;
const NEWS_MAX_MS = 500;
const ANSWER_MS = 20;
const BATCH_MS = 10;
const LONG_WAIT_MS = 40;
const LATE_WAIT_MS = 150;
const PREDICTED_SHARE = 0.7;
const PLACES_MAX = 2;
const UPSTREAMS_MAX = 4;
const RETRY_MAX_MS = 1_000;
/** A message between gateways, and now and then one whose receiver has no time. */
const MESSAGE_MS = 1;
const BUSY_SHARE = 0.02;
const BUSY_MAX_MS = 40;
/** Frames and compressed headers of a call in either direction. */
const CALL_OVERHEAD_BYTES = 70;
const PAUSED_MS = 1_500;
const FAULT_MS = 5_000;
const FAULT_SHARE = 0.1;

type Stream = { isLate: boolean; endMs: number; isCounted: boolean };

type Prompt = {
  tokens: number;
  leftTokens: number;
  gateway: number;
  sentMs: number;
  isHarmful: boolean;
  isCounted: boolean;
  onFirst: () => void;
};

type Change = { atMs: number; gateway: number; tokens: number };

type Engine = {
  id: string;
  index: number;
  speed: number;
  spells: Map<number, boolean>;
  waiting: Prompt[];
  /** Running streams by the step of their events. */
  streams: Stream[][];
  stepCount: number;
  stepEndsMs: number[];
  recent: Prompt[][];
  isBusy: boolean;
  /** Of unread tokens, for news that are old. */
  changes: Change[];
  unreadByGateway: Map<number, number>;
  unread: number;
};

type Gateway = {
  index: number;
  id: string;
  isUp: boolean;
  pausedUntilMs: number;
  isCut: boolean;
  states: ReturnType<typeof upstreamStates.createUpstreamStates>;
  owners: turnOwners.TurnOwners;
  given: prefillTurns.PrefillTurns;
  ends: Map<number, prefillTurns.EndedTurn[]>;
  messageCount: number;
  byteCount: number;
  lastTurnId: number;
};

type Request = {
  gateway: Gateway;
  model: number;
  tokens: number;
  arrivedMs: number;
  isRetry: boolean;
  isCounted: boolean;
};

type Place = {
  engine: Engine | null;
  turnId: number;
  owner: Gateway | null;
  latestStartMs: number;
};

/** Models as lists of the upstreams that have them, of 1 to 4 copies. */
function placeModels(upstreamCount: number, shift: number): number[][] {
  const models: number[][] = [];
  for (let at = 0; at < upstreamCount;) {
    const copies = Math.min(1 + (models.length % 4), upstreamCount - at);
    models.push(
      Array.from({ length: copies }, (_unused, index) => (at + index + shift) % upstreamCount),
    );
    at += copies;
  }
  return models;
}

export function playTurns(load: TurnLoad, random: randoms.Random): TurnOutcome {
  const clock = virtualClocks.createVirtualClock();
  const outcome: TurnOutcome = {
    requests: 0,
    prefills: 0,
    harmful: 0,
    lateStreams: 0,
    lateFirst: 0,
    refused: 0,
    unanswered: 0,
    turnWaitsMs: [],
    messagesPerSecond: 0,
    bytesPerSecond: 0,
    busiestMessagesPerSecond: 0,
  };
  const engines = Array.from({ length: load.upstreamCount }, (_unused, index): Engine => ({
    id: `upstream-${String(index).padStart(4, '0')}`,
    index,
    speed: SPEEDS[index % SPEEDS.length] as number,
    spells: new Map(),
    waiting: [],
    streams: Array.from({ length: STEPS_PER_EVENT }, () => []),
    stepCount: 0,
    stepEndsMs: Array.from({ length: STEPS_PER_EVENT }, () => -Infinity),
    recent: Array.from({ length: STEPS_PER_EVENT }, () => []),
    isBusy: false,
    changes: [],
    unreadByGateway: new Map(),
    unread: 0,
  }));
  const engineById = new Map(engines.map((engine) => [engine.id, engine]));
  const models = placeModels(load.upstreamCount, 0);
  if (load.modelsPerUpstream === 2) models.push(...placeModels(load.upstreamCount, 1));
  const gateways = Array.from({ length: load.gatewayCount }, (_unused, index) =>
    createGateway(index),
  );
  const gatewayIds = gateways.map(({ id }) => id);
  const gatewayById = new Map(gateways.map((gateway) => [gateway.id, gateway]));

  function createGateway(index: number): Gateway {
    const states = upstreamStates.createUpstreamStates();
    const id = `gateway-${String(index).padStart(3, '0')}`;
    return {
      index,
      id,
      isUp: true,
      pausedUntilMs: -Infinity,
      isCut: false,
      states,
      owners: turnOwners.createTurnOwners(id),
      given: prefillTurns.createPrefillTurns({
        speed: (upstreamId, nowMs) => ({
          latencyRatio: load.knowsSpeed ? (engineById.get(upstreamId) as Engine).speed : 1,
          transientFactor: states.state(upstreamId, nowMs).transientFactor,
        }),
        pendingTokens: (upstreamId) => heardTokens(engineById.get(upstreamId) as Engine, index),
      }),
      ends: new Map(),
      messageCount: 0,
      byteCount: 0,
      lastTurnId: random.below(1_000_000),
    };
  }

  function momentOf(engine: Engine): number {
    // Spells of different upstreams begin at different times.
    const spell = Math.floor(clock.nowMs() / SPELL_MS + ((engine.index * 0.37) % 1));
    const known = engine.spells.get(spell);
    const isDisturbed = known ?? random.fraction() < DISTURBED_SHARE;
    if (known === undefined) {
      engine.spells.clear();
      engine.spells.set(spell, isDisturbed);
    }
    return isDisturbed ? DISTURBED_FACTOR : 1;
  }

  function isCounted(): boolean {
    return clock.nowMs() >= load.warmUpMs;
  }

  function changeUnread(engine: Engine, gateway: number, tokens: number): void {
    engine.unread += tokens;
    engine.unreadByGateway.set(gateway, (engine.unreadByGateway.get(gateway) ?? 0) + tokens);
    engine.changes.push({ atMs: clock.nowMs(), gateway, tokens });
    const oldMs = clock.nowMs() - NEWS_MAX_MS;
    while ((engine.changes[0]?.atMs ?? Infinity) < oldMs) engine.changes.shift();
  }

  /** Its own as they are, the others' as they were when it last heard of them. */
  function heardTokens(engine: Engine, gateway: number): number {
    const ageMs = NEWS_MIN_MS + random.fraction() * (NEWS_MAX_MS - NEWS_MIN_MS);
    let tokens = engine.unread;
    for (const change of engine.changes) {
      if (change.atMs > clock.nowMs() - ageMs && change.gateway !== gateway)
        tokens -= change.tokens;
    }
    return Math.max(0, tokens);
  }

  /** One round of an engine: prompts that wait, as far as they go into one, then a decoding step. */
  function runEngine(engine: Engine): void {
    const isIdle = engine.waiting.length === 0 && engine.streams.every((some) => some.length === 0);
    engine.isBusy = !isIdle;
    if (isIdle) return;
    const factor = engine.speed * momentOf(engine);
    let roomTokens = CHUNK_TOKENS;
    const touched: Prompt[] = [];
    const read: Prompt[] = [];
    while (roomTokens > 0 && engine.waiting.length > 0) {
      const prompt = engine.waiting[0] as Prompt;
      const tokens = Math.min(roomTokens, prompt.leftTokens);
      prompt.leftTokens -= tokens;
      roomTokens -= tokens;
      touched.push(prompt);
      if (prompt.leftTokens > 0) break;
      engine.waiting.shift();
      read.push(prompt);
    }
    const prefillMs = ((CHUNK_TOKENS - roomTokens) / TOKENS_PER_MS) * factor;
    clock.after(prefillMs + STEP_MS * factor, () => {
      endStep(engine, touched, read);
      runEngine(engine);
    });
  }

  function endStep(engine: Engine, touched: Prompt[], read: Prompt[]): void {
    const nowMs = clock.nowMs();
    const phase = engine.stepCount % STEPS_PER_EVENT;
    engine.stepCount += 1;
    const gapMs = nowMs - (engine.stepEndsMs[phase] as number);
    engine.stepEndsMs[phase] = nowMs;
    engine.recent[phase] = touched;
    const streams = engine.streams[phase] as Stream[];
    if (gapMs > PAUSE_MS && streams.length > 0) {
      streams.forEach((stream) => {
        if (stream.isCounted && !stream.isLate) outcome.lateStreams += 1;
        stream.isLate = true;
      });
      engine.recent.flat().forEach((prompt) => {
        if (prompt.isCounted && !prompt.isHarmful) outcome.harmful += 1;
        prompt.isHarmful = true;
      });
    }
    engine.streams[phase] = streams.filter(({ endMs }) => endMs > nowMs);
    read.forEach((prompt) => {
      if (prompt.isCounted) outcome.prefills += 1;
      const stream = { isLate: false, endMs: nowMs + STREAM_MS, isCounted: prompt.isCounted };
      (engine.streams[phase] as Stream[]).push(stream);
      changeUnread(engine, prompt.gateway, -prompt.tokens);
      prompt.onFirst();
    });
  }

  /** Runs a gateway's own task, later where it pauses, never where it is dead. */
  function run(gateway: Gateway, task: () => void): void {
    if (!gateway.isUp) return;
    if (gateway.pausedUntilMs <= clock.nowMs()) task();
    else clock.at(gateway.pausedUntilMs, () => run(gateway, task));
  }

  function send(from: Gateway, to: Gateway, bytes: number, task: () => void): void {
    [from, to].forEach((gateway) => {
      if (!isCounted()) return;
      gateway.messageCount += 1;
      gateway.byteCount += bytes + CALL_OVERHEAD_BYTES;
    });
    if (from.isCut || to.isCut) return;
    const busyMs = random.fraction() < BUSY_SHARE ? random.fraction() * BUSY_MAX_MS : 0;
    clock.after(MESSAGE_MS + busyMs, () => run(to, task));
  }

  function speedAt(gateway: Gateway, engine: Engine): number {
    const { transientFactor } = gateway.states.state(engine.id, clock.nowMs());
    return (load.knowsSpeed ? engine.speed : 1) * transientFactor;
  }

  function choose(request: Request, triedIds: ReadonlySet<string>) {
    let best: { engine: Engine; predictedMs: number; hasQueue: boolean; cost: number } | null =
      null;
    for (const index of models[request.model] as number[]) {
      const engine = engines[index] as Engine;
      if (triedIds.has(engine.id)) continue;
      const aheadTokens = heardTokens(engine, request.gateway.index);
      const factor = speedAt(request.gateway, engine);
      const predictedMs = ((aheadTokens + request.tokens) / TOKENS_PER_MS + BASE_MS) * factor;
      const cost = predictedMs * (1 + 0.1 * random.fraction());
      if (best === null || cost < best.cost) {
        best = { engine, predictedMs, hasQueue: aheadTokens > 0, cost };
      }
    }
    return best;
  }

  function attempt(request: Request, engine: Engine, place: Place | null): void {
    const { gateway, tokens } = request;
    const sentMs = clock.nowMs();
    changeUnread(engine, gateway.index, tokens);
    clock.after(MESSAGE_MS, () => {
      engine.waiting.push({
        tokens,
        leftTokens: tokens,
        gateway: gateway.index,
        sentMs,
        isHarmful: false,
        isCounted: request.isCounted,
        onFirst: () => {
          const transientFactor = momentOf(engine);
          clock.after(MESSAGE_MS, () =>
            run(gateway, () => firstEvent(request, engine, place, sentMs, transientFactor)),
          );
        },
      });
      if (!engine.isBusy) runEngine(engine);
    });
  }

  function firstEvent(
    request: Request,
    engine: Engine,
    place: Place | null,
    sentMs: number,
    transientFactor: number,
  ): void {
    const { gateway } = request;
    const nowMs = clock.nowMs();
    const word = { runningCount: 1, waitingCount: 0, slots: 64, transientFactor };
    gateway.states.applyLoadSignal(engine.id, word, sentMs, nowMs);
    if (request.isCounted && nowMs - request.arrivedMs > OBJECTIVE_MS) outcome.lateFirst += 1;
    if (place === null) return;
    end(gateway, place, engine, { isPrefilled: true, tookMs: nowMs - sentMs, load: word });
  }

  function refuse(request: Request, waitMs: number): void {
    if (request.isRetry) {
      if (request.isCounted) outcome.refused += 1;
      return;
    }
    const retryMs = Math.min(RETRY_MAX_MS, Math.max(100, waitMs));
    clock.after(retryMs, () => {
      const gateway = pickGateway();
      run(gateway, () => serve({ ...request, gateway, isRetry: true }));
    });
  }

  function end(
    gateway: Gateway,
    place: Place,
    engine: Engine,
    rest: Pick<prefillTurns.EndedTurn, 'isPrefilled' | 'tookMs' | 'load'>,
  ): void {
    const { owner, turnId } = place;
    if (owner === null) return;
    const ended = { gatewayId: gateway.id, turnId, upstreamId: engine.id, ...rest };
    if (owner === gateway) {
      gateway.given.end(ended, clock.nowMs());
      return;
    }
    const batch = gateway.ends.get(owner.index);
    if (batch !== undefined) {
      batch.push(ended);
      return;
    }
    const fresh = [ended];
    gateway.ends.set(owner.index, fresh);
    clock.after(BATCH_MS, () => {
      gateway.ends.delete(owner.index);
      const news = turnCodec.toEndTurnsRequest(gateway.id, fresh);
      const bytes = gatewayPeer.EndTurnsRequest.encode(news).finish().length;
      send(gateway, owner, bytes, () => {
        fresh.forEach((one) => {
          const { upstreamId, load: word, tookMs } = one;
          const nowMs = clock.nowMs();
          if (word !== null) owner.states.applyLoadSignal(upstreamId, word, nowMs - tookMs, nowMs);
          owner.given.end(one, nowMs);
        });
      });
    });
  }

  function liveIds(gateway: Gateway): readonly string[] {
    // A part of the gateways does not know one that joined.
    if (load.fault !== 'duplicated' || clock.nowMs() < load.warmUpMs) return gatewayIds;
    return gateway.index % 2 === 0 ? gatewayIds : gatewayIds.slice(faultCount());
  }

  type Reply = prefillTurns.TurnReply & { upstreamId: string };

  /** At the owner of a model: the first of its upstreams that can take the prompt. */
  function takeAnywhere(owner: Gateway, model: number, asked: prefillTurns.TurnRequest): Reply {
    const copies = (models[model] as number[])
      .map((index) => engines[index] as Engine)
      .map((engine) => ({ engine, factor: speedAt(owner, engine) }))
      .sort((left, right) => left.factor - right.factor);
    let best: Reply | null = null;
    const taken: string[] = [];
    for (const { engine } of copies) {
      const question = { ...asked, upstreamId: engine.id };
      const reply = owner.given.take(question, clock.nowMs());
      if (reply.kind === 'given') {
        taken.forEach((upstreamId) =>
          owner.given.end(
            { ...question, upstreamId, isPrefilled: false, tookMs: 0, load: null },
            clock.nowMs(),
          ),
        );
        return { ...reply, upstreamId: engine.id };
      }
      taken.push(engine.id);
      const waitOf = (some: prefillTurns.TurnReply) =>
        some.kind === 'wait' ? some.waitMs : Infinity;
      if (best === null || waitOf(reply) < waitOf(best)) best = { ...reply, upstreamId: engine.id };
    }
    return best as Reply;
  }

  function ask(request: Request, place: Place, then: (reply: Reply | null) => void): void {
    const { gateway } = request;
    const nowMs = clock.nowMs();
    const key = place.engine === null ? `model-${request.model}` : place.engine.id;
    const ownerId = gateway.owners.ownerOf(key, () => liveIds(gateway), nowMs);
    const owner = gatewayById.get(ownerId) as Gateway;
    place.owner = owner;
    const asked: prefillTurns.TurnRequest = {
      gatewayId: gateway.id,
      turnId: place.turnId,
      upstreamId: key,
      promptTokens: request.tokens,
      msPerToken: 1 / TOKENS_PER_MS,
      priority: 1,
      pauseObjectiveMs: PAUSE_MS,
      canWaitMs: Math.max(0, place.latestStartMs - nowMs),
      mustStart: nowMs - request.arrivedMs > OBJECTIVE_MS,
    };
    const decide = (): Reply =>
      place.engine === null
        ? takeAnywhere(owner, request.model, asked)
        : { ...owner.given.take(asked, clock.nowMs()), upstreamId: key };
    if (owner === gateway) {
      then(decide());
      return;
    }
    let isSettled = false;
    const settle = (reply: Reply | null) => {
      if (isSettled) return;
      isSettled = true;
      then(reply);
    };
    const bytes = gatewayPeer.TakeTurnRequest.encode(turnCodec.toTakeTurnRequest(asked)).finish();
    send(gateway, owner, bytes.length, () => {
      const reply = decide();
      const replyBytes = gatewayPeer.TakeTurnReply.encode(turnCodec.toTakeTurnReply(reply));
      // The answer belongs to the same call.
      const extra = place.engine === null ? reply.upstreamId.length : 0;
      send(owner, gateway, replyBytes.finish().length + extra, () => {
        if (!isSettled) {
          settle(reply);
          return;
        }
        gateway.owners.noteAnswered(ownerId);
        if (reply.kind === 'given' || place.engine === null) return;
        const sent = { ...asked, canWaitMs: 0, mustStart: true };
        send(gateway, owner, bytes.length, () => owner.given.take(sent, clock.nowMs()));
      });
    });
    clock.after(ANSWER_MS, () =>
      run(gateway, () => {
        if (isSettled) return;
        if (request.isCounted) outcome.unanswered += 1;
        gateway.owners.noteSilent(ownerId, clock.nowMs());
        settle(null);
      }),
    );
  }

  function latestStart(request: Request, engine: Engine): number {
    const nowMs = clock.nowMs();
    if (nowMs - request.arrivedMs > OBJECTIVE_MS) return nowMs + LATE_WAIT_MS;
    const factor = speedAt(request.gateway, engine);
    const ownMs = (BASE_MS + (request.tokens / TOKENS_PER_MS) * factor) / PREDICTED_SHARE;
    return Math.max(nowMs, request.arrivedMs + OBJECTIVE_MS - ownMs);
  }

  function openPlace(request: Request, engine: Engine, isForModel: boolean): Place {
    const { gateway } = request;
    gateway.lastTurnId += 1;
    return {
      engine: isForModel ? null : engine,
      turnId: gateway.lastTurnId,
      owner: null,
      latestStartMs: latestStart(request, engine),
    };
  }

  function takeTurn(request: Request, first: Engine): void {
    const { gateway } = request;
    const startedMs = clock.nowMs();
    const isForModel = load.way === 'model-queues';
    const triedIds = new Set([first.id]);
    const places = new Map<Place, Engine>();
    let soonestMs = Infinity;
    let isOver = false;

    function giveUp(place: Place, engine: Engine): void {
      const rest = { isPrefilled: false, tookMs: 0, load: null };
      if (!isForModel) {
        end(gateway, place, engine, rest);
        return;
      }
      (models[request.model] as number[]).forEach((index) =>
        end(gateway, place, engines[index] as Engine, rest),
      );
    }

    function go(place: Place, engine: Engine): void {
      isOver = true;
      places.forEach((other, one) => {
        if (one !== place) giveUp(one, other);
      });
      if (request.isCounted) outcome.turnWaitsMs.push(clock.nowMs() - startedMs);
      attempt(request, engine, place);
    }

    function add(engine: Engine): void {
      const place = openPlace(request, engine, isForModel);
      places.set(place, engine);
      askFor(place, engine);
    }

    function tryNext(): void {
      if (isForModel || places.size >= PLACES_MAX || triedIds.size >= UPSTREAMS_MAX) return;
      const next = choose(request, triedIds);
      if (next === null) return;
      if (load.hasQueueLimit && next.hasQueue && next.predictedMs > QUEUE_LIMIT_MS) return;
      triedIds.add(next.engine.id);
      add(next.engine);
    }

    function askFor(place: Place, engine: Engine): void {
      ask(request, place, (reply) => {
        if (isOver) {
          if (reply?.kind === 'given') giveUp(place, engine);
          return;
        }
        if (reply === null) {
          go(place, engine);
          return;
        }
        if (reply.kind === 'given') {
          go(place, engineById.get(reply.upstreamId) as Engine);
          return;
        }
        const nowMs = clock.nowMs();
        const forMs = reply.kind === 'full' ? reply.retryAfterMs : reply.waitMs;
        if (reply.kind === 'full' || place.latestStartMs <= nowMs) {
          if (reply.kind === 'wait') giveUp(place, engine);
          places.delete(place);
          soonestMs = Math.min(soonestMs, forMs);
          if (nowMs - request.arrivedMs > OBJECTIVE_MS) {
            go(place, engine);
            return;
          }
          tryNext();
          if (places.size === 0 && !isOver) {
            isOver = true;
            refuse(request, soonestMs);
          }
          return;
        }
        const againMs = Math.min(nowMs + forMs, place.latestStartMs);
        clock.at(againMs, () =>
          run(gateway, () => {
            if (!isOver && places.has(place)) askFor(place, engine);
          }),
        );
        if (forMs >= LONG_WAIT_MS) tryNext();
      });
    }

    add(first);
  }

  function serve(request: Request): void {
    const choice = choose(request, new Set());
    if (choice === null) return;
    const isLate = clock.nowMs() - request.arrivedMs > OBJECTIVE_MS;
    const hasLimit = load.way === 'alone' || load.hasQueueLimit;
    if (hasLimit && !isLate && choice.hasQueue && choice.predictedMs > QUEUE_LIMIT_MS) {
      refuse(request, choice.predictedMs);
      return;
    }
    if (load.way === 'alone') attempt(request, choice.engine, null);
    else takeTurn(request, choice.engine);
  }

  function pickGateway(): Gateway {
    for (;;) {
      const gateway = gateways[random.below(gateways.length)] as Gateway;
      if (gateway.isUp) return gateway;
    }
  }

  function arrive(model: number, perSecond: number): void {
    const waitMs = (-Math.log(1 - random.fraction()) * MS_PER_SECOND) / perSecond;
    clock.after(waitMs, () => {
      const mean = random.fraction() < 1 / 3 ? TOKENS_SHORT_MEAN : TOKENS_MEAN;
      const tokens = Math.min(TOKENS_MAX, 1 - mean * Math.log(1 - random.fraction()));
      const gateway = pickGateway();
      const counted = isCounted();
      if (counted) outcome.requests += 1;
      const request = {
        gateway,
        model,
        tokens: Math.round(tokens),
        arrivedMs: clock.nowMs(),
        isRetry: false,
        isCounted: counted,
      };
      run(gateway, () => serve(request));
      arrive(model, perSecond);
    });
  }

  function faultCount(): number {
    return Math.max(1, Math.round(FAULT_SHARE * gateways.length));
  }

  function strike(): void {
    const struck = gateways.slice(0, faultCount());
    switch (load.fault) {
      case 'none':
      case 'duplicated':
        return;
      case 'killed':
        struck.forEach((gateway) => {
          gateway.isUp = false;
        });
        return;
      case 'paused':
        struck.forEach((gateway) => {
          gateway.pausedUntilMs = clock.nowMs() + PAUSED_MS;
        });
        return;
      case 'partitioned':
        struck.forEach((gateway) => {
          gateway.isCut = true;
        });
        clock.after(FAULT_MS, () => {
          struck.forEach((gateway) => {
            gateway.isCut = false;
          });
        });
    }
  }

  models.forEach((copies, model) => {
    arrive(model, (copies.length * load.streamsPerSecond) / load.modelsPerUpstream);
  });
  clock.at(load.warmUpMs, strike);
  clock.runUntil(load.lengthMs);
  const seconds = (load.lengthMs - load.warmUpMs) / MS_PER_SECOND;
  const total = (of: (gateway: Gateway) => number) =>
    gateways.reduce((sum, gateway) => sum + of(gateway), 0);
  const perGatewayS = gateways.length * seconds;
  outcome.messagesPerSecond = total(({ messageCount }) => messageCount) / perGatewayS;
  outcome.bytesPerSecond = total(({ byteCount }) => byteCount) / perGatewayS;
  outcome.busiestMessagesPerSecond =
    Math.max(...gateways.map(({ messageCount }) => messageCount)) / seconds;
  return outcome;
}
