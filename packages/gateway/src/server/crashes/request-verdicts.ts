/** Decides, at the gateways that gather all ends, which whole requests are suspected or refused. */
import type { clocks } from '@copperlever/runtime';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import * as quarantines from '../../shared/crashes/quarantine.js';
import * as requestEvidence from '../../shared/crashes/request-evidence.js';
import * as requestTraits from '../../shared/crashes/request-traits.js';
import type * as crashPeers from './crash-peers.js';

export type Decided = Pick<
  quarantines.QuarantineEntry,
  'traits' | 'state' | 'trialCount' | 'crashCount' | 'isCommon'
> & { forMs: number };

export type RequestVerdictsDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  evidence: Pick<crashEvidence.CrashEvidence, 'judgeRequest' | 'requestsSince' | 'endCount'>;
  quarantine: Pick<quarantines.Quarantine, 'find' | 'refusedSets'>;
  peers: Pick<crashPeers.CrashPeers, 'isCollector' | 'isArbiter'>;
  nextEntry: (
    before: quarantines.QuarantineEntry | undefined,
    decided: Decided,
  ) => quarantines.QuarantineEntry;
  decide: (entry: quarantines.QuarantineEntry) => void;
};

export type RequestVerdicts = {
  /** After one more end. It is no proof before the reports of others have come. */
  suspect: (crash: crashEvidence.Crash) => void;
  /** When they have. */
  judgeAgain: () => void;
  /** Lifts what was refused for ends that something else explains, which is refused by now. */
  liftExplained: () => void;
};

/** From an end until its requests are no longer judged again: longer than the last of the looks at it. */
const JUDGED_AGAIN_MS = 2_000;

export function createRequestVerdicts(deps: RequestVerdictsDeps): RequestVerdicts {
  const { clock, evidence, quarantine, peers, nextEntry, decide } = deps;

  /** What speaks against a whole request since an end that it was beside. */
  function judgeRequest(trait: string, mayRefuse: boolean): void {
    const before = quarantine.find(trait);
    const isStanding = before !== undefined && before.state !== 'lifted';
    const told = quarantines.toldEnds(before);
    const { state, crashCount } = evidence.judgeRequest(trait, told, quarantine.refusedSets());
    const isRefused = isStanding && before.state === 'refused';
    const trialCount = Math.max(0, crashCount - requestEvidence.REFUSED_ENDS_MIN);
    const traits = [trait];
    if (state === 'refused' && mayRefuse && !isRefused) {
      const forMs = quarantines.refusalMs(trialCount, false);
      decide(nextEntry(before, { traits, state, trialCount, crashCount, isCommon: false, forMs }));
      return;
    }
    const isNew = !isStanding || crashCount > before.crashCount;
    if (state === 'free' || isRefused || !isNew || !peers.isArbiter()) return;
    const forMs = quarantines.SUSPECTED_MS;
    const suspicion = { state: 'suspected', trialCount: 0, isCommon: false } as const;
    decide(nextEntry(before, { traits, ...suspicion, crashCount, forMs }));
  }

  function liftIfExplained(entry: quarantines.QuarantineEntry, trait: string): void {
    const knowsAll = evidence.endCount(trait) >= entry.crashCount;
    const { state } = evidence.judgeRequest(trait, null, quarantine.refusedSets());
    if (!knowsAll || state === 'refused') return;
    decide({ ...entry, state: 'lifted', decidedAtMs: clock.nowMs() });
  }

  return {
    suspect: ({ suspects }) => {
      if (!peers.isCollector()) return;
      suspects
        .map(([trait = '']) => trait)
        .filter((trait) => requestTraits.toFingerprint(trait) !== null)
        .forEach((trait) => judgeRequest(trait, false));
    },
    judgeAgain: () => {
      if (!peers.isCollector()) return;
      const sinceMs = clock.nowMs() - JUDGED_AGAIN_MS;
      evidence.requestsSince(sinceMs).forEach((trait) => judgeRequest(trait, true));
    },
    liftExplained: () => {
      quarantine.refusedSets().forEach(([trait = '', ...others]) => {
        const entry = quarantine.find(trait);
        const isWholeRequest = others.length === 0 && requestTraits.toFingerprint(trait) !== null;
        if (isWholeRequest && entry !== undefined) liftIfExplained(entry, trait);
      });
    },
  };
}
