/** Gathers what is known of a service's upstreams and has one chosen for a request; says why none was. */
import type { clocks, randoms } from '@copperlever/runtime';

import type * as inFlightModule from '../../shared/in-flight.js';
import type * as pacesModule from '../../shared/paces.js';
import * as preferences from '../../shared/preferences.js';
import type * as promptCaches from '../../shared/prompt-caches.js';
import * as queueLimits from '../../shared/queue-limits.js';
import * as beliefsModule from '../../shared/upstream-beliefs.js';
import * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as upstreamPauses from '../../shared/upstream-pauses.js';
import type * as directories from '../../shared/upstream-directory.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as logEvents from '../../types/log-events.js';
import type * as limitsModule from '../limits/limits.js';
import type * as placementTypes from '../../types/placement.js';
import * as runs from './run.js';

export type RouterDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  random: randoms.Random;
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  inFlight: inFlightModule.InFlight;
  paces: pacesModule.Paces;
  caches: promptCaches.PromptCaches;
  placement: placementTypes.Placement;
  limits: limitsModule.Limits;
  pauses: Pick<upstreamPauses.UpstreamPauses, 'leftMs'>;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  serviceOf: (name: string) => fleet.Service | null;
  gatewayId: string;
  failureDomain: string;
};

export type NoChoice = Exclude<upstreamChoice.Choice, { kind: 'send' }>;

export type Router = {
  needsModel: (call: calls.Call) => boolean;
  /** 0 is the most urgent. */
  priorityOf: (call: calls.Call) => number;
  /** Its objective has passed. */
  isLate: (call: calls.Call) => boolean;
  choose: (call: calls.Call, run: runs.Run) => upstreamChoice.Choice;
  overloadRetryMs: (call: calls.Call, predictedMs: number) => number;
  /** Until an upstream takes requests again, or another copy is there. */
  closedRetryMs: (call: calls.Call, forMs: number) => number;
  /** Tells the placing what is asked for. */
  noteDemand: (call: calls.Call) => void;
  noteNotPlaced: (call: calls.Call, run: runs.Run, choice: NoChoice, ending: calls.Ending) => void;
};

/** Another gateway, which callers meet when they come back, may still be let in. */
const CLOSED_RETRY_MAX_MS = 5_000;

function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value);
}

