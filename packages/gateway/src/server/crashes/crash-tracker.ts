/**
 * Finds out which requests end upstreams, and has them refused: gathers the ends that this gateway and others saw, decides what
 * explains them, tells that, and judges trials of what is refused.
 */
import type { gatewayPeer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import * as crashJudgement from '../../shared/crashes/crash-judgement.js';
import * as quarantines from '../../shared/crashes/quarantine.js';
import type * as requestCensus from '../../shared/crashes/request-census.js';
import * as trialArbiters from '../../shared/crashes/trial-arbiter.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as crashCodec from './crash-codec.js';
import * as crashPeers from './crash-peers.js';
import * as crashWatches from './crash-watch.js';
import * as requestVerdicts from './request-verdicts.js';
import * as trialsModule from './trials.js';

export type CrashTrackerDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  metrics: trialsModule.TrialsDeps['metrics'] &
    Pick<metricsModule.GatewayMetrics, 'answersLost' | 'quarantineChanged'>;
  evidence: crashEvidence.CrashEvidence;
  quarantine: quarantines.Quarantine;
  census: requestCensus.RequestCensus;
  probe: crashWatches.CrashWatchDeps['probe'];
  isLeaving: crashWatches.CrashWatchDeps['isLeaving'];
  /** When this gateway first listed this start of the upstream; null if it never did. */
  listedMs: (upstreamId: string) => number | null;
  link: crashPeers.CrashPeersDeps['link'];
  book: crashPeers.CrashPeersDeps['book'];
  gatewayId: string;
  address: string;
  /** Something was decided here. */
  onDecided: () => void;
  claim: trialsModule.TrialsDeps['claim'];
};

export type CrashTracker = {
  watch: crashWatches.CrashWatch;
  /** Handles what another gateway tells and asks. */
  handle: (request: gatewayPeer.ShareCrashesRequest) => gatewayPeer.ShareCrashesReply;
  /** Applies entries that another gateway, or the store, has told. */
  applyEntries: (entries: readonly quarantines.QuarantineEntry[], source: string) => void;
  trials: trialsModule.Trials;
  /** Another gateway lacks entries that this one has. */
  tellEntries: (address: string) => void;
};

const LOGGED_TRAITS_MAX = 12;
/** Where a failure domain is lost hundreds of requests are suspected at a time: all of them are told at once. */
const TELL_AFTER_MS = 5;
const CHANGE_EVENTS = {
  suspected: 'request-suspected',
  refused: 'quarantined',
  lifted: 'quarantine-lifted',
} as const;
/** After an end: when the reports of others have come, and twice when answers have had time to go on. */
const DECIDE_AFTER_MS = [
  trialArbiters.POOLED_AFTER_MS,
  700,
  crashJudgement.SETTLED_AFTER_MS,
] as const;
/** More are beside ends in an outage of the whole fleet, of which no decision can be made. */
const CANDIDATES_MAX = 200;
/** Each decision needs others to be asked: bounds what evidence from a bad source can cause. */
const DECISIONS_MAX = 20;

function rounded({ share, score }: Pick<crashJudgement.Finding, 'share' | 'score'>) {
  return { share: Math.round(share * 100) / 100, score: Math.round(score * 10) / 10 };
}

