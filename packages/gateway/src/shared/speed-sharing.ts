/**
 * Exchanges of learned latency ratios and current slowdowns between gateways: only changes are sent, and through the
 * lease holder. A gateway of a large fleet receives an answer of each upstream only every few seconds; alone it would
 * need minutes to learn what all gateways together know within seconds. The size of each message is bounded: what does
 * not fit is sent with the next one.
 */
import type * as upstreamStates from '../types/upstream-states.js';

export type ReportedSpeed = {
  upstreamId: string;
  /** Null where it has not changed. */
  learned: upstreamStates.LearnedLatencyRatio | null;
  /** Null where nothing recent is known, or it has been reported already. */
  slowdown: { factor: number; ageMs: number } | null;
};

/** The version of the holder's sums up to which a gateway has received the changes. */
export type KnownVersion = { incarnation: number; version: number };

export type SpeedUpdates = KnownVersion & { speeds: readonly ReportedSpeed[] };

/** Upper limit for one message; at no more than 36 bytes each and four messages a second this is 1.8 KB a second. */
export const MAX_SPEEDS_PER_MESSAGE = 12;
/** Smaller changes nearly always lead to the same choices. */
const LOG_CHANGE = 0.1;
const MIN_COUNT_RATIO = 2;
/** Gateways that have sent nothing for this long no longer count. */
const REPORTER_VALID_MS = 10_000;
const SWEEP_MS = 1_000;
/** A slowdown older than this is mostly over when the report of it arrives. */
const MAX_SLOWDOWN_AGE_MS = 200;
/** If the holder is contacted less often than this, the slowdowns that it reports are over. */
const MAX_SLOWDOWN_PERIOD_MS = 300;

type Learned = upstreamStates.LearnedLatencyRatio;

export type SharedStates = Pick<
  upstreamStates.UpstreamStates,
  | 'localLatencyRatios'
  | 'applyRemoteLatencyRatio'
  | 'confirmRemoteLatencyRatios'
  | 'recentSlowdowns'
  | 'applyRemoteSlowdown'
>;

function hasChanged(before: Learned | undefined, after: Learned): boolean {
  if (before === undefined) return true;
  const countRatio = (after.answerCount + 1) / (before.answerCount + 1);
  const isCountChanged = countRatio > MIN_COUNT_RATIO || countRatio < 1 / MIN_COUNT_RATIO;
  return isCountChanged || Math.abs(after.latencyRatioLog - before.latencyRatioLog) > LOG_CHANGE;
}

function isSlowdownCurrent(ageMs: number, periodMs: number): boolean {
  return periodMs <= MAX_SLOWDOWN_PERIOD_MS && ageMs <= MAX_SLOWDOWN_AGE_MS;
}

function merge(
  learned: ReadonlyMap<string, Learned>,
  slowdowns: ReadonlyMap<string, ReportedSpeed['slowdown']>,
) {
  return [...new Set([...learned.keys(), ...slowdowns.keys()])]
    .slice(0, MAX_SPEEDS_PER_MESSAGE)
    .map((upstreamId) => ({
      upstreamId,
      learned: learned.get(upstreamId) ?? null,
      slowdown: slowdowns.get(upstreamId) ?? null,
    }));
}

function applySlowdowns(
  states: SharedStates,
  speeds: readonly ReportedSpeed[],
  nowMs: number,
): void {
  speeds.forEach(({ upstreamId, slowdown: moment }) => {
    if (moment !== null)
      states.applyRemoteSlowdown(upstreamId, moment.factor, nowMs - moment.ageMs, nowMs);
  });
}

export type SpeedRequest = { speeds: readonly ReportedSpeed[]; known: KnownVersion };

export type SpeedReporter = {
  /** The content of the next request to the holder, which receives one every `periodMs`. */
  createRequest: (periodMs: number, nowMs: number) => SpeedRequest;
  /** Applies the holder's reply to the latest request. */
  applyReply: (updates: SpeedUpdates, nowMs: number) => void;
};

