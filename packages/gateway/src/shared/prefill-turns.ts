/**
 * Decides which prompts an upstream may prefill now. Load: prompts of many gateways that reach one engine within the same
 * few tens of milliseconds. The engine prefills them between two decoding steps, and every stream that runs there pauses
 * for the sum. Harm prevented: pauses beyond what the routes allow, which make answers late that were in time at first.
 * One gateway, the upstream's owner, gives turns for all of them.
 */
import type * as upstreamStates from '../types/upstream-states.js';
import * as clamps from './clamp.js';
import * as prefillLoad from './prefill-load.js';

export type AskedTurn = {
  gatewayId: string;
  /** Told apart from the same gateway's other requests; the same each time that a request asks again. */
  turnId: number;
  upstreamId: string;
  /** Tokens of its prompt that are not cached there. */
  promptTokens: number;
  /** On an upstream of usual speed. */
  msPerToken: number;
  /** 0 is the most urgent. */
  priority: number;
  pauseObjectiveMs: number | null;
  /** Until the latest time at which it can start and still be in time. */
  canWaitMs: number;
  /** It is sent in any case once it has waited: its objective has passed, or its caller has a part of the answer. */
  mustStart: boolean;
};

export type TurnReply =
  | { kind: 'given' }
  /** Its place in the queue is kept until shortly after that. */
  | { kind: 'wait'; waitMs: number }
  /** It would wait for longer than it can. */
  | { kind: 'full'; retryAfterMs: number };

export type EndedTurn = {
  gatewayId: string;
  turnId: number;
  upstreamId: string;
  /** The first event came; else the attempt ended without one, or nothing was sent. */
  isPrefilled: boolean;
  /** From the sending to the first event, or to the end. */
  tookMs: number;
  load: upstreamStates.LoadWord | null;
};

export type PrefillTurnsDeps = {
  /** What this gateway knows of the upstream's speed. */
  speed: (
    upstreamId: string,
    nowMs: number,
  ) => Pick<upstreamStates.UpstreamState, 'slowness' | 'momentFactor'>;
  /** Tokens that are not prefilled there yet, in the requests of all gateways as far as heard of. */
  unreadTokens: (upstreamId: string, nowMs: number) => number;
};

export type PrefillTurns = {
  take: (asked: AskedTurn, nowMs: number) => TurnReply;
  /** A turn has ended, or a request gives up its place in the queue. */
  end: (ended: EndedTurn, nowMs: number) => void;
  /** Turns that were given and have not ended, and requests in the queue, over all upstreams. */
  counts: () => { givenCount: number; waitingCount: number };
};

/** A prompt longer than the bound waits for so long, while its asker may look for another upstream. */
const LONG_PROMPT_WAIT_MS = 400;
const MIN_WAIT_MS = 5;
/** Estimates of waits are rough; what ended early is noticed by then. */
const MAX_WAIT_MS = 200;
/** How long a place is kept beyond the time to ask again: a message, and a short pause of the asker. */
const PLACE_KEPT_MS = 60;
const ASKER_LATE_MS = 20;
/** By how much an estimate may exceed what a request that is in the queue can wait. */
const ESTIMATE_SLACK_MS = 30;
/** An end that is this much later than predicted has been lost. */
const EXPIRY_FACTOR = 4;
const EXPIRY_SLACK_MS = 250;
const EXPIRY_MAX_MS = 5_000;
/** Without questions for so long, others may have given turns meanwhile. */
const UNASKED_MS = 1_000;
/** What was heard of and never ends is taken to be prefilled by then. */
const HEARD_MAX_MS = 1_000;
const FORGOTTEN_MS = 30_000;
const SWEEP_MS = 1_000;
/** Bounds the memory of an owner, far above what an upstream prefills in the time that requests can wait. */
const WAITING_MAX = 256;
/** Speed is learnt from turns during which nothing else was prefilled there, so that the time is their own. */
const LEARNING_SHARE = 0.1;
const SAMPLE_RANGE = 3;
const LEAST_SPEED = 0.2;
/** From the sending to the first event beside prefill, about two decoding steps. */
const FIRST_EVENT_MS = 16;

