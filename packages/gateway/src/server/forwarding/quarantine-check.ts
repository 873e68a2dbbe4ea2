/** Refuses requests that end upstreams, and sends those that may do so only alone. */
import type { clocks } from '@copperlever/runtime';

import type * as quarantines from '../../shared/crashes/quarantine.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as trials from '../crashes/trials.js';
import type * as routers from './router.js';
import type * as runs from './run.js';

export type QuarantineCheckDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: logEvents.GatewayLog;
  quarantine: Pick<quarantines.Quarantine, 'match'>;
  crashTrials: trials.Trials;
  router: Pick<routers.Router, 'otherUpstreamIds'>;
  refuse: (
    call: calls.Call,
    run: runs.Run,
    cause: calls.RefusalCause,
    retryAfterMs: number,
  ) => calls.Ending;
};

export type QuarantineCheck = {
  isRefused: (run: runs.Run) => boolean;
  /** The ending of a request that is refused; null for one that may be sent, perhaps alone. */
  ending: (call: calls.Call, run: runs.Run) => calls.Ending | null;
  /** The same for one that is about to be sent to the upstream: it is on trial from then on if it is sent alone. */
  admit: (call: calls.Call, run: runs.Run, upstreamId: string) => Promise<calls.Ending | null>;
  /** An attempt has ended, or is not made: if it was on trial, that is over. */
  attemptEnded: (run: runs.Run) => void;
};

/** While one gateway tries what is refused, the others refuse on. */
const RETRY_MIN_MS = 30_000;

export function createQuarantineCheck(deps: QuarantineCheckDeps): QuarantineCheck {
  const { clock, crashTrials } = deps;

  function refusedBy(run: runs.Run): quarantines.QuarantineEntry | null {
    const entry = deps.quarantine.match(run.traits, clock.nowMs(), run.trial?.key);
    return entry?.state === 'refused' ? entry : null;
  }

  function refuse(call: calls.Call, run: runs.Run, entry: quarantines.QuarantineEntry) {
    const nowMs = clock.nowMs();
    const { traits, crashCount, isCommon, decidedBy, decidedAtMs, untilMs } = entry;
    deps.log.info('request-quarantined', {
      requestId: call.requestId,
      traits: traits.join(','),
      crashCount,
      isCommon,
      decidedBy,
      ageMs: Math.round(nowMs - decidedAtMs),
      remainingMs: Math.round(untilMs - nowMs),
    });
    return deps.refuse(call, run, 'quarantined', Math.max(RETRY_MIN_MS, untilMs - nowMs));
  }

  return {
    isRefused: (run) => refusedBy(run) !== null,
    ending: (call, run) => {
      const entry = refusedBy(run);
      if (entry === null || (run.trial === null && crashTrials.mayTry(entry))) return null;
      return refuse(call, run, entry);
    },
    admit: async (call, run, upstreamId) => {
      const admission = await crashTrials.admit({
        requestId: call.requestId,
        traits: run.traits,
        upstreamId,
        otherIds: () => deps.router.otherUpstreamIds(call, run, upstreamId),
        deadlineMs: call.deadlineMs,
        lostUpstreamId: run.lostUpstreamId,
      });
      switch (admission.kind) {
        case 'free':
          return null;
        case 'trial': {
          const tried = run;
          tried.trial = admission.trial;
          return null;
        }
        case 'refused':
          return refuse(call, run, admission.entry);
        case 'suspected':
          return deps.refuse(call, run, 'suspected', admission.retryAfterMs);
      }
    },
    attemptEnded: (run) => {
      const { trial } = run;
      if (trial === null) return;
      crashTrials.ended(trial);
      const tried = run;
      tried.trial = null;
    },
  };
}
