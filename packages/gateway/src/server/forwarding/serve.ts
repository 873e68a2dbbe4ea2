/**
 * Serves one request: chooses an upstream, makes an attempt, and retries where that is allowed. The ending never claims that
 * a request did not run if an upstream may have run it.
 */
import type { clocks, randoms } from '@copperlever/runtime';

import type * as inFlightModule from '../../shared/in-flight.js';
import type * as serviceTimesModule from '../../shared/service-times.js';
import type * as plainCapacity from '../../shared/plain-capacity.js';
import type * as plainServiceTimes from '../../shared/plain-service-times.js';
import type * as promptCaches from '../../shared/prompt-caches.js';
import type * as restartDoubts from '../../shared/restart-doubts.js';
import * as retryLedgers from '../../shared/retries/retry-ledger.js';
import * as retryDecisions from '../../shared/retry-decisions.js';
import * as upstreamHealthModule from '../../shared/upstream-health.js';
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
import * as requestTraits from '../../shared/crashes/request-traits.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as retriesModule from '../retries/retries.js';
import type * as resumedStreams from '../streams/resumed-streams.js';
import * as turnTakers from '../turns/turn-taker.js';
import type * as turnsModule from '../turns/turns.js';
import type * as admissions from './admission.js';
import type * as answers from './answers.js';
import * as attemptSenders from './attempt-sender.js';
import type * as plainAdmissions from './plain-admission.js';
import * as plainCallPaths from './plain-call-path.js';
import type * as preSendChecks from './pre-send-check.js';
import * as quarantineChecks from './quarantine-check.js';
import type * as heldAnswers from './held-answers.js';
import * as heldRequests from './held-requests.js';
import * as missingCopies from './missing-copies.js';
import * as routers from './router.js';
import * as runs from './run.js';
import type * as stopAdmissions from './stop-admission.js';
import * as stopEndings from './stop-endings.js';
import * as streamBindings from './stream-binding.js';
import type * as unsentRequests from './unsent-requests.js';
import type * as connectionsModule from './connections.js';
import type * as upstreamSignals from './upstream-signals.js';