type Place = {
  key: string;
  usualMs: number;
  priority: number;
  latestStartMs: number;
  /** A prompt longer than the bound takes no part in the queue before. */
  fromMs: number;
  keptUntilMs: number;
  isPassedOver: boolean;
  mustStart: boolean;
};

type Upstream = prefillLoad.PrefillState & {
  places: Map<string, Place>;
  askedMs: number;
};

const HEARD_KEY = 'heard';

function keyOf({ gatewayId, turnId }: { gatewayId: string; turnId: number }): string {
  return `${gatewayId} ${turnId}`;
}

function usualMsOf({ promptTokens, msPerToken }: AskedTurn): number {
  const usualMs = promptTokens * msPerToken;
  return Number.isFinite(usualMs) ? Math.max(0, usualMs) : 0;
}

function dropExpired(upstream: Upstream, nowMs: number): void {
  for (const [key, turn] of upstream.turns) {
    if (turn.expiresMs <= nowMs) upstream.turns.delete(key);
  }
  for (const [key, place] of upstream.places) {
    if (place.keptUntilMs <= nowMs) upstream.places.delete(key);
  }
}

/** More urgent first, then who must start first; who was passed over goes first shortly before its latest start. */
function isBefore(left: Place, right: Place, boundMs: number, nowMs: number): boolean {
  const isDue = (place: Place) => place.isPassedOver && place.latestStartMs - nowMs <= boundMs;
  if (isDue(left) !== isDue(right)) return isDue(left);
  if (!isDue(left) && left.priority !== right.priority) return left.priority < right.priority;
  if (left.latestStartMs !== right.latestStartMs) return left.latestStartMs < right.latestStartMs;
  return left.key < right.key;
}

