/** Refuses requests with traits that end upstreams, and lets one through where these are on trial. */
import type { clocks } from '@copperlever/runtime';

import * as quarantines from '../../shared/crashes/quarantine.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as crashTrackers from '../crashes/crash-tracker.js';
import type * as runs from './run.js';

export type QuarantineCheckDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: logEvents.GatewayLog;
  quarantine: Pick<quarantines.Quarantine, 'match'>;
  crashTrials: Pick<crashTrackers.CrashTracker, 'startTrial' | 'endTrial'>;
  refuse: (
    call: calls.Call,
    run: runs.Run,
    cause: calls.RefusalCause,
    retryAfterMs: number,
  ) => calls.Ending;
};

export type QuarantineCheck = {
  isRefused: (run: runs.Run) => boolean;
  /** The ending of a request that is refused; null for one that may be sent, perhaps on trial from now on. */
  ending: (call: calls.Call, run: runs.Run) => calls.Ending | null;
  /** An attempt has ended: if it was on trial, that shows something, and the trial is over. */
  attemptEnded: (run: runs.Run) => void;
};

/** While one gateway tries what is refused, the others refuse on. */
const RETRY_MIN_MS = 30_000;

export function createQuarantineCheck(deps: QuarantineCheckDeps): QuarantineCheck {
  const { clock } = deps;

  function matching(run: runs.Run): quarantines.QuarantineEntry | null {
    return deps.quarantine.match(run.traits, clock.nowMs(), run.trial?.key);
  }

  return {
    isRefused: (run) => matching(run) !== null,
    ending: (call, run) => {
      const entry = matching(run);
      if (entry === null) return null;
      const nowMs = clock.nowMs();
      if (run.trial === null && deps.crashTrials.startTrial(entry, run.traits)) {
        const tried = run;
        tried.trial = { key: quarantines.keyOf(entry), startedMs: nowMs };
        return null;
      }
      const { traits, crashCount, decidedBy, decidedAtMs, untilMs } = entry;
      deps.log.info('request-quarantined', {
        requestId: call.requestId,
        traits: traits.join(','),
        crashCount,
        decidedBy,
        ageMs: Math.round(nowMs - decidedAtMs),
        remainingMs: Math.round(untilMs - nowMs),
      });
      return deps.refuse(call, run, 'quarantined', Math.max(RETRY_MIN_MS, untilMs - nowMs));
    },
    attemptEnded: (run) => {
      const { trial } = run;
      if (trial === null) return;
      deps.crashTrials.endTrial(trial.key, trial.startedMs);
      const tried = run;
      tried.trial = null;
    },
  };
}
