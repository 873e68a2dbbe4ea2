/**
 * Decides which prompts an upstream may prefill now. When prompts of many gateways reach one engine within the same
 * few tens of milliseconds, it prefills them between two decoding steps, and every stream that runs there pauses for
 * the sum. Pauses beyond what the routes allow make answers late that were in time at first. So one gateway, the
 * upstream's owner, grants turns for all gateways.
 */
import type * as upstreamStates from '../types/upstream-states.js';
import * as clamps from './clamp.js';
import * as prefillLoad from './prefill-load.js';

export type TurnRequest = {
  gatewayId: string;
  /**
   * Distinguishes the request from others of the same gateway, and stays the same each time that the request asks
   * again.
   */
  turnId: number;
  upstreamId: string;
  /** Tokens of its prompt that are not cached at the upstream. */
  promptTokens: number;
  /** On an upstream of baseline speed. */
  msPerToken: number;
  /** 0 is the most urgent. */
  priority: number;
  pauseObjectiveMs: number | null;
  /** Time left until the latest start with which it can still be in time. */
  canWaitMs: number;
  /**
   * It is sent in any case once it has waited: its objective has passed, or its caller already received a part of the
   * answer.
   */
  mustStart: boolean;
};

export type TurnReply =
  | { kind: 'given' }
  /** Its queue entry is kept until shortly after that. */
  | { kind: 'wait'; waitMs: number }
  /** It would wait for longer than it can. */
  | { kind: 'full'; retryAfterMs: number };

export type EndedTurn = {
  gatewayId: string;
  turnId: number;
  upstreamId: string;
  /** The first event arrived. False if the attempt ended without one, or nothing was sent. */
  isPrefilled: boolean;
  /** From sending the request to its first event, or to its end. */
  tookMs: number;
  load: upstreamStates.LoadSignal | null;
};

export type PrefillTurnsDeps = {
  /** The upstream's speed as this gateway knows it. */
  speed: (
    upstreamId: string,
    nowMs: number,
  ) => Pick<upstreamStates.UpstreamState, 'latencyRatio' | 'transientFactor'>;
  /** Prompt tokens that are not prefilled there yet, over the requests of all gateways as far as known. */
  pendingTokens: (upstreamId: string, nowMs: number) => number;
};

export type PrefillTurns = {
  take: (request: TurnRequest, nowMs: number) => TurnReply;
  /** Ends a turn, or withdraws a request from the queue. */
  end: (ended: EndedTurn, nowMs: number) => void;
  /** Granted turns that have not ended, and queued requests, over all upstreams. */
  counts: () => { givenCount: number; waitingCount: number };
};

/**
 * A prompt longer than the bound on one pause (`prefillLoad.boundOf`) waits for so long, while its gateway may look
 * for another upstream.
 */
const LONG_PROMPT_WAIT_MS = 400;
const MIN_WAIT_MS = 5;
/** Estimated waits are rough. Asking again by then notices turns that ended early. */
const MAX_WAIT_MS = 200;
/**
 * How long a queue entry is kept beyond the time to ask again: a message, and a short pause of the requester.
 */
const ENTRY_KEPT_MS = 60;
const REQUESTER_LATE_MS = 20;
/** How far an estimate may exceed the time that a queued request has left. */
const ESTIMATE_MARGIN_MS = 30;
/** A turn that has not ended this much later than predicted is considered lost. */
const EXPIRY_FACTOR = 4;
const EXPIRY_MARGIN_MS = 250;
const EXPIRY_MAX_MS = 5_000;
/** After so long without a request, another gateway may have granted turns meanwhile. */
const IDLE_MS = 1_000;
/** Reported load that never ends is considered prefilled by then. */
const REPORTED_LOAD_MAX_MS = 1_000;
const FORGET_AFTER_MS = 30_000;
const SWEEP_INTERVAL_MS = 1_000;
/**
 * Bounds the memory of an owner, far above what an upstream can prefill in the time that requests can wait.
 */
const WAITING_MAX = 256;
/**
 * Speed is learned only from turns during which nothing else was prefilled there, so that the measured time is their
 * own.
 */
const LEARNING_SHARE = 0.1;
const SAMPLE_RANGE = 3;
const MIN_CORRECTION = 0.2;
/** From sending to the first event without any prefill: about two decoding steps. */
const FIRST_EVENT_MS = 16;

