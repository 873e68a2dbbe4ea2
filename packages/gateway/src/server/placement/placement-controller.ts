/**
 * Controls the placement of models while this gateway holds the lease: measures demand, plans changes of copies, and
 * has the copy controller of each upstream carry them out.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import * as changeLedgers from '../../shared/change-ledger.js';
import * as adapterPlan from '../../shared/placement/adapter-plan.js';
import * as boundMissesModule from '../../shared/placement/bound-misses.js';
import * as copyNeeds from '../../shared/placement/copy-needs.js';
import * as copyPlan from '../../shared/placement/copy-plan.js';
import type * as demandCounters from '../../shared/placement/demand-counters.js';
import * as demandMeters from '../../shared/placement/demand-meter.js';
import * as lateLoads from '../../shared/placement/late-loads.js';
import * as serviceTimesModule from '../../shared/service-times.js';
import type * as placementViews from '../../shared/placement/placement-view.js';
import * as storeLoadsModule from '../../shared/placement/store-loads.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as upstreamSignals from '../forwarding/upstream-signals.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as leaseManagers from './lease-manager.js';
import * as copyControllers from './copy-controller.js';

export type PlacementControllerDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  signals: Pick<upstreamSignals.UpstreamSignals, 'applyReport'>;
  lease: leaseManagers.LeaseManager;
  directory: directories.UpstreamDirectory;
  serviceTimes: serviceTimesModule.ServiceTimeEstimator;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  config: () => fleet.FleetConfig | null;
  gatewayId: string;
  storeLoadLimits: storeLoadsModule.StoreLoadLimits;
  inFlight: (upstreamId: string, model: string) => number;
  /**
   * Whether the upstream is ejected by several gateways, short of permits under its limit, or has paused this gateway.
   */
  isUnreliable: (upstreamId: string) => boolean;
  /** This gateway's view of the placement, updated directly instead of by a message. */
  localView: Pick<placementViews.PlacementView, 'apply' | 'version'>;
  /** Time until all gateways know that a copy is draining. */
  drainNoticeMs: () => number;
  metrics: Pick<metricsModule.GatewayMetrics, 'orderGiven' | 'changeEnded'>;
};

export type PlacementController = {
  start: () => void;
  stop: () => void;
  /** Takes over the counts that a gateway has accumulated since its start; only what was added is new demand. */
  applyDemand: (
    sourceId: string,
    incarnation: number,
    counts: readonly demandCounters.DemandCount[],
  ) => void;
  /** Changes since `version` of `term`; null if there are none or this gateway does not hold the lease. */
  updatesSince: (term: number, version: number) => placementViews.PlacementUpdate | null;
  ensureAdapter: (upstreamId: string, model: string, adapter: string) => Promise<boolean>;
};

/** Demand shifts within seconds, and a plan over a few dozen upstreams takes well under a millisecond. */
const TICK_MS = 100;
/** More changes at once would leave too few upstreams undisturbed. */
const CHANGES_PER_TICK = 4;
/** Share of a service's upstreams that must have reported before anything is planned for it. */
const MIN_KNOWN_SHARE = 0.75;
/** Upstreams register one after the other; before the first demand, planning waits this long after the last one. */
const SETTLE_MS = 1_500;
/** How long after the first demand the demand assumed from the initial placement still counts. */
const PRIOR_VALID_MS = 3_000;
/** An adapter loads within some tens of milliseconds, and an upstream loads up to four at once. */
const ADAPTER_LOADS_AT_ONCE = 2;

function hasSameCopies(
  left: placementViews.PlacedUpstream,
  right: placementViews.PlacedUpstream,
): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

