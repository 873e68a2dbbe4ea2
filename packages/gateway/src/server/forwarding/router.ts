/**
 * Chooses an upstream for a request: collects the state of each upstream of its service as a candidate, has one chosen, and
 * logs why none was. Also decides which requests yield to others, and when refused callers are asked to retry.
 */
import type { clocks, randoms } from '@copperlever/runtime';

import type * as inFlightModule from '../../shared/in-flight.js';
import * as serviceTimesModule from '../../shared/service-times.js';
import type * as plainCapacity from '../../shared/plain-capacity.js';
import * as plainQueues from '../../shared/plain-queue.js';
import type * as plainServiceTimes from '../../shared/plain-service-times.js';
import * as preferences from '../../shared/preferences.js';
import type * as promptCaches from '../../shared/prompt-caches.js';
import * as batchHolding from '../../shared/batch-holding.js';
import * as queueLimits from '../../shared/queue-limits.js';
import * as upstreamHealthModule from '../../shared/upstream-health.js';
import * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as upstreamPauses from '../../shared/upstream-pauses.js';
import * as storePositions from '../../shared/store-positions.js';
import type * as directories from '../../shared/upstream-directory.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as logEvents from '../../types/log-events.js';
import type * as limitsModule from '../limits/limits.js';
import type * as placementTypes from '../../types/placement.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as resumedStreams from '../streams/resumed-streams.js';
import * as admissions from './admission.js';
import * as demandReports from './demand-reports.js';
import * as retryAfters from './retry-after.js';
import * as runs from './run.js';

export type RouterDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  random: randoms.Random;
  directory: directories.UpstreamDirectory;
  beliefs: upstreamHealthModule.UpstreamHealthTracker;
  inFlight: inFlightModule.InFlight;
  paces: serviceTimesModule.ServiceTimeEstimator;
  plainTimes: Pick<plainServiceTimes.PlainServiceTimes, 'serviceTime'>;
  plainPlaces: Pick<plainCapacity.PlainCapacity, 'capacity'>;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  caches: promptCaches.PromptCaches;
  placement: placementTypes.Placement;
  limits: limitsModule.Limits;
  pauses: Pick<upstreamPauses.UpstreamPauses, 'leftMs'>;
  serviceOf: (name: string) => fleet.Service | null;
  /** Time since the store confirmed the list of upstreams; null before the first list. */
  listAgeMs: () => number | null;
  gatewayId: string;
  failureDomain: string;
  metrics: Pick<metricsModule.GatewayMetrics, 'gaveWay'>;
  streams: Pick<resumedStreams.ResumedStreams, 'mayBegin' | 'mayGoOn'>;
  gatewayCount: () => number;
} & Omit<admissions.AdmissionDeps, 'clock'>;

/** The outcomes of a choice in which no upstream was found. */
export type NoChoice = Exclude<upstreamChoice.Choice, { kind: 'send' }>;

export type Router = {
  needsModel: (call: calls.Call) => boolean;
  /** 0 is the most urgent. */
  priorityOf: (call: calls.Call) => number;
  /** Whether its latency objective has already been missed. */
  isLate: (call: calls.Call) => boolean;
  /** Chooses among all upstreams of the service; `room` limits which of them a plain call may go to. */
  choose: (call: calls.Call, run: runs.Run, room?: upstreamChoice.Room) => upstreamChoice.Choice;
  /** Whether any upstream may get it, with its model or without. */
  hasEligible: (call: calls.Call, run: runs.Run) => boolean;
  /** Some of the upstreams besides this one that could run it now. */
  otherUpstreamIds: (call: calls.Call, run: runs.Run, upstreamId: string) => readonly string[];
  /** The requests and pending prompts at each upstream that could run a batch request. */
  upstreamLoads: (call: calls.Call, run: runs.Run) => readonly batchHolding.UpstreamLoad[];
  /**
   * Predicted time until the latency objective is met: to the first event of a stream, otherwise to the whole answer.
   * `predictedMs` is the predicted time to the first chunk.
   */
  answerMs: (call: calls.Call, predictedMs: number) => number;
  /** Chooses this upstream or none, with no limit on the queue that is predicted there: `send` if it can still be used. */
  chooseOnly: (call: calls.Call, run: runs.Run, upstreamId: string) => upstreamChoice.Choice;
  /** Whether it would be refused in favour of other requests although an upstream would accept it. */
  mustYield: (call: calls.Call) => boolean;
  /** Records that a request is about to be sent. Only its first attempt counts. */
  recordSent: (call: calls.Call, run: runs.Run) => void;
  /** Records the refusal of a request as overloaded, and returns the time after which its caller should retry. */
  overloadRetryMs: (call: calls.Call, run: runs.Run, predictedMs: number) => number;
  /** Retry time for a request whose upstreams are all closed: until one opens or another copy of its model is ready. */
  closedRetryMs: (call: calls.Call, forMs: number) => number;
  recordDemand: demandReports.RecordDemand;
  /** Logs a request for which no upstream was chosen, with the inputs of that decision. */
  logNotPlaced: (call: calls.Call, run: runs.Run, choice: NoChoice, ending: calls.Ending) => void;
};