type QueueEntry = {
  key: string;
  baselineMs: number;
  priority: number;
  latestStartMs: number;
  /** Before that, a prompt longer than the bound takes no part in the queue. */
  fromMs: number;
  keptUntilMs: number;
  isOvertaken: boolean;
  mustStart: boolean;
};

type Upstream = prefillLoad.PrefillState & {
  waiting: Map<string, QueueEntry>;
  lastRequestedMs: number;
};

const REPORTED_LOAD_KEY = 'reported';

function keyOf({ gatewayId, turnId }: { gatewayId: string; turnId: number }): string {
  return `${gatewayId} ${turnId}`;
}

function baselineMsOf({ promptTokens, msPerToken }: TurnRequest): number {
  const baselineMs = promptTokens * msPerToken;
  return Number.isFinite(baselineMs) ? Math.max(0, baselineMs) : 0;
}

function dropExpired(upstream: Upstream, nowMs: number): void {
  for (const [key, turn] of upstream.turns) {
    if (turn.expiresMs <= nowMs) upstream.turns.delete(key);
  }
  for (const [key, place] of upstream.waiting) {
    if (place.keptUntilMs <= nowMs) upstream.waiting.delete(key);
  }
}

/**
 * More urgent requests go first, then those with the earlier latest start. One that was overtaken goes first shortly
 * before its latest start.
 */
function isBefore(left: QueueEntry, right: QueueEntry, boundMs: number, nowMs: number): boolean {
  const isDue = (entry: QueueEntry) => entry.isOvertaken && entry.latestStartMs - nowMs <= boundMs;
  if (isDue(left) !== isDue(right)) return isDue(left);
  if (!isDue(left) && left.priority !== right.priority) return left.priority < right.priority;
  if (left.latestStartMs !== right.latestStartMs) return left.latestStartMs < right.latestStartMs;
  return left.key < right.key;
}