/** Reports local changes to the holder and applies the changes of other gateways. */
export function createSpeedReporter(states: SharedStates): SpeedReporter {
  let known: KnownVersion = { incarnation: 0, version: 0 };
  const reportedRatios = new Map<string, Learned>();
  const reportedSlowdownMs = new Map<string, number>();
  let unacknowledged: { speeds: readonly ReportedSpeed[]; atMs: number } = {
    speeds: [],
    atMs: -Infinity,
  };

  function changedRatios(nowMs: number): Map<string, Learned> {
    const current = states.localLatencyRatios(nowMs);
    const changed = current.filter((entry) =>
      hasChanged(reportedRatios.get(entry.upstreamId), entry),
    );
    const currentIds = new Set(current.map(({ upstreamId }) => upstreamId));
    for (const id of [...reportedRatios.keys()]) if (!currentIds.has(id)) reportedRatios.delete(id);
    return new Map(changed.map(({ upstreamId, ...learned }) => [upstreamId, learned]));
  }

  function newSlowdowns(periodMs: number, nowMs: number): Map<string, ReportedSpeed['slowdown']> {
    const unreported = states
      .recentSlowdowns(nowMs)
      .filter(
        ({ upstreamId, atMs }) =>
          isSlowdownCurrent(nowMs - atMs, periodMs) &&
          atMs > (reportedSlowdownMs.get(upstreamId) ?? -Infinity),
      );
    return new Map(
      unreported.map(({ upstreamId, factor, atMs }) => [
        upstreamId,
        { factor, ageMs: nowMs - atMs },
      ]),
    );
  }

  /** The ratio at the other gateways: the sum over all minus what this gateway has reported. */
  function withoutLocal(upstreamId: string, sum: Learned): Learned {
    const local = reportedRatios.get(upstreamId) ?? { latencyRatioLog: 0, answerCount: 0 };
    const answerCount = Math.max(0, sum.answerCount - local.answerCount);
    if (answerCount < 1) return { latencyRatioLog: 0, answerCount: 0 };
    const total = sum.latencyRatioLog * sum.answerCount - local.latencyRatioLog * local.answerCount;
    return { latencyRatioLog: total / answerCount, answerCount };
  }

  return {
    createRequest: (periodMs, nowMs) => {
      const speeds = merge(changedRatios(nowMs), newSlowdowns(periodMs, nowMs));
      unacknowledged = { speeds, atMs: nowMs };
      return { speeds, known };
    },
    applyReply: (updates, nowMs) => {
      // A new holder has received nothing yet except this request.
      if (updates.incarnation !== known.incarnation) reportedRatios.clear();
      unacknowledged.speeds.forEach(({ upstreamId, learned: learnt, slowdown: moment }) => {
        if (learnt !== null) reportedRatios.set(upstreamId, learnt);
        if (moment !== null) reportedSlowdownMs.set(upstreamId, unacknowledged.atMs - moment.ageMs);
      });
      unacknowledged = { speeds: [], atMs: nowMs };
      known = { incarnation: updates.incarnation, version: updates.version };
      updates.speeds.forEach(({ upstreamId, learned: learnt }) => {
        if (learnt !== null)
          states.applyRemoteLatencyRatio(upstreamId, withoutLocal(upstreamId, learnt), nowMs);
      });
      states.confirmRemoteLatencyRatios(nowMs);
      applySlowdowns(states, updates.speeds, nowMs);
    },
  };
}