export function createCrashTracker(deps: CrashTrackerDeps): CrashTracker {
  const { clock, log, evidence, census, quarantine, gatewayId } = deps;
  const arbiter = trialArbiters.createTrialArbiter(evidence, quarantine.refusedSets);
  const peers = crashPeers.createCrashPeers({ ...deps, applyEntries, ownTrial });
  const verdicts = requestVerdicts.createRequestVerdicts({ ...deps, peers, nextEntry, decide });
  let isTelling = false;
  let isDeciding = false;
  let isDecidingAgain = false;
  const decisionsDue = new Set<number>();

  function soundMs(trait: string): number | null {
    const times = [census.lastSoundMs(trait), watch.runningSoundMs(trait)];
    const known = times.flatMap((time) => time ?? []);
    return known.length === 0 ? null : Math.max(...known);
  }

  /** `TRAIT=CRASHES:ENDS/AGE`: the ends beside which it was since it was last sound, and how long ago that is. */
  function describe(traits: readonly string[]): string {
    const nowMs = clock.nowMs();
    const histories = traits.map((trait) => ({
      trait,
      crashCount: evidence.crashCount(trait),
      endCount: evidence.endCount(trait),
      atMs: soundMs(trait),
    }));
    return histories
      .sort((left, right) => right.crashCount - left.crashCount)
      .slice(0, LOGGED_TRAITS_MAX)
      .map(({ trait, crashCount, endCount, atMs }) => {
        const age = atMs === null ? 'never' : String(Math.round(nowMs - atMs));
        return `${trait}=${crashCount}:${endCount}/${age}`;
      })
      .join(',');
  }

  function noteOwnSound(traits: readonly string[]): void {
    traits.forEach((trait) => {
      const beganMs = soundMs(trait);
      if (beganMs !== null) evidence.noteSound(trait, beganMs);
    });
  }

  function entryFor(finding: crashJudgement.Finding): quarantines.QuarantineEntry {
    const before = quarantine.find(quarantines.keyOf(finding));
    const trialCount = before === undefined ? 0 : before.trialCount + 1;
    const { traits, crashCount, isClear, isCommon } = finding;
    const forMs = isClear ? quarantines.refusalMs(trialCount, isCommon) : quarantines.GUESS_MS;
    return nextEntry(before, { traits, state: 'refused', trialCount, crashCount, isCommon, forMs });
  }

  function nextEntry(
    before: quarantines.QuarantineEntry | undefined,
    { forMs, ...decided }: requestVerdicts.Decided,
  ): quarantines.QuarantineEntry {
    const epoch = before === undefined ? 0 : before.epoch + 1;
    const nowMs = clock.nowMs();
    return {
      ...decided,
      epoch,
      decidedBy: gatewayId,
      decidedAtMs: nowMs,
      untilMs: nowMs + forMs,
    };
  }

  /** Returns whether there may be more to decide. */
  async function decideOnce(): Promise<boolean> {
    if (!peers.isCollector()) return false;
    const candidates = evidence.candidates(quarantine.refusedSets()).slice(0, CANDIDATES_MAX);
    if (candidates.length === 0) return false;
    const usage = await peers.usageByAll(candidates);
    if (usage === null) return false;
    noteOwnSound(candidates.map(({ trait }) => trait));
    const judged = evidence.judge(
      quarantine.refusedSets(),
      ({ trait, sinceMs }) => usage.get(trait) ?? census.usage(trait, sinceMs),
      clock.nowMs(),
    );
    if (judged === null) return false;
    if (judged.kind === 'open') {
      const { kind, ...rest } = judged;
      log.info('quarantine-open', { ...rest, ...rounded(judged) });
      return false;
    }
    const { traits, isClear, crashCount, newStartCount } = judged.finding;
    const evidenceFor = { isClear, crashCount, newStartCount, ...rounded(judged.finding) };
    log.info('quarantine-found', { traits: traits.join(','), ...evidenceFor });
    decide(entryFor(judged.finding));
    verdicts.liftExplained();
    return true;
  }

  async function decideAll(): Promise<void> {
    isDecidingAgain = true;
    if (isDeciding) return;
    isDeciding = true;
    await steps.guard(log, 'quarantine-decide', async () => {
      for (let count = 0; isDecidingAgain && count < DECISIONS_MAX; count += 1) {
        isDecidingAgain = false;
        const hasMore = await decideOnce();
        isDecidingAgain = isDecidingAgain || hasMore;
      }
    });
    isDeciding = false;
  }

  /** Other gateways tell of the same end at about the same time; later answers that went on make a case clearer. */
  function decideSoon(): void {
    DECIDE_AFTER_MS.forEach((afterMs) => {
      if (decisionsDue.has(afterMs)) return;
      decisionsDue.add(afterMs);
      clock.schedule(clock.nowMs() + afterMs, () => {
        decisionsDue.delete(afterMs);
        void steps.guard(log, 'quarantine-judge', verdicts.judgeAgain);
        void decideAll();
      });
    });
  }

  function logChange(entry: quarantines.QuarantineEntry, source: string): void {
    const { traits, epoch, state, trialCount, crashCount, isCommon, decidedBy } = entry;
    const { decidedAtMs, untilMs } = entry;
    const nowMs = clock.nowMs();
    deps.metrics.quarantineChanged(state);
    log.warn(CHANGE_EVENTS[state], {
      traits: traits.join(','),
      epoch,
      trialCount,
      crashCount,
      isCommon,
      decidedBy,
      ageMs: Math.round(nowMs - decidedAtMs),
      remainingMs: Math.round(untilMs - nowMs),
      source,
    });
  }

  function applyEntries(entries: readonly quarantines.QuarantineEntry[], source: string): void {
    entries
      .filter((entry) => quarantine.apply(entry, clock.nowMs()))
      .forEach((entry) => {
        logChange(entry, source);
        // What counted against them before they were lifted does not count again.
        if (entry.state === 'lifted')
          entry.traits.forEach((one) => evidence.noteSound(one, clock.nowMs()));
      });
  }

  function tellSoon(): void {
    if (isTelling) return;
    isTelling = true;
    clock.schedule(clock.nowMs() + TELL_AFTER_MS, () => {
      isTelling = false;
      peers.tellAll();
    });
  }

  function decide(entry: quarantines.QuarantineEntry): void {
    applyEntries([entry], 'own');
    deps.onDecided();
    // That a suspicion is over can wait for the next exchange: who asks about such a request is told that it is free.
    if (entry.state !== 'lifted' || entry.trialCount > 0) tellSoon();
  }

  /** Asks or tells this gateway about a trial. */
  function ownTrial(message: crashCodec.TrialMessage): trialArbiters.TrialVerdict {
    const nowMs = clock.nowMs();
    if (message.phase === 'ask') return arbiter.ask(message, nowMs);
    arbiter.ended(message, nowMs);
    const { trait, outcome } = message;
    const entry = quarantine.find(trait);
    if (outcome === 'crashed') decideSoon();
    if (outcome !== 'sound') return { kind: 'free' };
    evidence.noteSound(trait, nowMs);
    if (entry?.state === 'suspected') decide({ ...entry, state: 'lifted', decidedAtMs: nowMs });
    return { kind: 'free' };
  }

  function logLost(lost: crashWatches.LostUpstream, source: string): void {
    const { upstreamId, liveness, lostCount, suspects, atMs } = lost;
    log.warn(liveness === 'refuses' ? 'upstream-ended' : 'answers-lost', {
      upstreamId,
      liveness,
      lostCount,
      suspectCount: suspects.length,
      traits: describe([...new Set(suspects.flat())]),
      source,
      ageMs: Math.round(clock.nowMs() - atMs),
    });
  }

  const watch = crashWatches.createCrashWatch({
    ...deps,
    onLost: (lost) => {
      const { upstreamId, liveness, atMs, suspects } = lost;
      deps.metrics.answersLost(liveness);
      const trialTrait = lost.trialTrait ?? arbiter.traitAt(upstreamId);
      const startedMs = deps.listedMs(upstreamId) ?? undefined;
      const crash = { upstreamId, atMs, suspects, trialTrait, startedMs };
      if (liveness === 'refuses') evidence.add(crash);
      noteOwnSound(suspects.flat());
      logLost(lost, 'own');
      if (liveness !== 'refuses' || suspects.length === 0) return;
      peers.report([{ crash, isWithdrawn: false }]);
      verdicts.suspect(crash);
      decideSoon();
    },
    onReturned: (upstreamId) => {
      evidence.withdraw(upstreamId);
      log.info('upstream-returned', { upstreamId });
      peers.report([
        { crash: { upstreamId, atMs: clock.nowMs(), suspects: [] }, isWithdrawn: true },
      ]);
    },
  });

  const trials = trialsModule.createTrials({ ...deps, peers, watch, soundMs, decide });

  function handleReport(
    { crash: told, isWithdrawn }: crashCodec.CrashReport,
    source: string,
  ): void {
    const { upstreamId, suspects, atMs } = told;
    const trialTrait = told.trialTrait ?? arbiter.traitAt(upstreamId);
    const crash = { ...told, trialTrait, startedMs: deps.listedMs(upstreamId) ?? undefined };
    if (isWithdrawn) {
      evidence.withdraw(upstreamId);
      return;
    }
    if (!evidence.add(crash)) return;
    noteOwnSound(suspects.flat());
    const liveness = 'refuses';
    const lostCount = suspects.length;
    logLost({ upstreamId, liveness, atMs, lostCount, suspects, trialTrait }, source);
    verdicts.suspect(crash);
    decideSoon();
  }

  return {
    watch,
    applyEntries,
    trials,
    tellEntries: peers.tellEntries,
    handle: (request) => {
      const nowMs = clock.nowMs();
      const source = request.gatewayId;
      applyEntries(crashCodec.fromEntryLists(request, nowMs), source);
      crashCodec.fromCrashMessages(request, nowMs).forEach((one) => handleReport(one, source));
      const trial =
        request.trial === undefined
          ? undefined
          : ownTrial(crashCodec.fromTrialMessage(request.trial, nowMs));
      return {
        trial: trial === undefined ? undefined : crashCodec.toTrialReply(trial),
        soundAgeMs: request.traits.map((trait) => {
          const beganMs = soundMs(trait);
          return beganMs === null ? 0 : Math.max(0, Math.round(nowMs - beganMs)) + 1;
        }),
        ...crashCodec.toEntryLists(quarantine.entries(nowMs), nowMs),
        uses: request.useSinceAgeMs.map((ageMs, index) =>
          census.usage(request.traits[index] ?? '', nowMs - ageMs),
        ),
      };
    },
  };
}
