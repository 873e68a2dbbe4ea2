/**
 * Lets suspected requests through one at a time, and tries what is refused: asks the gateway that decides about trials, counts a trial
 * of what is refused in the platform's store before it begins, and tells what its attempt showed.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import * as quarantines from '../../shared/crashes/quarantine.js';
import type * as trialArbiters from '../../shared/crashes/trial-arbiter.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as crashPeers from './crash-peers.js';
import type * as crashWatches from './crash-watch.js';

/** A request that may be sent to the upstream. */
export type TrialRequest = {
  requestId: string;
  /** That of the whole request comes first. */
  traits: readonly string[];
  upstreamId: string;
  /** Some of the other upstreams that could run it. */
  otherIds: () => readonly string[];
  deadlineMs: number;
  /** The upstream that the request has lost; null before its first loss. */
  lostUpstreamId: string | null;
};

export type Trial = { key: string; trait: string; upstreamId: string; startedMs: number };

export type Admission =
  | { kind: 'free' }
  /** It may be sent once, and `ended` has to be told. */
  | { kind: 'trial'; trial: Trial }
  | { kind: 'refused'; entry: quarantines.QuarantineEntry }
  | { kind: 'suspected'; retryAfterMs: number };

export type Trials = {
  /** Decides whether a request may be sent now. Waits for a moment where another suspect is tried there. */
  admit: (request: TrialRequest) => Promise<Admission>;
  /** Whether a refused request may be let through: one that may is decided about once its upstream is known. */
  mayTry: (entry: quarantines.QuarantineEntry) => boolean;
  /** The attempt of the trial has ended. */
  ended: (trial: Trial) => void;
};

export type TrialsDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'trialDecided' | 'trialEnded'>;
  quarantine: Pick<quarantines.Quarantine, 'match' | 'find' | 'refusedSets'>;
  evidence: Pick<crashEvidence.CrashEvidence, 'judgeRequest' | 'hasCrashSince'>;
  peers: Pick<crashPeers.CrashPeers, 'tellTrial' | 'rank'>;
  watch: Pick<crashWatches.CrashWatch, 'settled'>;
  /** When an answer with the trait last began that has gone on; null if none has. */
  soundMs: (trait: string) => number | null;
  /** Writes down that the entry is tried. Returns whether it may be. */
  claim: (entry: quarantines.QuarantineEntry) => Promise<boolean>;
  decide: (entry: quarantines.QuarantineEntry) => void;
};

/** A process that has ended refuses a connection within a round trip; a machine that is silent shows nothing sooner. */
const SETTLE_MAX_MS = 50;
/** A plain call takes some tens of milliseconds: several suspects of one end can be tried in turn. */
const BUSY_WAIT_MS = 400;
const BUSY_PAUSE_MS = 40;
/** Until the gateways agree again which of them decides. */
const UNREACHABLE_RETRY_MS = 500;
/** A probe and a report take less. */
const RESULT_MS = 100;
const CHECK_MS = 100;

