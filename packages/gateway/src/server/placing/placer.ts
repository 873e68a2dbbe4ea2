/** Places models while this gateway holds the lease: meters demand, plans changes, has stewards carry them out. */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import * as changeLedgers from '../../shared/change-ledger.js';
import * as adapterPlan from '../../shared/placing/adapter-plan.js';
import * as copyNeeds from '../../shared/placing/copy-needs.js';
import * as copyPlan from '../../shared/placing/copy-plan.js';
import type * as demandCounters from '../../shared/placing/demand-counters.js';
import * as demandMeters from '../../shared/placing/demand-meter.js';
import * as lateLoads from '../../shared/placing/late-loads.js';
import * as pacesModule from '../../shared/paces.js';
import type * as placementViews from '../../shared/placing/placement-view.js';
import * as storeLoadsModule from '../../shared/placing/store-loads.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamStates from '../../types/upstream-states.js';
import type * as upstreamWords from '../forwarding/upstream-words.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as leaseKeepers from './lease-keeper.js';
import * as stewards from './steward.js';

export type PlacerDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  words: Pick<upstreamWords.UpstreamWords, 'reported'>;
  lease: leaseKeepers.LeaseKeeper;
  directory: directories.UpstreamDirectory;
  paces: pacesModule.Paces;
  states: Pick<upstreamStates.UpstreamStates, 'state'>;
  config: () => fleet.FleetConfig | null;
  gatewayId: string;
  storeLoadLimits: storeLoadsModule.StoreLoadLimits;
  inFlight: (upstreamId: string, model: string) => number;
  /** Taken for dead, asked for more than it takes by its own word, or wanting nothing from this gateway for now. */
  isUnreliable: (upstreamId: string) => boolean;
  /** This gateway's own view of the placing, kept without a message. */
  ownView: Pick<placementViews.PlacementView, 'apply' | 'version'>;
  /** How long it takes until all gateways know that a copy is closing. */
  closeNoticeMs: () => number;
  metrics: Pick<metricsModule.GatewayMetrics, 'orderGiven' | 'changeEnded'>;
};

export type Placer = {
  start: () => void;
  stop: () => void;
  /** Counts that a gateway has told since its start. */
  heardDemand: (
    sourceId: string,
    incarnation: number,
    counts: readonly demandCounters.DemandCount[],
  ) => void;
  /** What one that knows `version` of `term` lacks; null when that is nothing, or the lease is not held. */
  newsSince: (term: number, version: number) => placementViews.PlacementNews | null;
  ensureAdapter: (upstreamId: string, model: string, adapter: string) => Promise<boolean>;
};

/** Demand moves within seconds; a plan over some dozen upstreams takes well under a millisecond. */
const TICK_MS = 100;
/** More changes at once than this leave too few upstreams undisturbed. */
const CHANGES_PER_TICK = 4;
const KNOWN_SHARE = 0.75;
/** Upstreams register one after the other; before any demand there is time to wait for all. */
const SETTLE_MS = 1_500;
const PRIOR_VALID_MS = 3_000;
/** Adapters load within some tens of milliseconds, four at once at one upstream. */
const ADAPTER_LOADS_AT_ONCE = 2;

function isSamePlaced(
  left: placementViews.PlacedUpstream,
  right: placementViews.PlacedUpstream,
): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

