/** What callers and payers saw in one run. */
import { types } from '@copperlever/decisions';

import type * as bounds from './bounds.js';
import type * as benchTypes from './types.js';
import type * as world from './world.js';

const FIRST_TOKEN_TARGET_MS = 680;

/** The figures of one run; all but the waits are counts or shares. */
export type Outcome = {
  /** Requests answered within their deadlines, for each accelerator and minute of arrivals. */
  attainmentPerAccelerator: number;
  attainment: number;
  attainmentOfBound: number;
  topClassAttainment: number;
  topClassOfBound: number;
  /** Served top-class requests whose first token came within 680 ms. */
  topClassFirstTokenShare: number;
  standardAttainment: number;
  batchAttainment: number;
  moves: number;
  refusals: number;
  /** Refused, but not at the instant of arrival. */
  refusedAfterWaiting: number;
  /** Admitted top-class requests that were not answered in time. */
  topClassAdmittedMissed: number;
  /** Of these, the late ones that waited while their upstream started lower-class work. */
  topClassOvertaken: number;
  /** Requests that were begun and answered too late, or lost with their upstream. */
  missed: number;
  worstWaitCriticalMs: number;
  worstWaitStandardMs: number;
  worstWaitBatchMs: number;
};

type Entry = { request: benchTypes.Request; verdict: world.Verdict | undefined };

function isAttained({ request, verdict }: Entry): boolean {
  return verdict?.kind === 'served' && verdict.doneAtMs <= request.deadlineMs;
}

function isRefused({ verdict }: Entry): boolean {
  return verdict?.kind === 'refused';
}

/** From arrival to the start, or to the end of waiting for those that never started. */
function waitMs({ request, verdict }: Entry): number {
  if (verdict === undefined) return request.deadlineMs - request.arrivedAtMs;
  switch (verdict.kind) {
    case 'served':
      return verdict.startedAtMs - request.arrivedAtMs;
    case 'refused':
    case 'abandoned':
      return verdict.atMs - request.arrivedAtMs;
  }
}

function worst(entries: readonly Entry[], priorityClass: types.PriorityClass): number {
  const longestMs = entries
    .filter(({ request }) => request.priorityClass === priorityClass)
    .reduce((longest, entry) => Math.max(longest, waitMs(entry)), 0);
  return Math.round(longestMs);
}

function share(part: number, whole: number): number {
  return whole === 0 ? 1 : Number((part / whole).toFixed(4));
}

function hadFirstTokenInTime(entry: Entry): boolean {
  const prefillMs = entry.request.promptTokens * 0.3;
  return waitMs(entry) + prefillMs <= FIRST_TOKEN_TARGET_MS;
}

/** Late top-class answers whose upstream started lower-class work while they waited. */
function countOvertaken(entries: readonly Entry[]): number {
  const starts = entries.flatMap(({ request, verdict }) =>
    verdict?.kind === 'served' && request.priorityClass !== 'critical' ? [verdict] : [],
  );
  return entries.filter((entry) => {
    const { request, verdict } = entry;
    if (request.priorityClass !== 'critical' || isAttained(entry)) return false;
    if (verdict?.kind !== 'served') return false;
    return starts.some(
      (other) =>
        other.upstreamId === verdict.upstreamId &&
        other.startedAtMs > request.arrivedAtMs &&
        other.startedAtMs < verdict.startedAtMs,
    );
  }).length;
}

export function measure(
  size: benchTypes.Size,
  load: benchTypes.Load,
  result: world.RunResult,
  bound: bounds.Bound,
): Outcome {
  const entries = load.requests.map((request) => ({
    request,
    verdict: result.verdicts.get(request.id),
  }));
  const byClass = Object.fromEntries(
    types.PRIORITY_CLASSES.map((name) => [
      name,
      entries.filter(({ request }) => request.priorityClass === name),
    ]),
  ) as Record<types.PriorityClass, Entry[]>;
  const attained = entries.filter(isAttained).length;
  const top = byClass.critical.filter(isAttained).length;
  const accelerators = size.upstreams.reduce((sum, spec) => sum + spec.acceleratorCount, 0);
  const minutes = load.arrivalsEndMs / 60_000;
  const refused = entries.filter(isRefused);
  const classShare = (name: types.PriorityClass) =>
    share(byClass[name].filter(isAttained).length, byClass[name].length);
  return {
    attainmentPerAccelerator: Number((attained / accelerators / minutes).toFixed(2)),
    attainment: share(attained, entries.length),
    attainmentOfBound: share(attained, bound.all),
    topClassAttainment: classShare('critical'),
    topClassOfBound: share(top, bound.critical),
    topClassFirstTokenShare: share(
      byClass.critical.filter(isAttained).filter(hadFirstTokenInTime).length,
      top,
    ),
    standardAttainment: classShare('standard'),
    batchAttainment: classShare('batch'),
    moves: result.moves,
    refusals: refused.length,
    refusedAfterWaiting: refused.filter((entry) => waitMs(entry) > 0).length,
    topClassAdmittedMissed: byClass.critical.filter(
      (entry) => !isRefused(entry) && !isAttained(entry),
    ).length,
    topClassOvertaken: countOvertaken(entries),
    missed: entries.filter((entry) => !isRefused(entry) && !isAttained(entry)).length,
    worstWaitCriticalMs: worst(entries, 'critical'),
    worstWaitStandardMs: worst(entries, 'standard'),
    worstWaitBatchMs: worst(entries, 'batch'),
  };
}