export type SpeedAggregator = {
  /** Applies the report of a gateway, which may be this one. */
  applySpeeds: (gatewayId: string, speeds: readonly ReportedSpeed[], nowMs: number) => void;
  /** The updates that the gateway, which sends a request every `periodMs`, does not have yet. */
  updatesFor: (
    gatewayId: string,
    known: KnownVersion,
    periodMs: number,
    nowMs: number,
  ) => SpeedUpdates;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

type VersionedSum = { sum: Learned; version: number };

/** Runs at the holder: sums up what the gateways have reported. */
export function createSpeedAggregator(states: SharedStates, incarnation: number): SpeedAggregator {
  const byUpstream = new Map<string, Map<string, Learned>>();
  /** In the order of their versions. */
  const sums = new Map<string, VersionedSum>();
  const lastReceivedMs = new Map<string, number>();
  const lastRequestedMs = new Map<string, number>();
  let version = 0;
  let sweptMs = -Infinity;

  function updateSum(upstreamId: string): void {
    let total = 0;
    let answerCount = 0;
    byUpstream.get(upstreamId)?.forEach((learned) => {
      total += learned.latencyRatioLog * learned.answerCount;
      answerCount += learned.answerCount;
    });
    const sum = { latencyRatioLog: answerCount === 0 ? 0 : total / answerCount, answerCount };
    const before = sums.get(upstreamId);
    if (before !== undefined && !hasChanged(before.sum, sum)) return;
    version += 1;
    sums.delete(upstreamId);
    sums.set(upstreamId, { sum, version });
  }

  function sweep(nowMs: number): void {
    if (nowMs - sweptMs < SWEEP_MS) return;
    sweptMs = nowMs;
    const expired = [...lastReceivedMs].filter(([, atMs]) => nowMs - atMs > REPORTER_VALID_MS);
    expired.forEach(([gatewayId]) => {
      lastReceivedMs.delete(gatewayId);
      lastRequestedMs.delete(gatewayId);
      byUpstream.forEach((reports, upstreamId) => {
        if (reports.delete(gatewayId)) updateSum(upstreamId);
      });
    });
  }

  function changedSums(known: KnownVersion): Map<string, Learned> {
    const knownVersion = known.incarnation === incarnation ? known.version : 0;
    if (knownVersion === version) return new Map();
    const changed = [...sums]
      .filter(([, sum]) => sum.version > knownVersion)
      .slice(0, MAX_SPEEDS_PER_MESSAGE);
    return new Map(changed.map(([upstreamId, { sum }]) => [upstreamId, sum]));
  }

  return {
    applySpeeds: (gatewayId, speeds, nowMs) => {
      lastReceivedMs.set(gatewayId, nowMs);
      sweep(nowMs);
      speeds.forEach(({ upstreamId, learned: learnt }) => {
        if (learnt === null) return;
        const reports = byUpstream.get(upstreamId) ?? new Map<string, Learned>();
        byUpstream.set(upstreamId, reports);
        reports.set(gatewayId, learnt);
        updateSum(upstreamId);
      });
      applySlowdowns(states, speeds, nowMs);
    },
    updatesFor: (gatewayId, known, periodMs, nowMs) => {
      const sinceMs = lastRequestedMs.get(gatewayId) ?? nowMs;
      lastRequestedMs.set(gatewayId, nowMs);
      const learned = changedSums(known);
      const slowdowns = new Map(
        states
          .recentSlowdowns(nowMs)
          .filter(
            ({ receivedAtMs, atMs }) =>
              receivedAtMs >= sinceMs && isSlowdownCurrent(nowMs - atMs, periodMs),
          )
          .map(({ upstreamId, factor, atMs }) => [upstreamId, { factor, ageMs: nowMs - atMs }]),
      );
      const speeds = merge(learned, slowdowns);
      const lastId = [...learned.keys()].at(-1);
      const sentVersion = lastId === undefined ? version : (sums.get(lastId)?.version ?? version);
      return { incarnation, version: sentVersion, speeds };
    },
    retain: (upstreamIds) => {
      for (const id of [...byUpstream.keys()]) if (!upstreamIds.has(id)) byUpstream.delete(id);
      for (const id of [...sums.keys()]) if (!upstreamIds.has(id)) sums.delete(id);
    },
  };
}