export function createPrefillTurns(deps: PrefillTurnsDeps): PrefillTurns {
  const upstreams = new Map<string, Upstream>();
  let sweptMs = -Infinity;

  function speedFactorOf(upstreamId: string, nowMs: number): number {
    const { latencyRatio: slowness, transientFactor: momentFactor } = deps.speed(upstreamId, nowMs);
    return slowness * momentFactor;
  }

  function sweep(nowMs: number): void {
    if (nowMs - sweptMs < SWEEP_INTERVAL_MS) return;
    sweptMs = nowMs;
    for (const [id, { lastRequestedMs }] of upstreams) {
      if (nowMs - lastRequestedMs > FORGET_AFTER_MS) upstreams.delete(id);
    }
  }

  /**
   * An owner that has just become one does not know which turns are under way, so it starts from the reported loads.
   */
  function addReportedLoad(
    upstream: Upstream,
    request: TurnRequest,
    speedFactor: number,
    nowMs: number,
  ) {
    let knownMs = 0;
    for (const { baselineMs } of upstream.turns.values()) knownMs += baselineMs;
    const reportedMs = deps.pendingTokens(request.upstreamId, nowMs) * request.msPerToken - knownMs;
    if (!(reportedMs > 0)) return;
    const lastsMs = Math.min(REPORTED_LOAD_MAX_MS, reportedMs * upstream.correction * speedFactor);
    upstream.turns.set(REPORTED_LOAD_KEY, {
      baselineMs: reportedMs,
      givenMs: nowMs,
      expiresMs: nowMs + lastsMs,
      isAlone: false,
    });
  }

  function upstreamOf(request: TurnRequest, speedFactor: number, nowMs: number): Upstream {
    const { upstreamId } = request;
    let upstream = upstreams.get(upstreamId);
    if (upstream === undefined) {
      upstream = {
        turns: new Map(),
        waiting: new Map(),
        completed: [],
        objectives: new Map(),
        correction: 1,
        lastRequestedMs: -Infinity,
      };
      upstreams.set(upstreamId, upstream);
    }
    dropExpired(upstream, nowMs);
    if (nowMs - upstream.lastRequestedMs > IDLE_MS)
      addReportedLoad(upstream, request, speedFactor, nowMs);
    upstream.lastRequestedMs = nowMs;
    return upstream;
  }

  function grant(
    upstream: Upstream,
    request: TurnRequest,
    load: prefillLoad.Load,
    nowMs: number,
  ): TurnReply {
    const baselineMs = baselineMsOf(request);
    const ownMs = baselineMs * load.factor;
    const lastsMs = (load.unreadMs + ownMs) * EXPIRY_FACTOR + EXPIRY_MARGIN_MS;
    const isAlone = upstream.turns.size === 0;
    for (const turn of upstream.turns.values()) turn.isAlone = false;
    upstream.turns.set(keyOf(request), {
      baselineMs,
      givenMs: nowMs,
      expiresMs: nowMs + Math.min(EXPIRY_MAX_MS, lastsMs),
      isAlone,
    });
    upstream.waiting.delete(keyOf(request));
    if (request.pauseObjectiveMs !== null) upstream.objectives.set(request.pauseObjectiveMs, nowMs);
    for (const entry of upstream.waiting.values()) {
      if (entry.priority > request.priority) entry.isOvertaken = true;
    }
    return { kind: 'given' };
  }

  function entryOf(
    upstream: Upstream,
    request: TurnRequest,
    isLong: boolean,
    nowMs: number,
  ): QueueEntry {
    const known = upstream.waiting.get(keyOf(request));
    const canWaitMs = Math.max(0, request.canWaitMs);
    if (known !== undefined) {
      // The requester knows its remaining time better, because its messages take time.
      known.latestStartMs = Math.min(known.latestStartMs, nowMs + canWaitMs);
      known.mustStart = request.mustStart;
      return known;
    }
    const baselineMs = baselineMsOf(request);
    return {
      key: keyOf(request),
      baselineMs,
      priority: request.priority,
      latestStartMs: nowMs + canWaitMs,
      fromMs: isLong ? nowMs + Math.min(canWaitMs, LONG_PROMPT_WAIT_MS) : nowMs,
      keptUntilMs: -Infinity,
      isOvertaken: false,
      mustStart: request.mustStart,
    };
  }

  /** Prefill time of the entries that go before this one, each limited to the bound. */
  function aheadMs(
    upstream: Upstream,
    entry: QueueEntry,
    load: prefillLoad.Load,
    boundMs: number,
    nowMs: number,
  ) {
    let sumMs = 0;
    for (const other of upstream.waiting.values()) {
      if (other.key === entry.key || other.fromMs > nowMs) continue;
      // The requester is late or gone. The engine is not left idle for it.
      if (nowMs > other.keptUntilMs - ENTRY_KEPT_MS + REQUESTER_LATE_MS) continue;
      if (!isBefore(other, entry, boundMs, nowMs)) continue;
      sumMs += Math.min(boundMs, other.baselineMs * load.factor);
    }
    return sumMs;
  }

  /**
   * Prompts under way are prefilled first. Each bound's worth of prefill is followed by one event interval.
   */
  function estimateWaitMs(
    upstream: Upstream,
    load: prefillLoad.Load,
    needMs: number,
    boundMs: number,
    nowMs: number,
  ): number {
    const { unreadMs, intervalMs, elapsedMs } = load;
    const leftMs = unreadMs - elapsedMs;
    const lastMs = upstream.completed.at(-1)?.atMs ?? -Infinity;
    const decodedMs = unreadMs > 0 ? 0 : Math.min(intervalMs, nowMs - lastMs);
    const fullRounds = Math.max(0, Math.ceil(needMs / boundMs) - 1);
    return leftMs + intervalMs - decodedMs + fullRounds * (boundMs + intervalMs);
  }

  function mayStart(
    entry: QueueEntry,
    load: prefillLoad.Load,
    ahead: number,
    boundMs: number,
    nowMs: number,
  ) {
    const ownMs = entry.baselineMs * load.factor;
    if (ownMs <= boundMs) return load.unreadMs + load.recentMs + ahead + ownMs <= boundMs;
    const isFree = load.unreadMs + load.recentMs === 0 && ahead === 0;
    return isFree && nowMs >= entry.fromMs;
  }

  /**
   * At its latest start a request starts beyond the bound if it must start or was overtaken. The pause is then longer
   * by one prompt at most.
   */
  function startsAnyway(
    entry: QueueEntry,
    load: prefillLoad.Load,
    boundMs: number,
    nowMs: number,
  ): boolean {
    if (nowMs < entry.latestStartMs) return false;
    return entry.mustStart || (entry.isOvertaken && load.unreadMs + load.recentMs <= boundMs);
  }

  function enqueue(
    upstream: Upstream,
    entry: QueueEntry,
    request: TurnRequest,
    estimateMs: number,
    nowMs: number,
  ): TurnReply {
    const isQueued = upstream.waiting.has(entry.key);
    const marginMs = isQueued ? ESTIMATE_MARGIN_MS : 0;
    const leftMs = entry.latestStartMs - nowMs;
    const remainsQueued = entry.mustStart || (isQueued && entry.isOvertaken);
    if (leftMs <= 0 || (!remainsQueued && estimateMs > leftMs + marginMs)) {
      upstream.waiting.delete(entry.key);
      return { kind: 'full', retryAfterMs: estimateMs };
    }
    const waitMs = clamps.clamp(Math.min(estimateMs, leftMs), MIN_WAIT_MS, MAX_WAIT_MS);
    entry.keptUntilMs = nowMs + waitMs + ENTRY_KEPT_MS;
    upstream.waiting.set(entry.key, entry);
    return { kind: 'wait', waitMs };
  }

  function take(request: TurnRequest, nowMs: number): TurnReply {
    sweep(nowMs);
    const speedFactor = speedFactorOf(request.upstreamId, nowMs);
    const upstream = upstreamOf(request, speedFactor, nowMs);
    // The reply was lost, or the same request arrived twice.
    if (upstream.turns.has(keyOf(request))) return { kind: 'given' };
    const load = prefillLoad.loadOf(upstream, speedFactor, nowMs);
    const boundMs = prefillLoad.boundOf(upstream, request.pauseObjectiveMs, load.intervalMs, nowMs);
    if (boundMs === Infinity) return grant(upstream, request, load, nowMs);
    const ownMs = baselineMsOf(request) * load.factor;
    const hasStreams = upstream.objectives.size > 0;
    const isLong = ownMs > boundMs;
    if (isLong && !hasStreams && upstream.turns.size === 0) {
      return grant(upstream, request, load, nowMs);
    }
    const entry = entryOf(upstream, request, isLong, nowMs);
    const ahead = aheadMs(upstream, entry, load, boundMs, nowMs);
    if (mayStart(entry, load, ahead, boundMs, nowMs) || startsAnyway(entry, load, boundMs, nowMs)) {
      return grant(upstream, request, load, nowMs);
    }
    const needMs = ahead + Math.min(boundMs, ownMs);
    const estimateMs = Math.max(
      entry.fromMs - nowMs,
      estimateWaitMs(upstream, load, needMs, boundMs, nowMs),
    );
    if (upstream.waiting.size >= WAITING_MAX && !upstream.waiting.has(entry.key)) {
      if (request.mustStart) return grant(upstream, request, load, nowMs);
      return { kind: 'full', retryAfterMs: estimateMs };
    }
    return enqueue(upstream, entry, request, estimateMs, nowMs);
  }

  function learn(
    upstream: Upstream,
    turn: prefillLoad.Turn,
    ended: EndedTurn,
    speedFactor: number,
  ): void {
    if (
      !turn.isAlone ||
      turn.baselineMs < prefillLoad.MIN_SAMPLE_MS ||
      !Number.isFinite(ended.tookMs)
    )
      return;
    const factor = upstream.correction * speedFactor;
    const prefillMs = Math.max(0, ended.tookMs - FIRST_EVENT_MS * factor);
    const sample = prefillMs / (turn.baselineMs * speedFactor);
    const { correction } = upstream;
    const bounded = clamps.clamp(sample, correction / SAMPLE_RANGE, correction * SAMPLE_RANGE);
    upstream.correction = clamps.clamp(
      correction * (bounded / correction) ** LEARNING_SHARE,
      MIN_CORRECTION,
      prefillLoad.MAX_FACTOR,
    );
  }

  function end(ended: EndedTurn, nowMs: number): void {
    const upstream = upstreams.get(ended.upstreamId);
    if (upstream === undefined) return;
    const key = keyOf(ended);
    upstream.waiting.delete(key);
    const turn = upstream.turns.get(key);
    if (turn === undefined) return;
    upstream.turns.delete(key);
    if (!ended.isPrefilled) return;
    const speedFactor = speedFactorOf(ended.upstreamId, nowMs);
    const factor = upstream.correction * speedFactor;
    upstream.completed.push({ atMs: nowMs, tookMs: turn.baselineMs * factor });
    learn(upstream, turn, ended, speedFactor);
  }

  return {
    take,
    end,
    counts: () => {
      let givenCount = 0;
      let waitingCount = 0;
      for (const { turns, waiting } of upstreams.values()) {
        givenCount += turns.size;
        waitingCount += waiting.size;
      }
      return { givenCount, waitingCount };
    },
  };
}
