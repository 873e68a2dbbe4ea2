/** The life of one request: choose an upstream, attempt, repeat where that is allowed, end truthfully. */
import type * as quarantine from '@copperlever/decisions/quarantine';
import type { clocks, randoms } from '@copperlever/runtime';

import type * as inFlightModule from '../../shared/in-flight.js';
import type * as pacesModule from '../../shared/paces.js';
import type * as plainPlaces from '../../shared/plain-places.js';
import type * as plainTimes from '../../shared/plain-times.js';
import type * as promptCaches from '../../shared/prompt-caches.js';
import type * as retryShares from '../../shared/retry-share.js';
import * as runVerdicts from '../../shared/run-verdicts.js';
import * as beliefsModule from '../../shared/upstream-beliefs.js';
import * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as upstreamPauses from '../../shared/upstream-pauses.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as placementTypes from '../../types/placement.js';
import type * as settingsModule from '../../types/settings.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as limitsModule from '../limits/limits.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as turnTakers from '../turns/turn-taker.js';
import type * as turnsModule from '../turns/turns.js';
import type * as admissions from './admission.js';
import type * as answers from './answers.js';
import * as attemptSenders from './attempt-sender.js';
import type * as plainGates from './plain-gate.js';
import * as plainPassages from './plain-passage.js';
import type * as lastLooks from './last-look.js';
import * as heldRequests from './held-requests.js';
import * as missingCopies from './missing-copies.js';
import * as routers from './router.js';
import * as runs from './run.js';
import type * as connectionsModule from './connections.js';
import type * as upstreamWords from './upstream-words.js';

export type ServeDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  random: randoms.Random;
  dialect: dialects.Dialect;
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  paces: pacesModule.Paces;
  plainTimes: plainTimes.PlainTimes;
  plainPlaces: plainPlaces.PlainPlaces;
  plainGate: plainGates.PlainGate;
  plainQueues: settingsModule.Settings['plainQueues'];
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'answered' | 'observed'>;
  retryShare: retryShares.RetryShare;
  quarantine: quarantine.Quarantine;
  connections: connectionsModule.Connections;
  words: upstreamWords.UpstreamWords;
  limits: limitsModule.Limits;
  turns: Pick<turnsModule.Turns, 'isWanted' | 'nextTurnId' | 'ask' | 'end'>;
  pauses: Pick<upstreamPauses.UpstreamPauses, 'leftMs'>;
  placement: placementTypes.Placement;
  metrics: metricsModule.GatewayMetrics;
  lastLook: lastLooks.LastLook;
  loopAges: attemptSenders.AttemptSenderDeps['loopAges'];
  serviceOf: (name: string) => fleet.Service | null;
  /** Since the store vouched for the list of upstreams; null before the first. */
  listAgeMs: () => number | null;
  gatewayCount: () => number;
  isStopping: () => boolean;
  /** Whether batch work is held while more urgent work needs its model's upstreams. */
  holdsBatch: () => boolean;
  gatewayId: string;
  failureDomain: string;
} & Omit<admissions.AdmissionDeps, 'clock'>;

export type Serve = (call: calls.Call, sink: answers.AnswerSink) => Promise<calls.Ending>;

const NO_UPSTREAM_RETRY_MS = 500;
const MIN_RETRY_AFTER_MS = 100;

