/**
 * What gateways tell each other of the speed of upstreams, by change and through the holder of the lease. Load: a gateway
 * of a large fleet has an answer of each upstream every few seconds; alone it would learn for minutes what all together
 * know within seconds. What is told is bounded for each message: what does not fit goes with the next.
 */
import type * as upstreamStates from '../types/upstream-states.js';

export type ToldSpeed = {
  upstreamId: string;
  /** Null where it has not changed. */
  learnt: upstreamStates.LearntSlowness | null;
  /** Null where nothing recent is known, or it has been told. */
  moment: { factor: number; ageMs: number } | null;
};

/** Which of a holder's changes a gateway has. */
export type Known = { incarnation: number; version: number };

export type SpeedNews = Known & { speeds: readonly ToldSpeed[] };

/** In one message; at no more than 36 bytes each and four messages a second 1.8 KB a second. */
export const SPEEDS_MAX = 12;
/** Smaller changes decide the same nearly always. */
const CHANGE_LOG = 0.1;
const CHANGE_COUNT = 2;
/** Those that have gone have nothing to say any more. */
const SOURCE_VALID_MS = 10_000;
const SWEEP_MS = 1_000;
/** An older moment has passed for the most part when it arrives. */
const MOMENT_AGE_MAX_MS = 200;
/** From here on the holder is asked so seldom that what it tells of moments is over. */
const MOMENT_PERIOD_MAX_MS = 300;

type Learnt = upstreamStates.LearntSlowness;

export type SharedStates = Pick<
  upstreamStates.UpstreamStates,
  'learnt' | 'heard' | 'confirmed' | 'moments' | 'heardMoment'
>;

function hasChanged(before: Learnt | undefined, after: Learnt): boolean {
  if (before === undefined) return true;
  const countRatio = (after.answerCount + 1) / (before.answerCount + 1);
  const isCountChanged = countRatio > CHANGE_COUNT || countRatio < 1 / CHANGE_COUNT;
  return isCountChanged || Math.abs(after.slownessLog - before.slownessLog) > CHANGE_LOG;
}

function isUsefulMoment(ageMs: number, periodMs: number): boolean {
  return periodMs <= MOMENT_PERIOD_MAX_MS && ageMs <= MOMENT_AGE_MAX_MS;
}

function merge(
  learnt: ReadonlyMap<string, Learnt>,
  moments: ReadonlyMap<string, ToldSpeed['moment']>,
) {
  return [...new Set([...learnt.keys(), ...moments.keys()])]
    .slice(0, SPEEDS_MAX)
    .map((upstreamId) => ({
      upstreamId,
      learnt: learnt.get(upstreamId) ?? null,
      moment: moments.get(upstreamId) ?? null,
    }));
}

function takeMoments(states: SharedStates, speeds: readonly ToldSpeed[], nowMs: number): void {
  speeds.forEach(({ upstreamId, moment }) => {
    if (moment !== null) states.heardMoment(upstreamId, moment.factor, nowMs - moment.ageMs, nowMs);
  });
}

export type SpeedQuestion = { speeds: readonly ToldSpeed[]; known: Known };

export type SpeedTeller = {
  /** For a question to the holder, which is asked every `periodMs`. */
  question: (periodMs: number, nowMs: number) => SpeedQuestion;
  /** It has answered the latest question. */
  answered: (news: SpeedNews, nowMs: number) => void;
};

/** Tells the holder what has changed here, and takes what has changed elsewhere. */
export function createSpeedTeller(states: SharedStates): SpeedTeller {
  let known: Known = { incarnation: 0, version: 0 };
  const toldLearnt = new Map<string, Learnt>();
  const toldMomentMs = new Map<string, number>();
  let asked: { speeds: readonly ToldSpeed[]; atMs: number } = { speeds: [], atMs: -Infinity };

  function changedLearnt(nowMs: number): Map<string, Learnt> {
    const current = states.learnt(nowMs);
    const changed = current.filter((entry) => hasChanged(toldLearnt.get(entry.upstreamId), entry));
    const currentIds = new Set(current.map(({ upstreamId }) => upstreamId));
    for (const id of [...toldLearnt.keys()]) if (!currentIds.has(id)) toldLearnt.delete(id);
    return new Map(changed.map(({ upstreamId, ...learnt }) => [upstreamId, learnt]));
  }

  function newMoments(periodMs: number, nowMs: number): Map<string, ToldSpeed['moment']> {
    const fresh = states
      .moments(nowMs)
      .filter(
        ({ upstreamId, atMs }) =>
          isUsefulMoment(nowMs - atMs, periodMs) &&
          atMs > (toldMomentMs.get(upstreamId) ?? -Infinity),
      );
    return new Map(
      fresh.map(({ upstreamId, factor, atMs }) => [upstreamId, { factor, ageMs: nowMs - atMs }]),
    );
  }

  /** What the others have shown: the sum of all less what this gateway had told. */
  function withoutOwn(upstreamId: string, sum: Learnt): Learnt {
    const own = toldLearnt.get(upstreamId) ?? { slownessLog: 0, answerCount: 0 };
    const answerCount = Math.max(0, sum.answerCount - own.answerCount);
    if (answerCount < 1) return { slownessLog: 0, answerCount: 0 };
    const total = sum.slownessLog * sum.answerCount - own.slownessLog * own.answerCount;
    return { slownessLog: total / answerCount, answerCount };
  }

  return {
    question: (periodMs, nowMs) => {
      const speeds = merge(changedLearnt(nowMs), newMoments(periodMs, nowMs));
      asked = { speeds, atMs: nowMs };
      return { speeds, known };
    },
    answered: (news, nowMs) => {
      // A new holder has heard nothing yet, this question apart.
      if (news.incarnation !== known.incarnation) toldLearnt.clear();
      asked.speeds.forEach(({ upstreamId, learnt, moment }) => {
        if (learnt !== null) toldLearnt.set(upstreamId, learnt);
        if (moment !== null) toldMomentMs.set(upstreamId, asked.atMs - moment.ageMs);
      });
      asked = { speeds: [], atMs: nowMs };
      known = { incarnation: news.incarnation, version: news.version };
      news.speeds.forEach(({ upstreamId, learnt }) => {
        if (learnt !== null) states.heard(upstreamId, withoutOwn(upstreamId, learnt), nowMs);
      });
      states.confirmed(nowMs);
      takeMoments(states, news.speeds, nowMs);
    },
  };
}