export function createPlacer(deps: PlacerDeps): Placer {
  const { clock, log, directory } = deps;
  const stopping = new AbortController();
  const meter = demandMeters.createDemandMeter();
  const adapterAskedMs = new Map<string, number>();
  const heard = new Map<
    string,
    { incarnation: number; counts: Map<string, demandMeters.DemandCounts> }
  >();
  const byUpstream = new Map<string, stewards.Steward>();
  /** By the upstream's name: of its start before. */
  const inheritedLateLoads = new Map<string, readonly lateLoads.LateLoad[]>();
  let storeLoads = storeLoadsModule.createStoreLoads(deps.storeLoadLimits);
  let servedTerm: number | null = null;
  let lastArrivalMs = 0;
  const prior = new Map<string, number>();
  let hasPrior = false;
  const ledger = changeLedgers.createChangeLedger<placementViews.PlacedUpstream, null>(
    isSamePlaced,
  );

  function modelKey(service: string, model: string): string {
    return `${service} ${model}`;
  }

  function note(count: demandCounters.DemandCount, counts: demandMeters.DemandCounts): void {
    const nowMs = clock.nowMs();
    meter.add(modelKey(count.service, count.model), counts, nowMs);
    if (count.adapter !== null) adapterAskedMs.set(`${count.model}/${count.adapter}`, nowMs);
  }

  function newsSince(knownTerm: number, knownVersion: number): placementViews.PlacementNews | null {
    const term = deps.lease.heldTerm();
    if (term === null || term !== servedTerm) return null;
    const isSameTerm = knownTerm === term;
    if (isSameTerm && knownVersion === ledger.version()) return null;
    const { version, isWhole, written, removed } = ledger.since(isSameTerm ? knownVersion : null);
    return { term, version, isWhole, upstreams: written, removedIds: [...removed.keys()] };
  }

  /** This gateway's own requests see each change at once. */
  function tellSelf(): void {
    const { term, version } = deps.ownView.version();
    const news = newsSince(term, version);
    if (news !== null) deps.ownView.apply(news);
  }

  function publish(upstreamId: string): void {
    const placed = byUpstream.get(upstreamId)?.placed() ?? null;
    if (placed !== null && ledger.put(upstreamId, placed)) tellSelf();
  }

  function createSteward(record: fleet.UpstreamRecord): stewards.Steward {
    return stewards.createSteward(record, {
      clock,
      log,
      control: deps.control,
      words: deps.words,
      holderId: deps.gatewayId,
      orderTerm: deps.lease.orderTerm,
      onFenced: deps.lease.fenced,
      onStoreLoad: (isCertain) => {
        if (isCertain) storeLoads.began(clock.nowMs());
        else storeLoads.uncertain(clock.nowMs() + lateLoads.LATE_ORDER_MS);
      },
      adapterLastAskedMs: (model, adapter) => adapterAskedMs.get(`${model}/${adapter}`) ?? 0,
      onChanged: () => publish(record.upstreamId),
      closeNoticeMs: deps.closeNoticeMs,
      inFlight: (model) => deps.inFlight(record.upstreamId, model),
      inheritedLateLoads: inheritedLateLoads.get(record.name) ?? [],
      metrics: deps.metrics,
    });
  }

  function engineServices(): readonly fleet.Service[] {
    return (deps.config()?.services ?? []).filter(({ engine }) => engine !== null);
  }

  /** One steward for each upstream that may get orders. */
  function syncStewards(): void {
    const records = engineServices().flatMap(({ name }) => directory.eligible(name, clock.nowMs()));
    const ids = new Set(records.map(({ upstreamId }) => upstreamId));
    for (const [id, steward] of byUpstream) {
      if (ids.has(id)) continue;
      steward.stop();
      byUpstream.delete(id);
      if (ledger.remove(id, null)) tellSelf();
      inheritedLateLoads.set(steward.name, steward.lateLoads());
    }
    for (const [name, late] of inheritedLateLoads) {
      if (lateLoads.pending(late, clock.nowMs()).length === 0) inheritedLateLoads.delete(name);
    }
    records.forEach((record) => {
      const known = byUpstream.get(record.upstreamId);
      if (known === undefined) {
        byUpstream.set(record.upstreamId, createSteward(record));
        lastArrivalMs = clock.nowMs();
      } else known.heardList(record);
    });
  }

  function isSettled(): boolean {
    return meter.hasDemand() || clock.nowMs() - lastArrivalMs >= SETTLE_MS;
  }

  function endTerm(): void {
    byUpstream.forEach((steward) => steward.stop());
    byUpstream.clear();
    servedTerm = null;
  }

  function beginTerm(term: number): void {
    endTerm();
    servedTerm = term;
    ledger.clear();
    storeLoads = storeLoadsModule.createStoreLoads(deps.storeLoadLimits);
    // The first holder of all has no predecessor.
    if (term > 1) storeLoads.assumeUsed(clock.nowMs());
  }

  function requestSOf(service: fleet.Service, engine: fleet.EngineSpec, model: string): number {
    return pacesModule.requestS(deps.paces.pace(service.name, model), engine.slots);
  }

  /**
   * Before any demand is known, what was placed says what the operators expect: models that stand on
   * several upstreams are the busy ones, each with what so many copies serve.
   */
  function notePrior(service: fleet.Service, engine: fleet.EngineSpec): void {
    const counts = new Map<string, number>();
    directory
      .eligible(service.name, clock.nowMs())
      .flatMap(({ upstreamId }) => byUpstream.get(upstreamId)?.placed()?.copies ?? [])
      .forEach(({ model }) => counts.set(model, (counts.get(model) ?? 0) + 1));
    counts.forEach((count, model) => {
      const perCopy = copyNeeds.inTimePerSecond(requestSOf(service, engine, model));
      if (count > 1) prior.set(modelKey(service.name, model), count * perCopy);
    });
  }

  function demandFor(
    service: string,
    model: string,
    nowMs: number,
  ): demandMeters.DemandFigures | null {
    const key = modelKey(service, model);
    const figures = meter.figures(key, nowMs);
    const expected = meter.ageMs(nowMs) < PRIOR_VALID_MS ? (prior.get(key) ?? 0) : 0;
    if (expected === 0) return figures;
    return {
      recentPerSecond: expected,
      recentCount: expected,
      patientPerSecond: 0,
      isFalling: false,
      lastAskedMs: nowMs,
      missedCount: 0,
      ...figures,
      expectedPerSecond: Math.max(expected, figures?.expectedPerSecond ?? 0),
    };
  }

  function planFor(service: fleet.Service, engine: fleet.EngineSpec): void {
    for (let count = 0; count < CHANGES_PER_TICK; count += 1) {
      const nowMs = clock.nowMs();
      // The copies of such upstreams do not count, and nothing is planned there.
      const records = directory
        .eligible(service.name, nowMs)
        .filter(({ upstreamId }) => !deps.isUnreliable(upstreamId));
      const views = records.flatMap(({ upstreamId }) => {
        const view = byUpstream.get(upstreamId)?.view((model) => deps.inFlight(upstreamId, model));
        return view === null || view === undefined ? [] : [view];
      });
      // A plan made before most have told what they hold would bring what is there already.
      if (views.length < records.length * KNOWN_SHARE) return;
      const change = copyPlan.planNext({
        engine,
        upstreams: views,
        demand: (model) => demandFor(service.name, model, nowMs),
        requestS: (model) => requestSOf(service, engine, model),
        slowness: (upstreamId) => deps.states.state(upstreamId, nowMs).slowness,
        holdMs: (model) => deps.paces.pace(service.name, model).holdMs,
        hasDemand: meter.hasDemand(),
        storeLoadsLeft: storeLoads.left(engine.loadsPerSecond, nowMs),
        nowMs,
      });
      if (change === null) return;
      byUpstream.get(change.upstreamId)?.startChange(change);
    }
  }

  /** Brings adapters to copies before they are asked for there. */
  function fillAdapters(service: fleet.Service, engine: fleet.EngineSpec): void {
    const stewardsOf = directory
      .eligible(service.name, clock.nowMs())
      .flatMap(({ upstreamId }) => byUpstream.get(upstreamId) ?? []);
    const holders = stewardsOf.map((steward) => ({
      upstreamId: steward.upstreamId,
      models: steward.placed()?.copies.filter((copy) => !copy.isClosing) ?? [],
      freePlaces: engine.adaptersMax - steward.adapterCount(),
      isBlocked: (steward.placed()?.blockedUntilMs ?? 0) > 0,
      has: steward.hasAdapter,
    }));
    const wanted = adapterPlan.planAdapters({
      engine,
      holders,
      lastAskedMs: (model, adapter) => adapterAskedMs.get(`${model}/${adapter}`) ?? null,
      perUpstream: ADAPTER_LOADS_AT_ONCE,
    });
    wanted.forEach(({ upstreamId, model, adapter }) => {
      void byUpstream.get(upstreamId)?.ensureAdapter(model, adapter, engine.adaptersMax);
    });
  }

  function tick(): void {
    const term = deps.lease.heldTerm();
    if (term === null) {
      if (servedTerm !== null) endTerm();
      return;
    }
    if (term !== servedTerm) beginTerm(term);
    syncStewards();
    if (!isSettled()) return;
    if (!hasPrior) {
      hasPrior = true;
      if (!meter.hasDemand()) {
        engineServices().forEach((service) => {
          if (service.engine !== null) notePrior(service, service.engine);
        });
      }
    }
    if (deps.lease.orderTerm() === null) return;
    engineServices().forEach((service) => {
      if (service.engine === null) return;
      // An upstream that loads a model takes no adapters: those that are missing already go first.
      fillAdapters(service, service.engine);
      planFor(service, service.engine);
    });
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      tick();
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
    heardDemand: (sourceId, incarnation, counts) => {
      const before = heard.get(sourceId);
      const known =
        before !== undefined && before.incarnation === incarnation
          ? before
          : { incarnation, counts: new Map<string, demandMeters.DemandCounts>() };
      heard.set(sourceId, known);
      counts.forEach((count) => {
        const key = `${count.service} ${count.model}/${count.adapter ?? ''}`;
        const told = known.counts.get(key);
        known.counts.set(key, count);
        note(count, {
          requestCount: count.requestCount - (told?.requestCount ?? 0),
          missedCount: count.missedCount - (told?.missedCount ?? 0),
          patientCount: count.patientCount - (told?.patientCount ?? 0),
        });
      });
    },
    newsSince,
    ensureAdapter: async (upstreamId, model, adapter) => {
      const service = directory.find(upstreamId)?.service;
      const engine = engineServices().find(({ name }) => name === service)?.engine;
      const steward = byUpstream.get(upstreamId);
      if (steward === undefined || engine == null) return false;
      return steward.ensureAdapter(model, adapter, engine.adaptersMax);
    },
  };
}