export function createServe(deps: ServeDeps): Serve {
  const { clock } = deps;

  const router = routers.createRouter(deps);
  const takeTurn = turnTakers.createTurnTaker({ ...deps, router });
  const plain = plainPassages.createPlainPassage({
    ...deps,
    router,
    gate: deps.plainGate,
    setting: deps.plainQueues,
  });
  const held = heldRequests.createHeldRequests({ ...deps, router, isOn: deps.holdsBatch });
  const attempt = attemptSenders.createAttemptSender({ ...deps, router });
  const missing = missingCopies.createMissingCopies({ ...deps, router, refuse });

  function factsOf(call: calls.Call, run: runs.Run): runVerdicts.RunFacts {
    const { ranCount, sentCount, hasBegun, upstreamId } = run;
    return { route: call.route, ranCount, sentCount, hasBegun, upstreamId };
  }

  function refuse(call: calls.Call, run: runs.Run, cause: calls.RefusalCause, waitMs: number) {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    return runVerdicts.refusalOrFailure(factsOf(call, run), cause, retryAfterMs);
  }

  function passOn(
    sink: answers.AnswerSink,
    answer: calls.HeldAnswer,
    upstreamId: string,
  ): calls.Ending {
    sink.sendWhole(answer);
    return { kind: 'answered', status: answer.status, upstreamId };
  }

  /** Where no second try brought an answer, an upstream's own failure says more than one of the gateway's. */
  function preferHeld(
    run: runs.Run,
    sink: answers.AnswerSink,
    ending: calls.Ending | null,
  ): calls.Ending | null {
    if (ending?.kind !== 'failed' || run.heldFailure === null || sink.isCallerGone()) return ending;
    return passOn(sink, run.heldFailure.answer, run.heldFailure.upstreamId);
  }

  /** The end after an attempt, or null when another attempt follows. */
  function settle(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
    result: calls.AttemptResult,
  ): calls.Ending | null {
    if (result.kind !== 'not-sent') run.sentCount += 1;
    if (result.kind !== 'not-sent' && result.kind !== 'rejected') run.ranCount += 1;
    run.hasBegun = sink.hasBegun();
    if (result.kind === 'rejected' && !result.isMisdirected) run.wasFull = true;
    if (result.kind === 'lost' && result.reason === 'connection') {
      deps.quarantine.crashed(call.fingerprint, run.upstreamId, clock.nowMs());
    }
    if (result.kind === 'held-failure') {
      const mayRetry = takeRetry(call);
      if (mayRetry && run.ranCount < call.route.maxAttempts && !sink.hasBegun()) {
        run.heldFailure = { answer: result.answer, upstreamId: run.upstreamId };
        return null;
      }
      return passOn(sink, result.answer, run.upstreamId);
    }
    if (result.kind === 'answered') deps.quarantine.cleared(call.fingerprint);
    const verdict = runVerdicts.afterAttempt(factsOf(call, run), result);
    if (verdict.kind === 'end') return verdict.ending;
    if (verdict.isRepeat && !takeRetry(call)) {
      return refuse(call, run, 'retries-spent', NO_UPSTREAM_RETRY_MS);
    }
    run.resumeAfterId = verdict.resumeAfterId ?? run.resumeAfterId;
    return null;
  }

  function takeRetry(call: calls.Call): boolean {
    const isTaken = deps.retryShare.tryTake(call.service, deps.gatewayCount(), clock.nowMs());
    deps.metrics.retry(isTaken);
    return isTaken;
  }

  async function step(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
  ): Promise<calls.Ending | null> {
    const passing = plain.pass(call, run, sink);
    if (passing === null) return proceed(call, run, sink, router.choose(call, run));
    run.stage = 'gate';
    const passage = await passing;
    switch (passage.kind) {
      case 'caller-gone':
        return { kind: 'caller-gone', stage: run.stage };
      case 'refused':
        return preferHeld(run, sink, refuse(call, run, 'overloaded', passage.retryAfterMs));
      case 'passed':
        try {
          return await proceed(call, run, sink, passage.choice);
        } finally {
          passage.ended();
        }
    }
  }

  async function proceed(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
    choice: upstreamChoice.Choice,
  ): Promise<calls.Ending | null> {
    if (await held.hold(call, run, sink, choice)) return null;
    if (choice.kind !== 'send') {
      const ending = await afterNoChoice(call, run, choice);
      if (ending !== null) router.noteNotPlaced(call, run, choice, ending);
      return preferHeld(run, sink, ending);
    }
    if (choice.needsAdapter) return missing.ensureAdapter(call, run, choice.upstreamId);
    run.stage = 'turn';
    const verdict = await takeTurn(call, run, sink, choice);
    switch (verdict.kind) {
      case 'send':
        return send(call, run, sink, verdict);
      case 'refuse': {
        const noTurn = { kind: 'overloaded', predictedMs: verdict.predictedMs } as const;
        const ending = await afterNoChoice(call, run, noTurn);
        if (ending !== null) router.noteNotPlaced(call, run, noTurn, ending);
        return preferHeld(run, sink, ending);
      }
      case 'choose-again':
        return null;
      case 'caller-gone':
        return { kind: 'caller-gone', stage: run.stage };
    }
  }

  async function send(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
    to: Extract<turnTakers.TurnVerdict, { kind: 'send' }>,
  ): Promise<calls.Ending | null> {
    const { choice, turn } = to;
    // Denied, it is closed for a while, and the next choice is another one or none.
    if (deps.limits.isLimited(choice.upstreamId)) {
      run.stage = 'permit';
      const isTaken = await deps.limits.take(choice.upstreamId);
      if (!isTaken) {
        turn.ended(false, null);
        return null;
      }
    }
    const look = await deps.lastLook(call, sink);
    if (look !== 'may-send') {
      turn.ended(false, null);
      return look === 'caller-gone' ? { kind: 'caller-gone', stage: run.stage } : null;
    }
    router.noteSent(call, run);
    run.upstreamId = choice.upstreamId;
    run.excludedIds.add(choice.upstreamId);
    const result = await attempt(call, run, sink, to);
    // Without a first event: it was not sent, or broke off before.
    turn.ended(false, null);
    return preferHeld(run, sink, settle(call, run, sink, result));
  }

  /** What becomes of a request that no upstream was chosen for; null when it is to be routed anew. */
  async function afterNoChoice(
    call: calls.Call,
    run: runs.Run,
    choice: routers.NoChoice,
  ): Promise<calls.Ending | null> {
    switch (choice.kind) {
      case 'model-missing':
        return missing.awaitModel(call, run, 'model-not-ready');
      case 'adapter-blocked':
        return refuse(call, run, 'adapter-not-ready', choice.forMs);
      case 'closed':
        return refuse(call, run, 'upstreams-closed', router.closedRetryMs(call, choice.forMs));
      case 'overloaded':
        return refuse(
          call,
          run,
          'overloaded',
          router.overloadRetryMs(call, run, choice.predictedMs),
        );
      case 'no-room':
        return refuse(call, run, 'overloaded', choice.freeInMs);
      case 'no-upstream':
        // Every upstream with the model has failed this request: it comes back elsewhere, or with a new one.
        if (router.needsModel(call) && !run.wasFull)
          return missing.awaitModel(call, run, 'no-upstream');
        return refuse(call, run, 'no-upstream', NO_UPSTREAM_RETRY_MS);
    }
  }

  return async (call, sink) => {
    deps.retryShare.noteRequest(call.service, clock.nowMs());
    router.noteDemand(call);
    const run = runs.createRun();
    const untilMs = deps.quarantine.refusedUntilMs(call.fingerprint, clock.nowMs());
    if (untilMs !== null) return refuse(call, run, 'quarantined', untilMs - clock.nowMs());
    for (;;) {
      if (sink.isCallerGone()) return { kind: 'caller-gone', stage: run.stage };
      if (clock.nowMs() >= call.deadlineMs) {
        const { upstreamId } = run;
        if (sink.hasBegun()) return { kind: 'cut', cause: 'timeout', upstreamId };
        if (run.ranCount > 0) return { kind: 'failed', cause: 'timeout', upstreamId };
        return refuse(call, run, 'deadline-near', MIN_RETRY_AFTER_MS);
      }
      const ending = await step(call, run, sink);
      if (ending !== null) return ending;
    }
  };
}