export type SpeedPool = {
  /** From a gateway, this one among them. */
  heard: (gatewayId: string, speeds: readonly ToldSpeed[], nowMs: number) => void;
  /** What the gateway, which asks every `periodMs`, does not know yet. */
  newsFor: (gatewayId: string, known: Known, periodMs: number, nowMs: number) => SpeedNews;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

type Sum = { told: Learnt; version: number };

/** At the holder: sums what the gateways have told. */
export function createSpeedPool(states: SharedStates, incarnation: number): SpeedPool {
  const byUpstream = new Map<string, Map<string, Learnt>>();
  /** In the order of their versions. */
  const sums = new Map<string, Sum>();
  const heardMs = new Map<string, number>();
  const askedMs = new Map<string, number>();
  let version = 0;
  let sweptMs = -Infinity;

  function sumUp(upstreamId: string): void {
    let total = 0;
    let answerCount = 0;
    byUpstream.get(upstreamId)?.forEach((learnt) => {
      total += learnt.slownessLog * learnt.answerCount;
      answerCount += learnt.answerCount;
    });
    const sum = { slownessLog: answerCount === 0 ? 0 : total / answerCount, answerCount };
    const before = sums.get(upstreamId);
    if (before !== undefined && !hasChanged(before.told, sum)) return;
    version += 1;
    sums.delete(upstreamId);
    sums.set(upstreamId, { told: sum, version });
  }

  function sweep(nowMs: number): void {
    if (nowMs - sweptMs < SWEEP_MS) return;
    sweptMs = nowMs;
    const gone = [...heardMs].filter(([, atMs]) => nowMs - atMs > SOURCE_VALID_MS);
    gone.forEach(([gatewayId]) => {
      heardMs.delete(gatewayId);
      askedMs.delete(gatewayId);
      byUpstream.forEach((reports, upstreamId) => {
        if (reports.delete(gatewayId)) sumUp(upstreamId);
      });
    });
  }

  function changedSums(known: Known): Map<string, Learnt> {
    const knownVersion = known.incarnation === incarnation ? known.version : 0;
    if (knownVersion === version) return new Map();
    const changed = [...sums].filter(([, sum]) => sum.version > knownVersion).slice(0, SPEEDS_MAX);
    return new Map(changed.map(([upstreamId, { told }]) => [upstreamId, told]));
  }

  return {
    heard: (gatewayId, speeds, nowMs) => {
      heardMs.set(gatewayId, nowMs);
      sweep(nowMs);
      speeds.forEach(({ upstreamId, learnt }) => {
        if (learnt === null) return;
        const reports = byUpstream.get(upstreamId) ?? new Map<string, Learnt>();
        byUpstream.set(upstreamId, reports);
        reports.set(gatewayId, learnt);
        sumUp(upstreamId);
      });
      takeMoments(states, speeds, nowMs);
    },
    newsFor: (gatewayId, known, periodMs, nowMs) => {
      const sinceMs = askedMs.get(gatewayId) ?? nowMs;
      askedMs.set(gatewayId, nowMs);
      const learnt = changedSums(known);
      const moments = new Map(
        states
          .moments(nowMs)
          .filter(
            ({ heardAtMs, atMs }) => heardAtMs >= sinceMs && isUsefulMoment(nowMs - atMs, periodMs),
          )
          .map(({ upstreamId, factor, atMs }) => [upstreamId, { factor, ageMs: nowMs - atMs }]),
      );
      const speeds = merge(learnt, moments);
      const lastId = [...learnt.keys()].at(-1);
      const told = lastId === undefined ? version : (sums.get(lastId)?.version ?? version);
      return { incarnation, version: told, speeds };
    },
    retain: (upstreamIds) => {
      for (const id of [...byUpstream.keys()]) if (!upstreamIds.has(id)) byUpstream.delete(id);
      for (const id of [...sums.keys()]) if (!upstreamIds.has(id)) sums.delete(id);
    },
  };
}