export function createPlacementController(deps: PlacementControllerDeps): PlacementController {
  const { clock, log, directory } = deps;
  const stopping = new AbortController();
  const meter = demandMeters.createDemandMeter();
  const boundMisses = boundMissesModule.createBoundMisses();
  const adapterRequestedMs = new Map<string, number>();
  const receivedCounts = new Map<
    string,
    { incarnation: number; counts: Map<string, demandMeters.DemandCounts> }
  >();
  const controllers = new Map<string, copyControllers.CopyController>();
  /** By upstream name: late loads of its previous process. */
  const inheritedLateLoads = new Map<string, readonly lateLoads.LateLoad[]>();
  let storeLoads = storeLoadsModule.createStoreLoads(deps.storeLoadLimits);
  let servedTerm: number | null = null;
  let lastRegisteredMs = 0;
  const priorDemand = new Map<string, number>();
  let isPriorDemandNoted = false;
  const ledger = changeLedgers.createChangeLedger<placementViews.PlacedUpstream, null>(
    hasSameCopies,
  );

  function modelKey(service: string, model: string): string {
    return `${service} ${model}`;
  }

  function addDemand(count: demandCounters.DemandCount, counts: demandMeters.DemandCounts): void {
    const nowMs = clock.nowMs();
    meter.add(modelKey(count.service, count.model), counts, nowMs);
    const { service, model, softwareVersion } = count;
    if (softwareVersion !== null && counts.missedCount > 0) {
      boundMisses.note({ service, model, softwareVersion, count: counts.missedCount }, nowMs);
    }
    if (count.adapter !== null) adapterRequestedMs.set(`${count.model}/${count.adapter}`, nowMs);
  }

  function changesSince(
    knownTerm: number,
    knownVersion: number,
  ): placementViews.PlacementUpdate | null {
    const term = deps.lease.heldTerm();
    if (term === null || term !== servedTerm) return null;
    const isSameTerm = knownTerm === term;
    if (isSameTerm && knownVersion === ledger.version()) return null;
    const { version, isWhole, written, removed } = ledger.since(isSameTerm ? knownVersion : null);
    return { term, version, isWhole, upstreams: written, removedIds: [...removed.keys()] };
  }

  /** Makes each change visible to this gateway's own requests at once. */
  function updateLocalView(): void {
    const { term, version } = deps.localView.version();
    const updates = changesSince(term, version);
    if (updates !== null) deps.localView.apply(updates);
  }

  function publish(upstreamId: string): void {
    const placed = controllers.get(upstreamId)?.placed() ?? null;
    if (placed !== null && ledger.put(upstreamId, placed)) updateLocalView();
  }

  function createController(record: fleet.UpstreamRecord): copyControllers.CopyController {
    return copyControllers.createCopyController(record, {
      clock,
      log,
      control: deps.control,
      signals: deps.signals,
      holderId: deps.gatewayId,
      orderTerm: deps.lease.orderTerm,
      onFenced: deps.lease.fenced,
      onStoreLoad: (isCertain) => {
        if (isCertain) storeLoads.recordStart(clock.nowMs());
        else storeLoads.recordUnanswered(clock.nowMs() + lateLoads.LATE_ORDER_MS);
      },
      adapterLastRequestedMs: (model, adapter) =>
        adapterRequestedMs.get(`${model}/${adapter}`) ?? 0,
      onChanged: () => publish(record.upstreamId),
      drainNoticeMs: deps.drainNoticeMs,
      inFlight: (model) => deps.inFlight(record.upstreamId, model),
      inheritedLateLoads: inheritedLateLoads.get(record.name) ?? [],
      metrics: deps.metrics,
    });
  }

  function engineServices(): readonly fleet.Service[] {
    return (deps.config()?.services ?? []).filter(({ engine }) => engine !== null);
  }

  /** Keeps one copy controller for each upstream that may get orders. */
  function syncControllers(): void {
    const records = engineServices().flatMap(({ name }) => directory.eligible(name, clock.nowMs()));
    const ids = new Set(records.map(({ upstreamId }) => upstreamId));
    for (const [id, controller] of controllers) {
      if (ids.has(id)) continue;
      controller.stop();
      controllers.delete(id);
      if (ledger.remove(id, null)) updateLocalView();
      inheritedLateLoads.set(controller.name, controller.lateLoads());
    }
    for (const [name, late] of inheritedLateLoads) {
      if (lateLoads.pending(late, clock.nowMs()).length === 0) inheritedLateLoads.delete(name);
    }
    records.forEach((record) => {
      const known = controllers.get(record.upstreamId);
      if (known === undefined) {
        controllers.set(record.upstreamId, createController(record));
        lastRegisteredMs = clock.nowMs();
      } else known.applyList(record);
    });
  }

  function isSettled(): boolean {
    return meter.hasDemand() || clock.nowMs() - lastRegisteredMs >= SETTLE_MS;
  }

  function endTerm(): void {
    controllers.forEach((controller) => controller.stop());
    controllers.clear();
    servedTerm = null;
  }

  function beginTerm(term: number): void {
    endTerm();
    servedTerm = term;
    ledger.clear();
    storeLoads = storeLoadsModule.createStoreLoads(deps.storeLoadLimits);
    // Only the holder of term 1 has no predecessor, whose store loads are not known here.
    if (term > 1) storeLoads.assumeUsed(clock.nowMs());
  }

  function requestSOf(service: fleet.Service, engine: fleet.EngineSpec, model: string): number {
    return serviceTimesModule.requestSeconds(
      deps.serviceTimes.estimate(service.name, model),
      engine.slots,
    );
  }

  /**
   * Before any demand is known, the initial placement shows what operators expect: a model with several copies is busy,
   * and its demand is assumed to be what that many copies can serve in time.
   */
  function notePriorDemand(service: fleet.Service, engine: fleet.EngineSpec): void {
    const counts = new Map<string, number>();
    directory
      .eligible(service.name, clock.nowMs())
      .flatMap(({ upstreamId }) => controllers.get(upstreamId)?.placed()?.copies ?? [])
      .forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
    counts.forEach((count, model) => {
      const perCopy = copyNeeds.inTimePerSecond(requestSOf(service, engine, model));
      if (count > 1) priorDemand.set(modelKey(service.name, model), count * perCopy);
    });
  }

  function demandFor(
    service: string,
    model: string,
    nowMs: number,
  ): demandMeters.DemandFigures | null {
    const key = modelKey(service, model);
    const figures = meter.figures(key, nowMs);
    const expected = meter.ageMs(nowMs) < PRIOR_VALID_MS ? (priorDemand.get(key) ?? 0) : 0;
    if (expected === 0) return figures;
    return {
      recentPerSecond: expected,
      recentCount: expected,
      delayTolerantPerSecond: 0,
      isFalling: false,
      lastRequestedMs: nowMs,
      missedCount: 0,
      ...figures,
      expectedPerSecond: Math.max(expected, figures?.expectedPerSecond ?? 0),
    };
  }

  /** What a plan for the service goes by; null while too little is known of its upstreams. */
  function planInputFor(
    service: fleet.Service,
    engine: fleet.EngineSpec,
  ): copyNeeds.PlanInput | null {
    const nowMs = clock.nowMs();
    // Copies at unreliable upstreams do not count, and nothing is planned for these.
    const records = directory
      .eligible(service.name, nowMs)
      .filter(({ upstreamId }) => !deps.isUnreliable(upstreamId));
    const views = records.flatMap(({ upstreamId }) => {
      const view = controllers.get(upstreamId)?.view((model) => deps.inFlight(upstreamId, model));
      return view === null || view === undefined ? [] : [view];
    });
    // A plan made before most upstreams have reported would load models that are loaded already.
    if (views.length < records.length * MIN_KNOWN_SHARE) return null;
    return {
      engine,
      upstreams: views,
      demand: (model) => demandFor(service.name, model, nowMs),
      requestS: (model) => requestSOf(service, engine, model),
      latencyRatio: (upstreamId) => deps.states.state(upstreamId, nowMs).latencyRatio,
      holdMs: (model) => deps.serviceTimes.estimate(service.name, model).holdMs,
      hasDemand: meter.hasDemand(),
      storeLoadsLeft: storeLoads.remaining(engine.loadsPerSecond, nowMs),
      nowMs,
    };
  }

  function planFor(service: fleet.Service, engine: fleet.EngineSpec): void {
    for (let count = 0; count < CHANGES_PER_TICK; count += 1) {
      const input = planInputFor(service, engine);
      const change = input === null ? null : copyPlan.planNext(input);
      if (change === null) return;
      controllers.get(change.upstreamId)?.startChange(change);
    }
  }

  /** A copy at the version that streams are bound to, though the model may have copies at other versions. */
  function planBoundCopy(
    service: fleet.Service,
    engine: fleet.EngineSpec,
    { model, softwareVersion, count }: boundMissesModule.BoundMiss,
  ): void {
    const input = planInputFor(service, engine);
    if (input === null) return;
    const ofVersion = input.upstreams.filter(
      ({ upstreamId }) => directory.find(upstreamId)?.softwareVersion === softwareVersion,
    );
    const hasCopy = ofVersion.some(
      ({ copies, loadingModel }) =>
        loadingModel === model || copies.some((copy) => copy.model === model && !copy.isClosing),
    );
    if (hasCopy) return;
    const upstreamIds = new Set(ofVersion.map(({ upstreamId }) => upstreamId));
    const figures = input.demand(model);
    const missedCount = Math.max(count, figures?.missedCount ?? 0);
    const change = copyPlan.planNext({
      ...input,
      only: { model, upstreamIds },
      demand: (name) =>
        name === model && figures !== null ? { ...figures, missedCount } : input.demand(name),
    });
    if (change !== null) controllers.get(change.upstreamId)?.startChange(change);
  }

  /** Loads adapters at copies before requests need them there. */
  function fillAdapters(service: fleet.Service, engine: fleet.EngineSpec): void {
    const serviceControllers = directory
      .eligible(service.name, clock.nowMs())
      .flatMap(({ upstreamId }) => controllers.get(upstreamId) ?? []);
    const holders = serviceControllers.map((controller) => ({
      upstreamId: controller.upstreamId,
      models: controller.placed()?.copies.filter((copy) => !copy.isClosing) ?? [],
      freeSlots: engine.adaptersMax - controller.adapterCount(),
      isBlocked: (controller.placed()?.blockedUntilMs ?? 0) > 0,
      has: controller.hasAdapter,
    }));
    const wanted = adapterPlan.planAdapters({
      engine,
      upstreams: holders,
      lastRequestedMs: (model, adapter) => adapterRequestedMs.get(`${model}/${adapter}`) ?? null,
      maxPerUpstream: ADAPTER_LOADS_AT_ONCE,
    });
    wanted.forEach(({ upstreamId, model, adapter }) => {
      void controllers.get(upstreamId)?.ensureAdapter(model, adapter, engine.adaptersMax);
    });
  }

  function tick(): void {
    const term = deps.lease.heldTerm();
    if (term === null) {
      if (servedTerm !== null) endTerm();
      return;
    }
    if (term !== servedTerm) beginTerm(term);
    syncControllers();
    if (!isSettled()) return;
    if (!isPriorDemandNoted) {
      isPriorDemandNoted = true;
      if (!meter.hasDemand()) {
        engineServices().forEach((service) => {
          if (service.engine !== null) notePriorDemand(service, service.engine);
        });
      }
    }
    if (deps.lease.orderTerm() === null) return;
    engineServices().forEach((service) => {
      if (service.engine === null) return;
      // While an upstream loads a model it accepts no adapters, so missing adapters are loaded first.
      fillAdapters(service, service.engine);
      for (const miss of boundMisses.of(service.name, clock.nowMs())) {
        planBoundCopy(service, service.engine, miss);
      }
      planFor(service, service.engine);
    });
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await steps.guard(deps.log, 'placing', tick);
      await clocksModule.sleepUntil(clock, clock.nowMs() + TICK_MS, stopping.signal);
    }
  }

  return {
    start: () => {
      void run();
    },
    stop: () => {
      stopping.abort();
      endTerm();
    },
    applyDemand: (sourceId, incarnation, counts) => {
      const before = receivedCounts.get(sourceId);
      const known =
        before !== undefined && before.incarnation === incarnation
          ? before
          : { incarnation, counts: new Map<string, demandMeters.DemandCounts>() };
      receivedCounts.set(sourceId, known);
      counts.forEach((count) => {
        const { service, model, adapter, softwareVersion } = count;
        const key = JSON.stringify([service, model, adapter, softwareVersion]);
        const reported = known.counts.get(key);
        known.counts.set(key, count);
        addDemand(count, {
          requestCount: count.requestCount - (reported?.requestCount ?? 0),
          missedCount: count.missedCount - (reported?.missedCount ?? 0),
          patientCount: count.patientCount - (reported?.patientCount ?? 0),
        });
      });
    },
    updatesSince: changesSince,
    ensureAdapter: async (upstreamId, model, adapter) => {
      const service = directory.find(upstreamId)?.service;
      const engine = engineServices().find(({ name }) => name === service)?.engine;
      const controller = controllers.get(upstreamId);
      if (controller === undefined || engine == null) return false;
      return controller.ensureAdapter(model, adapter, engine.adaptersMax);
    },
  };
}
