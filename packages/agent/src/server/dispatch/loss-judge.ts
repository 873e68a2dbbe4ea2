/** Tells a crashed upstream from a connection that was lost while the upstream lives. */
import { clocks } from '@copperlever/runtime';

import type * as upstreams from '../../types/upstreams.js';

export type LossJudgeDeps = {
  clock: clocks.Clock;
  upstream: Pick<upstreams.EnginePort, 'report'>;
};

/** The upstream's process at the start of an attempt; null where it is not known. */
export type LossJudge = {
  /**
   * Whether the upstream's process itself is gone. A crash makes each request in flight a suspect, so
   * a lost connection must not be called one.
   */
  didCrash: (startedOnIncarnation: number | null) => Promise<boolean>;
};

/** Long enough for an answer from the same machine; a caller waits for it. */
const JUDGE_TIMEOUT_MS = 1_000;

export function createLossJudge(deps: LossJudgeDeps): LossJudge {
  return {
    didCrash: async (startedOnIncarnation) => {
      const deadlineMs = deps.clock.nowMs() + JUDGE_TIMEOUT_MS;
      const asked = deps.upstream.report(deadlineMs);
      const report = await clocks.raceDeadline(deps.clock, deadlineMs, asked);
      // An upstream that says nothing hangs; nobody knows that its process is gone.
      if (report === 'deadline') return false;
      if (report.err) return report.val.kind === 'unreachable';
      return startedOnIncarnation !== null && report.val.incarnation !== startedOnIncarnation;
    },
  };
}