export type ServeDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  random: randoms.Random;
  dialect: dialects.Dialect;
  directory: directories.UpstreamDirectory;
  beliefs: upstreamHealthModule.UpstreamHealthTracker;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  paces: serviceTimesModule.ServiceTimeEstimator;
  plainTimes: plainServiceTimes.PlainServiceTimes;
  plainPlaces: plainCapacity.PlainCapacity;
  plainAdmission: plainAdmissions.PlainAdmission;
  plainQueues: settingsModule.Settings['plainQueues'];
  states: Pick<upstreamStates.UpstreamStates, 'state' | 'recordFirstChunk' | 'recordEventInterval'>;
  retries: Pick<retriesModule.Retries, 'recordRequest' | 'mayRetry' | 'take'>;
  quarantine: quarantineChecks.QuarantineCheckDeps['quarantine'];
  crashTrials: quarantineChecks.QuarantineCheckDeps['crashTrials'];
  connections: connectionsModule.Connections;
  words: upstreamSignals.UpstreamSignals;
  limits: limitsModule.Limits;
  turns: Pick<turnsModule.Turns, 'isWanted' | 'nextTurnId' | 'ask' | 'end'>;
  pauses: Pick<upstreamPauses.UpstreamPauses, 'leftMs'>;
  placement: placementTypes.Placement;
  metrics: metricsModule.GatewayMetrics;
  streams: resumedStreams.ResumedStreams;
  crashWatch: attemptSenders.AttemptSenderDeps['crashWatch'];
  doubts: restartDoubts.RestartDoubts;
  preSendCheck: preSendChecks.PreSendCheck;
  loopAges: attemptSenders.AttemptSenderDeps['loopAges'];
  eventBytesMax: attemptSenders.AttemptSenderDeps['eventBytesMax'];
  heldAnswers: Pick<heldAnswers.HeldAnswers, 'forCall'>;
  serviceOf: (name: string) => fleet.Service | null;
  /** Time since the store confirmed the list of upstreams; null before the first list. */
  listAgeMs: () => number | null;
  gatewayCount: () => number;
  isStopping: () => boolean;
  unsent: Pick<unsentRequests.UnsentRequests, 'add' | 'isRefusing'>;
  stopAdmission: stopAdmissions.StopAdmission;
  /** Whether batch requests are held while more urgent ones need the upstreams of their model. */
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
  const acquireTurn = turnTakers.createTurnTaker({ ...deps, router });
  const plainCallPath = plainCallPaths.createPlainCallPath({
    ...deps,
    router,
    gate: deps.plainAdmission,
    setting: deps.plainQueues,
  });
  const held = heldRequests.createHeldRequests({ ...deps, router, isOn: deps.holdsBatch });
  const attempt = attemptSenders.createAttemptSender({ ...deps, router, mayGiveUp });
  const missing = missingCopies.createMissingCopies({ ...deps, router, refuse });
  const quarantined = quarantineChecks.createQuarantineCheck({ ...deps, router, refuse });
  const bindStream = streamBindings.createStreamBinding({ ...deps, refuse });
  const stopEnding = stopEndings.createStopEndings({ ...deps, refuse, preferHeldFailure });

  function factsOf(call: calls.Call, run: runs.Run): retryDecisions.RequestFacts {
    const { ranCount, sentCount, hasBegun, upstreamId } = run;
    const isResumable = call.route.isResumable && !run.isVersionUnknown;
    const route = { ...call.route, isResumable };
    return { route, possiblyRunCount: ranCount, sentCount, hasBegun, upstreamId };
  }

  function refuse(call: calls.Call, run: runs.Run, cause: calls.RefusalCause, waitMs: number) {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    return retryDecisions.refusalOrFailure(factsOf(call, run), cause, retryAfterMs);
  }

  function forwardHeldFailure(
    sink: answers.AnswerSink,
    answer: calls.HeldAnswer,
    upstreamId: string,
  ): calls.Ending {
    sink.sendWhole(answer);
    return { kind: 'answered', status: answer.status, upstreamId };
  }

  /** If no retry brought an answer, an upstream's own error answer tells the caller more than one of the gateway. */
  function preferHeldFailure(
    run: runs.Run,
    sink: answers.AnswerSink,
    ending: calls.Ending | null,
  ): calls.Ending | null {
    if (ending?.kind !== 'failed' || run.heldFailure === null || sink.isCallerGone()) return ending;
    return forwardHeldFailure(sink, run.heldFailure.answer, run.heldFailure.upstreamId);
  }

  /** The ending after an attempt, or null if another attempt follows. */
  function afterAttempt(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
    result: calls.AttemptResult,
  ): calls.Ending | null {
    if (result.kind !== 'not-sent') run.sentCount += 1;
    if (result.kind !== 'not-sent' && result.kind !== 'rejected') run.ranCount += 1;
    run.hasBegun = sink.hasBegun();
    run.wasGivenUp = result.kind === 'lost' && result.reason === 'silent';
    if (result.kind === 'rejected' && !result.isMisdirected) run.wasFull = true;
    const decision = retryDecisions.decideAfterAttempt(factsOf(call, run), result);
    if (decision.kind === 'end') return decision.ending;
    if (decision.kind === 'forward') {
      return forwardHeldFailure(sink, decision.answer, run.upstreamId);
    }
    if (result.kind === 'held-failure') {
      run.heldFailure = { answer: result.answer, upstreamId: run.upstreamId };
    }
    if (decision.isRepeat && !holdsRetry(run) && !deps.retries.mayRetry(call.service)) {
      return refuse(call, run, 'retries-spent', NO_UPSTREAM_RETRY_MS);
    }
    run.resumeAfterId = decision.resumeAfterId ?? run.resumeAfterId;
    // Its model may have other copies, but none at the version that it is bound to.
    if (run.hasBegun) router.recordDemand(call, run, 'missing');
    return null;
  }

  function holdsRetry({ retryHeldUntilMs }: runs.Run): boolean {
    return retryHeldUntilMs !== null && clock.nowMs() < retryHeldUntilMs;
  }

  async function takeRetry(call: calls.Call): Promise<boolean> {
    const isAllowed = await deps.retries.take(call);
    deps.metrics.retry(isAllowed);
    return isAllowed;
  }

  /** Whether the request may be sent now, by the retry budget of its service. The first send needs nothing. */
  async function acquireRetry(call: calls.Call, run: runs.Run): Promise<boolean> {
    if (run.sentCount === 0) return true;
    const isHeld = holdsRetry(run);
    Object.assign(run, { retryHeldUntilMs: null });
    return isHeld || takeRetry(call);
  }

  /** Whether an upstream could take the request next, besides the one that has it now. */
  function hasNextUpstream(call: calls.Call, run: runs.Run): boolean {
    const next = { ...run, ranCount: run.ranCount + 1, sentCount: run.sentCount + 1 };
    if (stopEnding.mustNotPassOn(call) || quarantined.isRefused(next)) return false;
    const wouldSend = plainCallPath.wouldSend(call, next);
    if (wouldSend !== null) return wouldSend;
    const choice = router.choose(call, next, router.needsModel(call) ? 'any' : 'place');
    return choice.kind === 'send' && !choice.needsAdapter;
  }

  /**
   * Load: upstreams answer some requests much later than others, while the retry budget is spent, its holder does not answer or
   * no other upstream has room. Harm prevented: answers under way are thrown away for retries that can't be made.
   * A token that the answer makes superfluous is not given back: it would live longer than the budget counts on.
   */
  async function mayGiveUp(call: calls.Call, run: runs.Run): Promise<boolean> {
    if (!deps.retries.mayRetry(call.service) || !hasNextUpstream(call, run)) return false;
    if (!holdsRetry(run)) {
      if (!(await takeRetry(call))) return false;
      Object.assign(run, { retryHeldUntilMs: clock.nowMs() + retryLedgers.TOKEN_HELD_MS });
    }
    return hasNextUpstream(call, run);
  }

  /** One round: chooses an upstream and makes an attempt there. Null if another round follows. */
  async function serveOnce(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
  ): Promise<calls.Ending | null> {
    const admission = plainCallPath.admit(call, run, sink);
    if (admission === null) return handleChoice(call, run, sink, router.choose(call, run));
    run.stage = 'gate';
    const result = await admission;
    switch (result.kind) {
      case 'caller-gone':
        return { kind: 'caller-gone', stage: run.stage };
      case 'refused':
        return preferHeldFailure(run, sink, refuse(call, run, 'overloaded', result.retryAfterMs));
      case 'passed':
        try {
          return await handleChoice(call, run, sink, result.choice);
        } finally {
          result.ended();
        }
    }
  }

  /** Acts on a choice: holds the request, sends it, or ends it if no upstream was chosen. Null if another round follows. */
  async function handleChoice(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
    choice: upstreamChoice.Choice,
  ): Promise<calls.Ending | null> {
    if (await held.hold(call, run, sink, choice)) return null;
    if (choice.kind !== 'send') {
      const ending = await afterNoChoice(call, run, choice);
      if (ending !== null) router.logNotPlaced(call, run, choice, ending);
      return preferHeldFailure(run, sink, ending);
    }
    if (choice.needsAdapter) return missing.ensureAdapter(call, run, choice.upstreamId);
    run.stage = 'turn';
    const decision = await acquireTurn(call, run, sink, choice);
    switch (decision.kind) {
      case 'send':
        return send(call, run, sink, decision);
      case 'refuse': {
        const noTurn = { kind: 'overloaded', predictedMs: decision.predictedMs } as const;
        const ending = await afterNoChoice(call, run, noTurn);
        if (ending !== null) router.logNotPlaced(call, run, noTurn, ending);
        return preferHeldFailure(run, sink, ending);
      }
      case 'choose-again':
        return null;
      case 'caller-gone':
        return { kind: 'caller-gone', stage: run.stage };
    }
  }

  /**
   * Acquires a permit where the upstream is limited, and a retry if it was sent before, checks the caller again and makes the
   * attempt.
   */
  async function send(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
    to: Extract<turnTakers.TurnVerdict, { kind: 'send' }>,
  ): Promise<calls.Ending | null> {
    const { choice, turn } = to;
    // If the permit is denied the upstream is closed for a while, so that the next round chooses another one or none.
    if (deps.limits.isLimited(choice.upstreamId)) {
      run.stage = 'permit';
      const isAcquired = await deps.limits.take(choice.upstreamId);
      if (!isAcquired) {
        turn.ended(false, null);
        return null;
      }
    }
    if (!(await acquireRetry(call, run))) {
      turn.ended(false, null);
      const spent = refuse(call, run, 'retries-spent', NO_UPSTREAM_RETRY_MS);
      return preferHeldFailure(run, sink, spent);
    }
    const refused = await quarantined.admit(call, run, choice.upstreamId);
    if (refused !== null) {
      turn.ended(false, null);
      return preferHeldFailure(run, sink, refused);
    }
    const check = await deps.preSendCheck(call, sink);
    if (check !== 'may-send') {
      turn.ended(false, null);
      quarantined.attemptEnded(run);
      return check === 'caller-gone' ? { kind: 'caller-gone', stage: run.stage } : null;
    }
    // It may have been refused while the caller was looked for.
    const refusedSince = quarantined.ending(call, run);
    if (refusedSince !== null) {
      turn.ended(false, null);
      return preferHeldFailure(run, sink, refusedSince);
    }
    if (stopEnding.isTooLate(call, run, sink)) {
      turn.ended(false, null);
      return null;
    }
    router.recordSent(call, run);
    run.upstreamId = choice.upstreamId;
    run.passedOnAtMs = clock.nowMs();
    run.excludedIds.add(choice.upstreamId);
    const result = await attempt(call, run, sink, to);
    stopEnding.recordAnswer(call, run, result);
    quarantined.attemptEnded(run);
    if (result.kind === 'lost') run.lostUpstreamId = choice.upstreamId;
    // Has an effect only if the first event never arrived: the turn then ends without a prefill.
    turn.ended(false, null);
    return preferHeldFailure(run, sink, afterAttempt(call, run, sink, result));
  }

  /** The ending of a request for which no upstream was chosen; null if one has to be chosen again. */
  async function afterNoChoice(
    call: calls.Call,
    run: runs.Run,
    choice: routers.NoChoice,
  ): Promise<calls.Ending | null> {
    if (run.boundVersion !== null && !router.hasEligible(call, run)) {
      return refuse(call, run, 'version-gone', streamBindings.VERSION_GONE_RETRY_MS);
    }
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
        // Every upstream with the model has failed this request: it needs a copy at another upstream, or a new upstream.
        if (router.needsModel(call) && !run.wasFull)
          return missing.awaitModel(call, run, 'no-upstream');
        return refuse(call, run, 'no-upstream', NO_UPSTREAM_RETRY_MS);
    }
  }

  /** Rounds of choices and attempts, until one of them ends the request. */
  async function serveBound(
    call: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
  ): Promise<calls.Ending> {
    // A request that is refused is no demand for copies of its model.
    if (!quarantined.isRefused(run)) router.recordDemand(call, run, 'always');
    for (;;) {
      if (sink.isCallerGone()) return { kind: 'caller-gone', stage: run.stage };
      if (clock.nowMs() >= call.deadlineMs) {
        const { upstreamId } = run;
        if (sink.hasBegun()) return { kind: 'cut', cause: 'timeout', upstreamId };
        if (run.ranCount > 0) return { kind: 'failed', cause: 'timeout', upstreamId };
        return refuse(call, run, 'deadline-near', MIN_RETRY_AFTER_MS);
      }
      if (stopEnding.isTooLate(call, run, sink)) return stopEnding.refused(call, run, sink);
      const refused = quarantined.ending(call, run);
      if (refused !== null) return preferHeldFailure(run, sink, refused) ?? refused;
      const ending = await serveOnce(call, run, sink);
      if (ending !== null) return ending;
    }
  }

  async function bindAndServe(
    received: calls.Call,
    run: runs.Run,
    sink: answers.AnswerSink,
  ): Promise<calls.Ending> {
    const { call, ending: unbound } = await bindStream(received, run);
    deps.retries.recordRequest(call.service);
    if (unbound !== null) return unbound;
    try {
      return await serveBound(call, run, sink);
    } finally {
      // It may have been let through, and found no upstream.
      quarantined.attemptEnded(run);
    }
  }

  return async (call, sink) => {
    const holds = deps.heldAnswers.forCall(call.requestId);
    const run = { ...runs.createRun(holds), traits: requestTraits.of(call) };
    const atStop = stopEnding.watch(call, run, sink);
    try {
      return await Promise.race([atStop.ending, bindAndServe(call, run, atStop.sink)]);
    } finally {
      atStop.remove();
      holds.close();
    }
  };
}
