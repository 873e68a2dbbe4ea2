/** Collects the evidence of upstreams that ended, and logs what stands against whom. */
import type { clocks } from '@copperlever/runtime';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import type * as soundTimes from '../../shared/crashes/sound-times.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as crashWatches from './crash-watch.js';

export type CrashTrackerDeps = {
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'answersLost'>;
  evidence: crashEvidence.CrashEvidence;
  sound: soundTimes.SoundTimes;
  probe: crashWatches.CrashWatchDeps['probe'];
  isLeaving: crashWatches.CrashWatchDeps['isLeaving'];
};

export type CrashTracker = {
  watch: crashWatches.CrashWatch;
};

const LOGGED_TRAITS_MAX = 12;

export function createCrashTracker(deps: CrashTrackerDeps): CrashTracker {
  const { clock, log, evidence, sound } = deps;

  function soundMs(trait: string): number | null {
    const times = [sound.lastMs(trait), watch.runningSoundMs(trait)];
    const known = times.flatMap((time) => time ?? []);
    return known.length === 0 ? null : Math.max(...known);
  }

  /** `TRAIT=CRASHES/AGE`: the ends beside which it was since it was last sound, and how long ago that is. */
  function describe(traits: readonly string[]): string {
    const nowMs = clock.nowMs();
    const histories = traits.map((trait) => ({
      trait,
      crashCount: evidence.crashCount(trait),
      atMs: soundMs(trait),
    }));
    return histories
      .sort((left, right) => right.crashCount - left.crashCount)
      .slice(0, LOGGED_TRAITS_MAX)
      .map(({ trait, crashCount, atMs }) => {
        const age = atMs === null ? 'never' : String(Math.round(nowMs - atMs));
        return `${trait}=${crashCount}/${age}`;
      })
      .join(',');
  }

  function onLost({ upstreamId, liveness, atMs, lostCount, suspects }: crashWatches.LostUpstream) {
    deps.metrics.answersLost(liveness);
    const traits = [...new Set(suspects.flat())];
    if (liveness === 'refuses') evidence.add({ upstreamId, atMs, suspects });
    traits.forEach((trait) => {
      const beganMs = soundMs(trait);
      if (beganMs !== null) evidence.noteSound(trait, beganMs);
    });
    log.warn(liveness === 'refuses' ? 'upstream-ended' : 'answers-lost', {
      upstreamId,
      liveness,
      lostCount,
      suspectCount: suspects.length,
      traits: describe(traits),
      source: 'own',
      ageMs: Math.round(clock.nowMs() - atMs),
    });
  }

  const watch = crashWatches.createCrashWatch({
    ...deps,
    onLost,
    onReturned: (upstreamId) => {
      evidence.withdraw(upstreamId);
      log.info('upstream-returned', { upstreamId });
    },
  });
  return { watch };
}