export function createTrials(deps: TrialsDeps): Trials {
  const { clock, log, quarantine, evidence } = deps;
  /** Those whose result is not known yet. */
  const open = new Set<Trial>();

  const sleep = (durationMs: number) => clocksModule.sleepUntil(clock, clock.nowMs() + durationMs);

  function logDecision(
    { requestId, upstreamId }: TrialRequest,
    crashCount: number,
    outcome: trialArbiters.TrialVerdict['kind'] | 'unreachable' | 'not-counted',
  ): void {
    deps.metrics.trialDecided(outcome);
    log.info('trial-decided', { requestId, upstreamId, crashCount, outcome });
  }

  async function ask(
    request: TrialRequest,
    crashCount: number,
  ): Promise<trialArbiters.TrialVerdict | null> {
    const { traits, upstreamId, otherIds, deadlineMs: untilMs } = request;
    const [trait = ''] = traits;
    const question = { trait, upstreamId, otherIds: otherIds(), crashCount, untilMs };
    const verdict = await deps.peers.tellTrial({ phase: 'ask', ...question });
    logDecision(request, crashCount, verdict?.kind ?? 'unreachable');
    return verdict;
  }

  function start({ traits, upstreamId }: TrialRequest, key: string): Admission {
    const [trait = ''] = traits;
    const trial = { key, trait, upstreamId, startedMs: clock.nowMs() };
    checkSound(trial);
    return { kind: 'trial', trial };
  }

  function mayTry(entry: quarantines.QuarantineEntry): boolean {
    const rank = deps.peers.rank(quarantines.keyOf(entry));
    return quarantines.onTrial(entry, rank, clock.nowMs()) !== null;
  }

  async function tryRefused(
    entry: quarantines.QuarantineEntry,
    request: TrialRequest,
  ): Promise<Admission> {
    const key = quarantines.keyOf(entry);
    const other = quarantine.match(request.traits, clock.nowMs(), key);
    // With another entry's traits as well, its upstream's end would show nothing.
    if (other?.state === 'refused' || !mayTry(entry)) return { kind: 'refused', entry };
    const verdict = await ask(request, entry.crashCount);
    const tried = quarantines.onTrial(entry, deps.peers.rank(key), clock.nowMs());
    const isAllowed = verdict?.kind === 'alone' || verdict?.kind === 'free';
    if (!isAllowed || tried === null) return { kind: 'refused', entry };
    if (await deps.claim(tried)) {
      deps.decide(tried);
      return start(request, key);
    }
    logDecision(request, entry.crashCount, 'not-counted');
    const [trait = ''] = request.traits;
    tellEnd({ trait, upstreamId: request.upstreamId }, 'undecided');
    return { kind: 'refused', entry };
  }

  async function admit(request: TrialRequest): Promise<Admission> {
    const { traits, lostUpstreamId } = request;
    const [trait = ''] = traits;
    if (lostUpstreamId !== null) {
      const settled = deps.watch.settled(lostUpstreamId);
      await clocksModule.raceDeadline(clock, clock.nowMs() + SETTLE_MAX_MS, settled);
    }
    const waitUntilMs = Math.min(request.deadlineMs, clock.nowMs() + BUSY_WAIT_MS);
    for (;;) {
      const entry = quarantine.match(traits, clock.nowMs());
      if (entry?.state === 'refused') return tryRefused(entry, request);
      const told = quarantines.toldEnds(entry ?? undefined);
      const own = evidence.judgeRequest(trait, told, quarantine.refusedSets());
      if (entry === null && own.state === 'free') return { kind: 'free' };
      const verdict = own.state === 'refused' ? null : await ask(request, own.crashCount);
      // The answer may have told of a refusal.
      const refusal = quarantine.match(traits, clock.nowMs());
      if (refusal?.state === 'refused') {
        if (verdict?.kind === 'alone') {
          tellEnd({ trait, upstreamId: request.upstreamId }, 'undecided');
        }
        return { kind: 'refused', entry: refusal };
      }
      switch (verdict?.kind) {
        case undefined:
          return { kind: 'suspected', retryAfterMs: UNREACHABLE_RETRY_MS };
        case 'free':
          return { kind: 'free' };
        case 'alone':
          return start(request, trait);
        case 'last-up':
          return { kind: 'suspected', retryAfterMs: verdict.retryAfterMs };
        case 'busy':
          if (clock.nowMs() + BUSY_PAUSE_MS >= waitUntilMs) {
            return { kind: 'suspected', retryAfterMs: verdict.retryAfterMs };
          }
          await sleep(BUSY_PAUSE_MS);
      }
    }
  }

  function tellEnd(
    { trait, upstreamId }: Pick<Trial, 'trait' | 'upstreamId'>,
    outcome: trialArbiters.TrialOutcome,
  ): void {
    void deps.peers.tellTrial({ phase: 'ended', trait, upstreamId, outcome });
  }

  function outcomeOf({ trait, startedMs }: Trial): trialArbiters.TrialOutcome {
    if ((deps.soundMs(trait) ?? -Infinity) >= startedMs) return 'sound';
    return evidence.hasCrashSince(trait, startedMs) ? 'crashed' : 'undecided';
  }

  /** What was refused is lifted, or stands for longer; a trial that showed nothing is made again soon. */
  function decideAfter(entry: quarantines.QuarantineEntry, outcome: trialArbiters.TrialOutcome) {
    const nowMs = clock.nowMs();
    switch (outcome) {
      case 'sound':
        deps.decide({ ...entry, state: 'lifted', decidedAtMs: nowMs });
        return;
      case 'crashed':
        if (entry.state === 'refused') deps.decide(quarantines.afterFailedTrial(entry, nowMs));
        return;
      case 'undecided':
        if (entry.state !== 'refused') return;
        deps.decide({ ...entry, untilMs: nowMs + quarantines.UNDECIDED_MS });
    }
  }

  function finish(trial: Trial, outcome: trialArbiters.TrialOutcome): void {
    if (!open.delete(trial)) return;
    const { key, trait, upstreamId, startedMs } = trial;
    deps.metrics.trialEnded(outcome);
    const tookMs = Math.round(clock.nowMs() - startedMs);
    log.info('trial-ended', { traits: key, upstreamId, outcome, tookMs });
    tellEnd({ trait, upstreamId }, outcome);
    const entry = quarantine.find(key);
    if (entry !== undefined && entry.state !== 'lifted') decideAfter(entry, outcome);
  }

  /** An answer that goes on shows it before it ends. */
  function checkSound(trial: Trial): void {
    open.add(trial);
    const check = () => {
      if (!open.has(trial)) return;
      if (outcomeOf(trial) === 'sound') finish(trial, 'sound');
      else clock.schedule(clock.nowMs() + CHECK_MS, check);
    };
    clock.schedule(clock.nowMs() + CHECK_MS, check);
  }

  async function judge(trial: Trial): Promise<void> {
    await deps.watch.settled(trial.upstreamId);
    if (outcomeOf(trial) === 'undecided') await sleep(RESULT_MS);
    await deps.watch.settled(trial.upstreamId);
    finish(trial, outcomeOf(trial));
  }

  return { admit, mayTry, ended: (trial) => void judge(trial) };
}