const LEAST_URGENT_PRIORITY = 9;
/** Named when a suspect is to be sent: more than can have ended at once, in most cases. */
const OTHER_UPSTREAMS_MAX = 32;

function roundedOrUndefined(value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value);
}

export function createRouter(deps: RouterDeps): Router {
  const { clock, log, directory, beliefs, inFlight, placement } = deps;

  const admission = admissions.createAdmission(deps);
  const retryAfter = retryAfters.createRetryAfter({ ...deps, needsModel, isLate, priorityOf });
  const preferenceFor = preferences.createPreferences(deps.gatewayId);

  function needsModel(call: calls.Call): boolean {
    return call.facts.model !== null && deps.serviceOf(call.service)?.engine != null;
  }

  /** Returns a function for the time that the service's upstreams take to prefill `tokens` of a model's prompts. */
  function prefillTimes(service: string): (model: string, tokens: number) => number {
    return (model, tokens) => tokens * deps.paces.estimate(service, model).msPerToken;
  }

  /** Why an upstream accepts no requests from this gateway at present; null if it does. */
  function closedOf(upstreamId: string): upstreamChoice.Closed | null {
    const pausedForMs = deps.pauses.leftMs(upstreamId, clock.nowMs());
    if (pausedForMs > 0) return { reason: 'paused', forMs: pausedForMs };
    const limitedForMs = deps.limits.closedForMs(upstreamId);
    return limitedForMs === null ? null : { reason: 'limited', forMs: limitedForMs };
  }

  function toCandidate(
    call: calls.Call,
    priority: number,
    gatewayCount: number,
    record: fleet.UpstreamRecord,
  ): upstreamChoice.Candidate {
    const { model, adapter, promptParts } = call.facts;
    const { upstreamId, failureDomain, slots } = record;
    const load = inFlight.loadAhead(
      upstreamId,
      priority,
      clock.nowMs(),
      prefillTimes(call.service),
    );
    const copy =
      model !== null && needsModel(call) ? placement.copyAt(record, model, adapter) : 'ready';
    return {
      upstreamId,
      failureDomain,
      slots,
      copy,
      blockedForMs: copy === 'blocked' ? placement.blockedForMs(upstreamId) : 0,
      closed: copy === 'none' ? null : closedOf(upstreamId),
      isLimited: deps.limits.isLimited(upstreamId),
      inFlightCount: load.inFlightCount,
      localInFlightCount: inFlight.localCount(upstreamId),
      urgentCount: load.urgentCount,
      prefillAheadMs: load.prefillMs,
      cachedTokens: deps.caches.cachedTokens(upstreamId, runs.cacheScope(call), promptParts),
      health: beliefs.health(upstreamId, clock.nowMs()),
      state: deps.states.state(upstreamId, clock.nowMs()),
      capacity: deps.plainPlaces.capacity(upstreamId, clock.nowMs()),
      localShare: plainQueues.localShare({ slots, gatewayCount }),
      preference: preferenceFor(upstreamId),
    };
  }

  function objectiveLeftMs(call: calls.Call): number {
    const elapsedMs = call.elapsedBeforeMs + clock.nowMs() - call.arrivedAtMs;
    return call.route.latencyObjectiveMs - elapsedMs;
  }

  function isLate(call: calls.Call): boolean {
    return objectiveLeftMs(call) < 0;
  }

  function priorityOf(call: calls.Call): number {
    return urgency.enginePriority(call.priority, call.route, isLate(call));
  }

  function timeLimitsOf(call: calls.Call) {
    const nowMs = clock.nowMs();
    return {
      latencyObjectiveMs: call.route.latencyObjectiveMs,
      pauseObjectiveMs: call.route.pauseObjectiveMs,
      remainingMs: call.deadlineMs - nowMs,
      waitedMs: nowMs - call.arrivedAtMs,
    };
  }

  function queueLimitMs(call: calls.Call, run: runs.Run): number {
    // An answer of which the caller already has a part is completed, even if it has to queue until the deadline.
    if (run.hasBegun) return call.deadlineMs - clock.nowMs();
    const limitMs = queueLimits.queueLimitMs({
      ...timeLimitsOf(call),
      isStream: call.route.kind === 'stream',
      isLate: isLate(call),
      limitsLate: deps.ordersAdmission() && needsModel(call),
    });
    // Time for which the request was held is no longer available for queueing.
    return run.heldSinceMs === null || isLate(call)
      ? limitMs
      : Math.min(limitMs, objectiveLeftMs(call));
  }

  /**
   * The upstreams of its service that may get the request. A stream goes on only at the version that began it, and begins only
   * at one that all gateways know of.
   */
  function eligibleFor(call: calls.Call, run: runs.Run): readonly fleet.UpstreamRecord[] {
    const records = directory.eligible(call.service, clock.nowMs());
    if (!resumedStreams.isResumable(call)) return records;
    const { boundVersion } = run;
    if (boundVersion === null) return records.filter(deps.streams.mayBegin);
    return records.filter((record) => deps.streams.mayGoOn(record, boundVersion));
  }

  function otherUpstreamIds(call: calls.Call, run: runs.Run, exceptId: string): readonly string[] {
    const { model, adapter } = call.facts;
    const hasModel = (record: fleet.UpstreamRecord) =>
      model === null || !needsModel(call) || placement.copyAt(record, model, adapter) !== 'none';
    const others = eligibleFor(call, run).filter(({ upstreamId }) => upstreamId !== exceptId);
    const able = others.filter(hasModel).map(({ upstreamId }) => upstreamId);
    return able.slice(0, OTHER_UPSTREAMS_MAX);
  }

  function upstreamLoads(call: calls.Call, run: runs.Run): readonly batchHolding.UpstreamLoad[] {
    const nowMs = clock.nowMs();
    const { model, adapter } = call.facts;
    if (model === null) return [];
    const priority = priorityOf(call);
    const prefillMs = prefillTimes(call.service);
    return eligibleFor(call, run).flatMap((record) => {
      const { upstreamId, slots } = record;
      const copy = placement.copyAt(record, model, adapter);
      const isOpen = (copy === 'ready' || copy === 'no-adapter') && closedOf(upstreamId) === null;
      const isEjected = upstreamHealthModule.isEjected(beliefs.health(upstreamId, nowMs));
      if (!isOpen || isEjected || run.excludedIds.has(upstreamId)) return [];
      const all = inFlight.loadAhead(upstreamId, LEAST_URGENT_PRIORITY, nowMs, prefillMs);
      const moreUrgent = inFlight.loadAhead(upstreamId, priority - 1, nowMs, prefillMs);
      const uncachedTokens =
        call.facts.promptTokens -
        deps.caches.cachedTokens(upstreamId, runs.cacheScope(call), call.facts.promptParts);
      return [
        {
          slots,
          inFlightCount: all.inFlightCount,
          moreUrgentCount: moreUrgent.urgentCount,
          unreadMs: all.prefillMs,
          ownPrefillMs: prefillMs(model, Math.max(0, uncachedTokens)),
        },
      ];
    });
  }

  function answerMs(call: calls.Call, predictedMs: number): number {
    if (call.route.kind === 'stream') return predictedMs;
    return predictedMs + deps.paces.estimate(call.service, call.facts.model ?? '').holdMs;
  }

  function chooseAmong(
    call: calls.Call,
    run: runs.Run,
    records: readonly fleet.UpstreamRecord[],
    limitMs: number,
    room: upstreamChoice.Room = 'any',
  ): upstreamChoice.Choice {
    const nowMs = clock.nowMs();
    const request: upstreamChoice.ChoiceRequest = {
      kind: needsModel(call) ? 'model' : 'plain',
      promptTokens: call.facts.promptTokens,
      serviceTimes: deps.paces.estimate(call.service, call.facts.model ?? ''),
      plainServiceTime: deps.plainTimes.serviceTime(call.service),
      room,
      localFailureDomain: deps.failureDomain,
      excludedIds: run.excludedIds,
      queueLimitMs: limitMs,
    };
    const priority = priorityOf(call);
    // Only the choice for plain calls uses it, and counting some hundred gateways for each request is expensive.
    const gatewayCount = request.kind === 'plain' ? deps.gatewayCount() : 1;
    const all = records.map((record) => toCandidate(call, priority, gatewayCount, record));
    const versions = records.map(({ softwareVersion }) => softwareVersion);
    const mayBreakOff = resumedStreams.isResumable(call) && run.boundVersion === null;
    const candidates = mayBreakOff ? upstreamChoice.withVersionPeers(all, versions) : all;
    const choice = upstreamChoice.chooseUpstream(request, candidates, nowMs, deps.random.fraction);
    if ('passedOverIds' in choice) {
      choice.passedOverIds.forEach((upstreamId) => logPassedOver(call, upstreamId));
    }
    run.yieldReason = null;
    if (choice.kind !== 'send' || run.sentCount > 0 || !needsModel(call)) return choice;
    run.yieldReason = yieldReasonFor(call, choice.predictionInputs);
    return run.yieldReason === null
      ? choice
      : { kind: 'overloaded', predictedMs: choice.predictedMs };
  }

  /** Why a request is refused although an upstream was found for it; null if it is not. */
  function yieldReasonFor(
    call: calls.Call,
    work: serviceTimesModule.PredictionInputs,
  ): runs.YieldReason | null {
    if (deps.ordersAdmission() && isLate(call) && !queueLimits.hasFreeSlot(work)) {
      return 'free-slots';
    }
    return admission.yieldReason(call);
  }

  function recordSent(call: calls.Call, run: runs.Run): void {
    if (run.sentCount === 0 && needsModel(call)) admission.decided(call, false);
  }

  function choose(
    call: calls.Call,
    run: runs.Run,
    room?: upstreamChoice.Room,
  ): upstreamChoice.Choice {
    return chooseAmong(call, run, eligibleFor(call, run), queueLimitMs(call, run), room);
  }

  function chooseOnly(call: calls.Call, run: runs.Run, upstreamId: string): upstreamChoice.Choice {
    const records = eligibleFor(call, run).filter((record) => record.upstreamId === upstreamId);
    return chooseAmong(call, run, records, Infinity);
  }

  /** Logs that a better upstream was not chosen because it is closed. */
  function logPassedOver({ requestId }: calls.Call, upstreamId: string): void {
    const closed = closedOf(upstreamId);
    if (closed === null) return;
    const limitInputs = deps.limits.basis(upstreamId);
    log.info('upstream-passed-over', {
      requestId,
      upstreamId,
      reason: closed.reason,
      forMs: Math.round(closed.forMs),
      perSecond: limitInputs?.perSecond,
      limitAgeMs: roundedOrUndefined(limitInputs?.limitAgeMs),
      holderAgeMs: roundedOrUndefined(limitInputs?.holderAgeMs),
    });
  }

  function overloadRetryMs(call: calls.Call, run: runs.Run, predictedMs: number): number {
    if (run.sentCount === 0 && needsModel(call)) admission.decided(call, true);
    if (run.yieldReason !== null) deps.metrics.gaveWay(run.yieldReason);
    return retryAfter.overloadMs(call, predictedMs);
  }

  function logNotPlaced(
    call: calls.Call,
    run: runs.Run,
    choice: NoChoice,
    ending: calls.Ending,
  ): void {
    const { model, adapter } = call.facts;
    const records = eligibleFor(call, run);
    const withModel = records.filter(
      (record) => model !== null && placement.copyAt(record, model, adapter) !== 'none',
    );
    const plan = placement.version();
    log.info('request-not-placed', {
      requestId: call.requestId,
      model,
      cause: 'cause' in ending ? ending.cause : ending.kind,
      boundVersion: run.boundVersion ?? undefined,
      upstreamCount: records.length,
      withModelCount: withModel.length,
      closedCount: withModel.filter(({ upstreamId }) => closedOf(upstreamId) !== null).length,
      predictedMs: choice.kind === 'overloaded' ? Math.round(choice.predictedMs) : undefined,
      queueLimitMs: Math.round(queueLimitMs(call, run)),
      gaveWay: choice.kind === 'overloaded' ? (run.yieldReason ?? undefined) : undefined,
      upstreamsPosition: storePositions.format(directory.position()),
      listAgeMs: roundedOrUndefined(deps.listAgeMs() ?? undefined),
      placementTerm: plan.term,
      placementVersion: plan.version,
      placementAgeMs: Math.round(plan.ageMs),
    });
  }

  return {
    needsModel,
    priorityOf,
    isLate,
    choose,
    hasEligible: (call, run) => eligibleFor(call, run).length > 0,
    otherUpstreamIds,
    upstreamLoads,
    answerMs,
    chooseOnly,
    mustYield: (call) => admission.yieldReason(call) !== null,
    recordSent,
    overloadRetryMs,
    closedRetryMs: retryAfter.closedMs,
    recordDemand: demandReports.createDemandReports({
      ...deps,
      needsModel,
      closedOf,
      eligibleFor,
    }),
    logNotPlaced,
  };
}