export function createPrefillTurns(deps: PrefillTurnsDeps): PrefillTurns {
  const upstreams = new Map<string, Upstream>();
  let sweptMs = -Infinity;

  function speedFactorOf(upstreamId: string, nowMs: number): number {
    const { slowness, momentFactor } = deps.speed(upstreamId, nowMs);
    return slowness * momentFactor;
  }

  function sweep(nowMs: number): void {
    if (nowMs - sweptMs < SWEEP_MS) return;
    sweptMs = nowMs;
    for (const [id, { askedMs }] of upstreams) {
      if (nowMs - askedMs > FORGOTTEN_MS) upstreams.delete(id);
    }
  }

  /** An owner that has just become one does not know what is under way: it goes by the loads that it has heard of. */
  function addHeard(upstream: Upstream, asked: AskedTurn, speedFactor: number, nowMs: number) {
    let knownMs = 0;
    for (const { usualMs } of upstream.turns.values()) knownMs += usualMs;
    const heardMs = deps.unreadTokens(asked.upstreamId, nowMs) * asked.msPerToken - knownMs;
    if (!(heardMs > 0)) return;
    const lastsMs = Math.min(HEARD_MAX_MS, heardMs * upstream.correction * speedFactor);
    upstream.turns.set(HEARD_KEY, {
      usualMs: heardMs,
      givenMs: nowMs,
      expiresMs: nowMs + lastsMs,
      isAlone: false,
    });
  }

  function upstreamOf(asked: AskedTurn, speedFactor: number, nowMs: number): Upstream {
    const { upstreamId } = asked;
    let upstream = upstreams.get(upstreamId);
    if (upstream === undefined) {
      upstream = {
        turns: new Map(),
        places: new Map(),
        prefilled: [],
        objectives: new Map(),
        correction: 1,
        askedMs: -Infinity,
      };
      upstreams.set(upstreamId, upstream);
    }
    dropExpired(upstream, nowMs);
    if (nowMs - upstream.askedMs > UNASKED_MS) addHeard(upstream, asked, speedFactor, nowMs);
    upstream.askedMs = nowMs;
    return upstream;
  }

  function give(
    upstream: Upstream,
    asked: AskedTurn,
    load: prefillLoad.Load,
    nowMs: number,
  ): TurnReply {
    const usualMs = usualMsOf(asked);
    const ownMs = usualMs * load.factor;
    const lastsMs = (load.unreadMs + ownMs) * EXPIRY_FACTOR + EXPIRY_SLACK_MS;
    const isAlone = upstream.turns.size === 0;
    for (const turn of upstream.turns.values()) turn.isAlone = false;
    upstream.turns.set(keyOf(asked), {
      usualMs,
      givenMs: nowMs,
      expiresMs: nowMs + Math.min(EXPIRY_MAX_MS, lastsMs),
      isAlone,
    });
    upstream.places.delete(keyOf(asked));
    if (asked.pauseObjectiveMs !== null) upstream.objectives.set(asked.pauseObjectiveMs, nowMs);
    for (const place of upstream.places.values()) {
      if (place.priority > asked.priority) place.isPassedOver = true;
    }
    return { kind: 'given' };
  }

  function placeOf(upstream: Upstream, asked: AskedTurn, isLong: boolean, nowMs: number): Place {
    const known = upstream.places.get(keyOf(asked));
    const canWaitMs = Math.max(0, asked.canWaitMs);
    if (known !== undefined) {
      // The asker knows better what is left: its messages take time.
      known.latestStartMs = Math.min(known.latestStartMs, nowMs + canWaitMs);
      known.mustStart = asked.mustStart;
      return known;
    }
    const usualMs = usualMsOf(asked);
    return {
      key: keyOf(asked),
      usualMs,
      priority: asked.priority,
      latestStartMs: nowMs + canWaitMs,
      fromMs: isLong ? nowMs + Math.min(canWaitMs, LONG_PROMPT_WAIT_MS) : nowMs,
      keptUntilMs: -Infinity,
      isPassedOver: false,
      mustStart: asked.mustStart,
    };
  }

  /** Prefill time of those that go before it, each as far as the bound lets it weigh. */
  function aheadMs(
    upstream: Upstream,
    place: Place,
    load: prefillLoad.Load,
    boundMs: number,
    nowMs: number,
  ) {
    let sumMs = 0;
    for (const other of upstream.places.values()) {
      if (other.key === place.key || other.fromMs > nowMs) continue;
      // Its asker is late or gone: the engine is not left idle for it.
      if (nowMs > other.keptUntilMs - PLACE_KEPT_MS + ASKER_LATE_MS) continue;
      if (!isBefore(other, place, boundMs, nowMs)) continue;
      sumMs += Math.min(boundMs, other.usualMs * load.factor);
    }
    return sumMs;
  }

  /** What is under way is prefilled first; each bound's worth of prefill is followed by an event interval. */
  function estimateWaitMs(
    upstream: Upstream,
    load: prefillLoad.Load,
    needMs: number,
    boundMs: number,
    nowMs: number,
  ): number {
    const { unreadMs, intervalMs, underWayMs } = load;
    const leftMs = unreadMs - underWayMs;
    const lastMs = upstream.prefilled.at(-1)?.atMs ?? -Infinity;
    const decodedMs = unreadMs > 0 ? 0 : Math.min(intervalMs, nowMs - lastMs);
    const fullRounds = Math.max(0, Math.ceil(needMs / boundMs) - 1);
    return leftMs + intervalMs - decodedMs + fullRounds * (boundMs + intervalMs);
  }

  function mayStart(
    place: Place,
    load: prefillLoad.Load,
    ahead: number,
    boundMs: number,
    nowMs: number,
  ) {
    const ownMs = place.usualMs * load.factor;
    if (ownMs <= boundMs) return load.unreadMs + load.recentMs + ahead + ownMs <= boundMs;
    const isFree = load.unreadMs + load.recentMs === 0 && ahead === 0;
    return isFree && nowMs >= place.fromMs;
  }

  /** What has waited its time out goes on where others were let past it; the pause is then at most one prompt longer. */
  function startsAnyway(
    place: Place,
    load: prefillLoad.Load,
    boundMs: number,
    nowMs: number,
  ): boolean {
    if (nowMs < place.latestStartMs) return false;
    return place.mustStart || (place.isPassedOver && load.unreadMs + load.recentMs <= boundMs);
  }

  function queue(
    upstream: Upstream,
    place: Place,
    asked: AskedTurn,
    estimateMs: number,
    nowMs: number,
  ): TurnReply {
    const isQueued = upstream.places.has(place.key);
    const slackMs = isQueued ? ESTIMATE_SLACK_MS : 0;
    const leftMs = place.latestStartMs - nowMs;
    const staysOn = place.mustStart || (isQueued && place.isPassedOver);
    if (leftMs <= 0 || (!staysOn && estimateMs > leftMs + slackMs)) {
      upstream.places.delete(place.key);
      return { kind: 'full', retryAfterMs: estimateMs };
    }
    const waitMs = clamps.clamp(Math.min(estimateMs, leftMs), MIN_WAIT_MS, MAX_WAIT_MS);
    place.keptUntilMs = nowMs + waitMs + PLACE_KEPT_MS;
    upstream.places.set(place.key, place);
    return { kind: 'wait', waitMs };
  }

  function take(asked: AskedTurn, nowMs: number): TurnReply {
    sweep(nowMs);
    const speedFactor = speedFactorOf(asked.upstreamId, nowMs);
    const upstream = upstreamOf(asked, speedFactor, nowMs);
    // The answer was lost, or the same question came twice.
    if (upstream.turns.has(keyOf(asked))) return { kind: 'given' };
    const load = prefillLoad.loadOf(upstream, speedFactor, nowMs);
    const boundMs = prefillLoad.boundOf(upstream, asked.pauseObjectiveMs, load.intervalMs, nowMs);
    if (boundMs === Infinity) return give(upstream, asked, load, nowMs);
    const ownMs = usualMsOf(asked) * load.factor;
    const hasStreams = upstream.objectives.size > 0;
    const isLong = ownMs > boundMs;
    if (isLong && !hasStreams && upstream.turns.size === 0) {
      return give(upstream, asked, load, nowMs);
    }
    const place = placeOf(upstream, asked, isLong, nowMs);
    const ahead = aheadMs(upstream, place, load, boundMs, nowMs);
    if (mayStart(place, load, ahead, boundMs, nowMs) || startsAnyway(place, load, boundMs, nowMs)) {
      return give(upstream, asked, load, nowMs);
    }
    const needMs = ahead + Math.min(boundMs, ownMs);
    const estimateMs = Math.max(
      place.fromMs - nowMs,
      estimateWaitMs(upstream, load, needMs, boundMs, nowMs),
    );
    if (upstream.places.size >= WAITING_MAX && !upstream.places.has(place.key)) {
      if (asked.mustStart) return give(upstream, asked, load, nowMs);
      return { kind: 'full', retryAfterMs: estimateMs };
    }
    return queue(upstream, place, asked, estimateMs, nowMs);
  }

  function learn(
    upstream: Upstream,
    turn: prefillLoad.Turn,
    ended: EndedTurn,
    speedFactor: number,
  ): void {
    if (
      !turn.isAlone ||
      turn.usualMs < prefillLoad.LEARNT_FROM_MS ||
      !Number.isFinite(ended.tookMs)
    )
      return;
    const factor = upstream.correction * speedFactor;
    const readMs = Math.max(0, ended.tookMs - FIRST_EVENT_MS * factor);
    const sample = readMs / (turn.usualMs * speedFactor);
    const { correction } = upstream;
    const bounded = clamps.clamp(sample, correction / SAMPLE_RANGE, correction * SAMPLE_RANGE);
    upstream.correction = clamps.clamp(
      correction * (bounded / correction) ** LEARNING_SHARE,
      LEAST_SPEED,
      prefillLoad.MOST_SPEED,
    );
  }

  function end(ended: EndedTurn, nowMs: number): void {
    const upstream = upstreams.get(ended.upstreamId);
    if (upstream === undefined) return;
    const key = keyOf(ended);
    upstream.places.delete(key);
    const turn = upstream.turns.get(key);
    if (turn === undefined) return;
    upstream.turns.delete(key);
    if (!ended.isPrefilled) return;
    const speedFactor = speedFactorOf(ended.upstreamId, nowMs);
    const factor = upstream.correction * speedFactor;
    upstream.prefilled.push({ atMs: nowMs, tookMs: turn.usualMs * factor });
    learn(upstream, turn, ended, speedFactor);
  }

  return {
    take,
    end,
    counts: () => {
      let givenCount = 0;
      let waitingCount = 0;
      for (const { turns, places } of upstreams.values()) {
        givenCount += turns.size;
        waitingCount += places.size;
      }
      return { givenCount, waitingCount };
    },
  };
}