export function createRouter(deps: RouterDeps): Router {
  const { clock, log, directory, beliefs, inFlight, placement } = deps;

  const preferenceFor = preferences.createPreferences(deps.gatewayId);

  function needsModel(call: calls.Call): boolean {
    return call.facts.model !== null && deps.serviceOf(call.service)?.engine != null;
  }

  function readMs(service: string): (model: string, tokens: number) => number {
    return (model, tokens) => tokens * deps.paces.pace(service, model).msPerToken;
  }

  function closedOf(upstreamId: string): upstreamChoice.Closed | null {
    const pausedForMs = deps.pauses.leftMs(upstreamId, clock.nowMs());
    if (pausedForMs > 0) return { reason: 'paused', forMs: pausedForMs };
    const limitedForMs = deps.limits.closedForMs(upstreamId);
    return limitedForMs === null ? null : { reason: 'limited', forMs: limitedForMs };
  }

  function toCandidate(
    call: calls.Call,
    priority: number,
    record: fleet.UpstreamRecord,
  ): upstreamChoice.Candidate {
    const { model, adapter, promptParts } = call.facts;
    const { upstreamId, failureDomain, slots } = record;
    const load = inFlight.ahead(upstreamId, priority, clock.nowMs(), readMs(call.service));
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
      ownInFlightCount: inFlight.ownCount(upstreamId),
      urgentCount: load.urgentCount,
      readAheadMs: load.readMs,
      cachedTokens: deps.caches.cachedTokens(upstreamId, runs.cacheScope(call), promptParts),
      belief: beliefs.belief(upstreamId, clock.nowMs()),
      state: deps.states.state(upstreamId, clock.nowMs()),
      preference: preferenceFor(upstreamId),
    };
  }

  function isLate(call: calls.Call): boolean {
    const elapsedMs = call.elapsedBeforeMs + clock.nowMs() - call.arrivedAtMs;
    return elapsedMs > call.route.latencyObjectiveMs;
  }

  function priorityOf(call: calls.Call): number {
    return urgency.enginePriority(call.priority, call.route, isLate(call));
  }

  function patienceOf(call: calls.Call) {
    const nowMs = clock.nowMs();
    return {
      latencyObjectiveMs: call.route.latencyObjectiveMs,
      pauseObjectiveMs: call.route.pauseObjectiveMs,
      leftMs: call.deadlineMs - nowMs,
      waitedMs: nowMs - call.arrivedAtMs,
    };
  }

  function queueLimitMs(call: calls.Call, run: runs.Run): number {
    // What its caller has a part of already is finished.
    if (run.hasBegun) return call.deadlineMs - clock.nowMs();
    return queueLimits.queueLimitMs({
      ...patienceOf(call),
      isStream: call.route.kind === 'stream',
      isLate: isLate(call),
    });
  }

  function choose(call: calls.Call, run: runs.Run): upstreamChoice.Choice {
    const nowMs = clock.nowMs();
    const records = directory.eligible(call.service, nowMs);
    const request: upstreamChoice.ChoiceRequest = {
      kind: needsModel(call) ? 'model' : 'plain',
      promptTokens: call.facts.promptTokens,
      pace: deps.paces.pace(call.service, call.facts.model ?? ''),
      localFailureDomain: deps.failureDomain,
      excludedIds: run.excludedIds,
      queueLimitMs: queueLimitMs(call, run),
    };
    const priority = priorityOf(call);
    const candidates = records.map((record) => toCandidate(call, priority, record));
    const choice = upstreamChoice.chooseUpstream(request, candidates, nowMs, deps.random.fraction);
    if ('passedOverIds' in choice) {
      choice.passedOverIds.forEach((upstreamId) => notePassedOver(call, upstreamId));
    }
    return choice;
  }

  function notePassedOver({ requestId }: calls.Call, upstreamId: string): void {
    const closed = closedOf(upstreamId);
    if (closed === null) return;
    const basis = deps.limits.basis(upstreamId);
    log.info('upstream-passed-over', {
      requestId,
      upstreamId,
      reason: closed.reason,
      forMs: Math.round(closed.forMs),
      perSecond: basis?.perSecond,
      limitAgeMs: roundedOrNone(basis?.limitAgeMs),
      holderAgeMs: roundedOrNone(basis?.holderAgeMs),
    });
  }

  function overloadRetryMs(call: calls.Call, predictedMs: number): number {
    const { model } = call.facts;
    const nextCopyInMs = model === null ? null : placement.nextCopyInMs(call.service, model);
    return queueLimits.overloadRetryMs({ predictedMs, nextCopyInMs });
  }

  function closedRetryMs(call: calls.Call, forMs: number): number {
    const { model } = call.facts;
    const nextCopyInMs = model === null ? null : placement.nextCopyInMs(call.service, model);
    return Math.min(CLOSED_RETRY_MAX_MS, forMs, nextCopyInMs ?? forMs);
  }

  function noteNotPlaced(
    call: calls.Call,
    run: runs.Run,
    choice: NoChoice,
    ending: calls.Ending,
  ): void {
    const { model, adapter } = call.facts;
    const records = directory.eligible(call.service, clock.nowMs());
    const withModel = records.filter(
      (record) => model !== null && placement.copyAt(record, model, adapter) !== 'none',
    );
    const basis = placement.basis();
    log.info('request-not-placed', {
      requestId: call.requestId,
      model,
      cause: 'cause' in ending ? ending.cause : ending.kind,
      upstreamCount: records.length,
      withModelCount: withModel.length,
      closedCount: withModel.filter(({ upstreamId }) => closedOf(upstreamId) !== null).length,
      predictedMs: choice.kind === 'overloaded' ? Math.round(choice.predictedMs) : undefined,
      queueLimitMs: Math.round(queueLimitMs(call, run)),
      upstreamsRevision: directory.revision(),
      placementTerm: basis.term,
      placementVersion: basis.version,
      placementAgeMs: Math.round(basis.ageMs),
    });
  }

  function noteDemand(call: calls.Call): void {
    const { model, adapter } = call.facts;
    if (model === null || !needsModel(call)) return;
    const isServed = directory
      .eligible(call.service, clock.nowMs())
      .some(
        (record) =>
          placement.copyAt(record, model, adapter) !== 'none' &&
          closedOf(record.upstreamId) === null &&
          !beliefsModule.isAvoided(beliefs.belief(record.upstreamId, clock.nowMs())),
      );
    const isPatient = urgency.isBatch(call.route);
    placement.noteDemand({ service: call.service, model, adapter, isServed, isPatient });
  }

  return {
    needsModel,
    priorityOf,
    isLate,
    choose,
    overloadRetryMs,
    closedRetryMs,
    noteDemand,
    noteNotPlaced,
  };
}
