/**
 * Passive health of each upstream, from the outcomes of this gateway's own attempts. It detects failing upstreams long
 * before the platform's list reports them: dark ones that answer nothing, grey ones that fail a part of their requests
 * while their health check passes, and slow ones. Without it every request would have to find that out anew, and an
 * upstream that fails fast would look idle and attract all traffic.
 */
export type AttemptOutcome =
  | { kind: 'good'; firstChunkMs: number; predictedMs: number }
  /** The upstream was too full to accept the request. */
  | { kind: 'rejected' }
  /** The upstream answered that the request failed. */
  | { kind: 'failed' }
  /** No connection, a broken connection, no answer, or bytes that are not a valid answer. */
  | { kind: 'broken' };

export type UpstreamHealth = {
  /** Until then it gets no requests while other upstreams are usable. */
  backoffUntilMs: number;
  /** Smoothed share of attempts that failed or broke, from 0 to 1. */
  failureRate: number;
  /** Smoothed time to the first chunk; null before the first answer. */
  firstChunkMs: number | null;
  /** Smoothed delay of the first chunk beyond its prediction. */
  excessLatencyMs: number;
  /** Broken attempts since the last good or failed one. */
  consecutiveBreaks: number;
  /** When an attempt there last ended. */
  lastOutcomeMs: number;
};

export type HealthChange = { kind: 'avoided' | 'trusted'; health: UpstreamHealth };

export type UpstreamHealthTracker = {
  /** Records an outcome. Returns a change if it ejects the upstream, after breaks in a row, or restores it. */
  recordOutcome: (
    upstreamId: string,
    outcome: AttemptOutcome,
    nowMs: number,
  ) => HealthChange | null;
  health: (upstreamId: string, nowMs: number) => UpstreamHealth;
  ejectedIds: () => readonly string[];
  /** Removes upstreams that are no longer listed. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

/** About ten attempts make up most of a smoothed figure: a second's worth at normal load. */
const SMOOTHING = 0.15;
/**
 * Failures and delays decay, since an upstream without attempts cannot show that it has recovered. Without decay a
 * single late answer kept an idle upstream unused beside one with a queue of a second.
 */
const DECAY_MS = 1_500;
/** The delay of a single answer is capped at this, since a longer one predicts no more about the next answer. */
const MAX_EXCESS_MS = 400;
/** Broken attempts in a row that eject an upstream; a single one may be chance. */
const EJECTION_BREAKS = 2;
/** Duration of the first ejection; it doubles while probes break as well. */
const FIRST_EJECTION_MS = 200;
const MAX_EJECTION_MS = 3_000;
/** A full upstream has room again after about one service time. */
const REJECTION_BACKOFF_MS = 60;

const INITIAL_HEALTH: UpstreamHealth = {
  backoffUntilMs: 0,
  failureRate: 0,
  firstChunkMs: null,
  excessLatencyMs: 0,
  consecutiveBreaks: 0,
  lastOutcomeMs: 0,
};

function smooth(before: number, sample: number): number {
  return before + SMOOTHING * (sample - before);
}

function decayed(health: UpstreamHealth, nowMs: number): UpstreamHealth {
  const share = Math.exp(-Math.max(0, nowMs - health.lastOutcomeMs) / DECAY_MS);
  return {
    ...health,
    excessLatencyMs: health.excessLatencyMs * share,
    failureRate: health.failureRate * share,
  };
}

function afterOutcome(
  health: UpstreamHealth,
  outcome: AttemptOutcome,
  nowMs: number,
): UpstreamHealth {
  switch (outcome.kind) {
    case 'good':
      return {
        backoffUntilMs: 0,
        failureRate: smooth(health.failureRate, 0),
        firstChunkMs:
          health.firstChunkMs === null
            ? outcome.firstChunkMs
            : smooth(health.firstChunkMs, outcome.firstChunkMs),
        excessLatencyMs: smooth(
          health.excessLatencyMs,
          Math.min(MAX_EXCESS_MS, Math.max(0, outcome.firstChunkMs - outcome.predictedMs)),
        ),
        consecutiveBreaks: 0,
        lastOutcomeMs: nowMs,
      };
    case 'rejected':
      return {
        ...health,
        backoffUntilMs: Math.max(health.backoffUntilMs, nowMs + REJECTION_BACKOFF_MS),
      };
    case 'failed':
      return { ...health, failureRate: smooth(health.failureRate, 1), consecutiveBreaks: 0 };
    case 'broken': {
      const ejectionMs = Math.min(
        MAX_EJECTION_MS,
        FIRST_EJECTION_MS * 2 ** health.consecutiveBreaks,
      );
      return {
        ...health,
        failureRate: smooth(health.failureRate, 1),
        backoffUntilMs: isEjected({ consecutiveBreaks: health.consecutiveBreaks + 1 })
          ? nowMs + ejectionMs
          : health.backoffUntilMs,
        consecutiveBreaks: health.consecutiveBreaks + 1,
      };
    }
  }
}

/** An upstream is ejected from its second broken attempt in a row until it answers again, even with a failure. */
export function isEjected(health: Pick<UpstreamHealth, 'consecutiveBreaks'>): boolean {
  return health.consecutiveBreaks >= EJECTION_BREAKS;
}

function changeBetween(before: UpstreamHealth, after: UpstreamHealth): HealthChange | null {
  if (isEjected(before) === isEjected(after)) return null;
  return { kind: isEjected(after) ? 'avoided' : 'trusted', health: after };
}

export function createUpstreamHealthTracker(): UpstreamHealthTracker {
  const healthById = new Map<string, UpstreamHealth>();
  return {
    recordOutcome: (upstreamId, outcome, nowMs) => {
      const before = decayed(healthById.get(upstreamId) ?? INITIAL_HEALTH, nowMs);
      const after = { ...afterOutcome(before, outcome, nowMs), lastOutcomeMs: nowMs };
      healthById.set(upstreamId, after);
      return changeBetween(before, after);
    },
    health: (upstreamId, nowMs) => decayed(healthById.get(upstreamId) ?? INITIAL_HEALTH, nowMs),
    ejectedIds: () => [...healthById].filter(([, health]) => isEjected(health)).map(([id]) => id),
    retain: (upstreamIds) => {
      for (const id of [...healthById.keys()]) if (!upstreamIds.has(id)) healthById.delete(id);
    },
  };
}
