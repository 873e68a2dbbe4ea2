/**
 * Keeps what one upstream holds, and carries out changes of its copies: what makes way is closed and unloaded, what
 * takes its place is loaded and awaited. Memory is never promised twice.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as copyNeeds from '../../shared/placing/copy-needs.js';
import type * as copyPlan from '../../shared/placing/copy-plan.js';
import * as lateLoads from '../../shared/placing/late-loads.js';
import type * as placementViews from '../../shared/placing/placement-view.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamWords from '../forwarding/upstream-words.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as adapterLoads from './adapter-loads.js';
import * as adapterPlaces from './adapter-places.js';
import * as orderDesks from './order-desk.js';

export type StewardDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  words: Pick<upstreamWords.UpstreamWords, 'reported'>;
  holderId: string;
  /** The term for orders given now; null while none may be given. */
  orderTerm: () => number | null;
  onFenced: () => void;
  onStoreLoad: (isCertain: boolean) => void;
  /** When an adapter was last asked for, to choose the one that gives way. */
  adapterLastAskedMs: (model: string, adapter: string) => number;
  onChanged: () => void;
  /** How long it takes until all gateways know that a copy is closing; requests sent before are at the upstream then. */
  closeNoticeMs: () => number;
  /** Requests in flight for the model there, as far as gateways have told. */
  inFlight: (model: string) => number;
  /** Of the start before, when the upstream has started again under its name. */
  inheritedLateLoads: readonly lateLoads.LateLoad[];
  metrics: Pick<metricsModule.GatewayMetrics, 'orderGiven' | 'changeEnded'>;
};

export type Steward = {
  upstreamId: string;
  /** What the platform calls it. */
  name: string;
  /** Null until the upstream has told what it holds. */
  view: (inFlightOf: (model: string) => number) => copyNeeds.UpstreamView | null;
  placed: () => placementViews.PlacedUpstream | null;
  startChange: (change: copyPlan.CopyChange) => void;
  ensureAdapter: (model: string, adapter: string, adaptersMax: number) => Promise<boolean>;
  /** Loads without an answer, which may still begin. */
  lateLoads: () => readonly lateLoads.LateLoad[];
  /** Adapters that are held, or being loaded. */
  adapterCount: () => number;
  hasAdapter: (model: string, adapter: string) => boolean;
  /**
   * What the platform's list says. It may be seconds old, most of all after the store was away: where it
   * differs, the upstream itself is asked. Taken for truth, it would show free places that are none.
   */
  heardList: (record: fleet.UpstreamRecord) => void;
  stop: () => void;
};

/** Some orders in a row may get no answer; a plan is given up only after this. */
const ORDER_PATIENCE_MS = 2_000;
/** What an unload takes when nothing runs there. */
const UNLOAD_MS = 150;
/** How often the requests in flight are looked at, which costs nothing: news of them comes several times a second. */
const RUNS_PAUSE_MS = 50;
/** A copy is in use once a report shows it. */
const REPORTED_AFTER_MS = 300;
/** Longer than the longest stream runs; then the copy that would not go is taken back into use. */
const UNLOAD_PATIENCE_MS = 12_000;
/** Streams that an unload waits for run for seconds: how far its end is put off at a time. */
const DELAY_STEP_MS = 800;
/** Another holder's load takes seconds. */
const FOREIGN_PAUSE_MS = 400;
/** Beyond its usual time a load may be slowed by others; after this it is taken for failed. */
const LOAD_PATIENCE_FACTOR = 4;

type Copy = { adapters: Set<string>; readyAtMs: number; isClosing: boolean };

export function createSteward(record: fleet.UpstreamRecord, deps: StewardDeps): Steward {
  const { clock, log } = deps;
  const { upstreamId, name, address, failureDomain } = record;
  const stopping = new AbortController();
  let copies = new Map<string, Copy>();
  let hostModels = new Set(record.hostModels);
  let diskModels = new Set(record.diskModels);
  let isKnown = false;
  let arriving: { model: string; readyAtMs: number } | null = null;
  let isChanging = false;
  let isStoreLoad = false;
  /** What the change under way unloads. */
  let leaving: string | null = null;
  let isForeignBusy = false;
  let lastListed = record;
  /** Ordered to go; the upstream lists it until its runs have ended. */
  let unloading: string | null = null;
  const places = adapterPlaces.createAdapterPlaces(clock);
  const desk = orderDesks.createOrderDesk({
    ...deps,
    upstreamId,
    target: { name, address },
    onReport: noteReport,
    onAdapterLeaves: places.leaves,
    stopping: stopping.signal,
  });
  const adapterLoading = adapterLoads.createAdapterLoads({
    clock,
    desk,
    places,
    copy: (model) => copies.get(model),
    held: heldAdapters,
    takenCount: takenPlaces,
    isBlocked: () => isChanging || isForeignBusy,
    lastAskedMs: deps.adapterLastAskedMs,
    onChanged: deps.onChanged,
  });

  function inheritedLoads(): readonly lateLoads.LateLoad[] {
    return lateLoads.pending(deps.inheritedLateLoads, clock.nowMs());
  }

  function sleep(durationMs: number): Promise<'elapsed' | 'aborted'> {
    return clocksModule.sleepUntil(clock, clock.nowMs() + durationMs, stopping.signal);
  }

  function takeResident(models: readonly fleet.ResidentModel[]): void {
    const nowMs = clock.nowMs();
    copies = new Map(
      models.map((model): [string, Copy] => {
        const before = copies.get(model.name);
        return [
          model.name,
          {
            adapters: new Set(
              model.adapters.filter((adapter) => !places.isLeaving(model.name, adapter)),
            ),
            readyAtMs: before?.readyAtMs ?? (isKnown ? nowMs : -Infinity),
            isClosing: model.name === unloading,
          },
        ];
      }),
    );
    isKnown = true;
    deps.onChanged();
  }

  function noteReport(report: fleet.UpstreamReport): void {
    if (report.hostModels.length > 0) hostModels = new Set(report.hostModels);
    if (report.diskModels.length > 0) diskModels = new Set(report.diskModels);
    if (!isKnown) {
      log.info('upstream-holds', {
        upstreamId,
        orderCount: report.orderCount,
        models: report.models.map((model) => model.name).join(','),
        adapters: report.models.map(({ adapters }) => adapters.length).join(','),
        host: report.hostModels.join(','),
        disk: report.diskModels.join(','),
      });
    }
    takeResident(report.models);
    places.reported(report);
    noteBusy(report.isBusy);
  }

  /**
   * Failure: an upstream carries out a load that an earlier holder ordered. Symptom: its report lacks the
   * model until it is there, its memory looks free, and the next load crashes it. So nothing is planned
   * for an upstream that is busy with what this holder did not order, until it says that it has done.
   */
  function noteBusy(isBusy: boolean): void {
    const isForeign = isBusy && !isChanging;
    if (isForeign && !isForeignBusy) void awaitForeign();
    isForeignBusy = isForeign;
  }

  async function awaitForeign(): Promise<void> {
    do {
      if ((await sleep(FOREIGN_PAUSE_MS)) === 'aborted') return;
      await desk.inTurn(desk.refresh);
    } while (isForeignBusy);
  }

  async function unload(model: string): Promise<boolean> {
    const copy = copies.get(model);
    if (copy === undefined) return true;
    copy.isClosing = true;
    unloading = model;
    deps.onChanged();
    await sleep(deps.closeNoticeMs());
    const untilMs = clock.nowMs() + ORDER_PATIENCE_MS;
    const sent = await desk.sendUntilTaken({ kind: 'unload-model', model }, untilMs);
    if (sent === 'accepted') return true;
    unloading = null;
    copy.isClosing = false;
    if (sent === 'unknown') await desk.inTurn(desk.refresh);
    deps.onChanged();
    return !copies.has(model);
  }

  /**
   * The upstream refuses all orders while an unload waits for its runs. It is done a little after all gateways have told
   * that their requests have ended, or once a report shows it.
   */
  async function awaitUnloaded(
    model: string,
    untilMs: number,
    onDelayed: () => void,
  ): Promise<void> {
    let reportedMs = clock.nowMs();
    while (clock.nowMs() < untilMs && !stopping.signal.aborted) {
      if (deps.inFlight(model) === 0) {
        await sleep(UNLOAD_MS);
        return;
      }
      if (clock.nowMs() - reportedMs >= orderDesks.BUSY_PAUSE_MS) {
        const report = await desk.inTurn(desk.refresh);
        if (report !== null && !report.isBusy) return;
        reportedMs = clock.nowMs();
        onDelayed();
      }
      await sleep(RUNS_PAUSE_MS);
    }
  }

  async function awaitLoaded(change: copyPlan.CopyChange): Promise<boolean> {
    const startedMs = clock.nowMs();
    const untilMs = startedMs + change.loadMs * LOAD_PATIENCE_FACTOR;
    arriving = { model: change.load, readyAtMs: startedMs + change.loadMs + REPORTED_AFTER_MS };
    deps.onChanged();
    await sleep(change.loadMs);
    while (clock.nowMs() < untilMs && !stopping.signal.aborted) {
      const report = await desk.inTurn(desk.refresh);
      if (report !== null && copies.has(change.load)) return true;
      if (report !== null && !report.isBusy) return false;
      await sleep(orderDesks.REPORT_PAUSE_MS);
    }
    return false;
  }

  /** Whether the plan was made for what the upstream holds, and it is free to carry it out. */
  async function isStillRight(wanted: copyPlan.CopyChange): Promise<boolean> {
    const planned = [...copies.keys()].sort().join(' ');
    const untilMs = clock.nowMs() + orderDesks.CALL_TIMEOUT_MS;
    let report = await desk.inTurn(desk.refresh);
    while (report === null) {
      if (clock.nowMs() >= untilMs || (await sleep(orderDesks.REPORT_PAUSE_MS)) === 'aborted')
        return false;
      report = await desk.inTurn(desk.refresh);
    }
    if (report.isBusy) return false;
    const held = [...copies.keys()].sort().join(' ');
    return planned === held && (wanted.unload === null || copies.has(wanted.unload));
  }

  async function carryOut(wanted: copyPlan.CopyChange): Promise<boolean> {
    if (!(await isStillRight(wanted))) return false;
    if (wanted.unload !== null && !(await unload(wanted.unload))) return false;
    const patienceMs = wanted.unload === null ? ORDER_PATIENCE_MS : UNLOAD_PATIENCE_MS;
    const untilMs = clock.nowMs() + patienceMs;
    const order = { kind: 'load-model', model: wanted.load } as const;
    const onDelayed = (): void => {
      // The runs that the unload waits for last longer: callers are told to come back accordingly.
      const soonestMs = clock.nowMs() + wanted.loadMs + REPORTED_AFTER_MS;
      if (arriving === null || arriving.readyAtMs >= soonestMs) return;
      arriving = { model: wanted.load, readyAtMs: soonestMs + DELAY_STEP_MS };
      deps.onChanged();
    };
    if (isStoreLoad) deps.onStoreLoad(true);
    if (wanted.unload !== null) await awaitUnloaded(wanted.unload, untilMs, onDelayed);
    const sent = await desk.sendUntilTaken(order, untilMs, onDelayed);
    if (sent === 'accepted' && wanted.unload !== null) copies.delete(wanted.unload);
    if (sent === 'unknown' && isStoreLoad) deps.onStoreLoad(false);
    if (sent !== 'accepted') {
      await desk.inTurn(desk.refresh);
      return false;
    }
    return awaitLoaded(wanted);
  }

  function isAlike(listed: fleet.UpstreamRecord): boolean {
    const describe = ({ model, adapters }: { model: string; adapters: Iterable<string> }) =>
      `${model}:${[...adapters].sort().join(',')}`;
    const held = [...copies].map(([model, { adapters }]) => describe({ model, adapters }));
    const told = listed.models.map((resident) =>
      describe({ model: resident.name, adapters: resident.adapters }),
    );
    return held.sort().join(' ') === told.sort().join(' ');
  }

  /** Until when it takes no orders for adapters, as far as that can be told. */
  function blockedUntilMs(): number {
    if (isChanging) return arriving?.readyAtMs ?? 0;
    if (isForeignBusy) return clock.nowMs() + FOREIGN_PAUSE_MS;
    const refusedUntilMs = adapterLoading.refusedUntilMs();
    return refusedUntilMs > clock.nowMs() ? refusedUntilMs : 0;
  }

  function heldAdapters(): { model: string; adapter: string }[] {
    return [...copies].flatMap(([model, { adapters }]) =>
      [...adapters].map((adapter) => ({ model, adapter })),
    );
  }

  function takenPlaces(): number {
    const late = inheritedLoads().flatMap(({ model, adapter }) =>
      adapter === null ? [] : [{ model, adapter }],
    );
    return places.takenCount([...heldAdapters(), ...late]);
  }

  /** Room for models that nobody can use, and that may come all the same. */
  function lateCopies(): copyNeeds.CopyView[] {
    return inheritedLoads()
      .filter(({ model, adapter }) => adapter === null && !copies.has(model))
      .map(({ model }) => ({
        model,
        inFlightCount: 0,
        isClosing: true,
        readyAtMs: -Infinity,
      }));
  }

  void desk.inTurn(desk.refresh);

  return {
    upstreamId,
    name,
    view: (inFlightOf) => {
      if (!isKnown) return null;
      return {
        upstreamId,
        failureDomain,
        hostModels,
        diskModels,
        isChanging: isChanging || isForeignBusy,
        arriving: arriving?.model ?? null,
        isLoadingFromStore: isChanging && isStoreLoad,
        isLoadingAdapters: adapterLoading.loadingCount() > 0,
        freeAtMs: isChanging ? (arriving?.readyAtMs ?? null) : null,
        copies: [...copies]
          .map(([model, copy]) => ({
            model,
            // Also while its unload is only planned: the next plan must not take another copy of it as well.
            isClosing: copy.isClosing || model === leaving,
            readyAtMs: copy.readyAtMs,
            inFlightCount: inFlightOf(model),
          }))
          .concat(lateCopies()),
      };
    },
    placed: () =>
      isKnown
        ? {
            blockedUntilMs: blockedUntilMs(),
            arrival: arriving === null ? null : { service: record.service, ...arriving },
            copies: [...copies].map(([model, { adapters, isClosing }]) => ({
              model,
              adapters: [...adapters],
              isClosing,
            })),
          }
        : null,
    lateLoads: () => [...inheritedLoads(), ...desk.lateLoads()],
    adapterCount: () => takenPlaces() + adapterLoading.loadingCount() - places.arrivingCount(),
    hasAdapter: (model, adapter) =>
      copies.get(model)?.adapters.has(adapter) === true || adapterLoading.isLoading(model, adapter),
    startChange: (wanted) => {
      isChanging = true;
      isStoreLoad = wanted.level === 'store';
      leaving = wanted.unload;
      const unloadMs = wanted.unload === null ? 0 : deps.closeNoticeMs() + UNLOAD_MS;
      const readyAtMs = clock.nowMs() + unloadMs + wanted.loadMs + REPORTED_AFTER_MS;
      arriving = { model: wanted.load, readyAtMs };
      deps.onChanged();
      log.info('change-started', {
        upstreamId,
        load: wanted.load,
        unload: wanted.unload ?? undefined,
        loadFrom: wanted.level,
      });
      const startedMs = clock.nowMs();
      void carryOut(wanted)
        .catch((cause: unknown) => {
          log.error('change-broken', { upstreamId, reason: String(cause) });
          return false;
        })
        .then((isDone) => {
          isChanging = false;
          void desk.inTurn(desk.refresh);
          desk.noteChanged();
          unloading = null;
          leaving = null;
          arriving = null;
          const tookMs = Math.round(clock.nowMs() - startedMs);
          deps.metrics.changeEnded(wanted.level, isDone, tookMs);
          log.info('change-ended', { upstreamId, load: wanted.load, isDone, tookMs });
          deps.onChanged();
        });
    },
    ensureAdapter: adapterLoading.ensure,
    heardList: (listed) => {
      // While the store is away the same old record is seen again and again.
      if (listed === lastListed) return;
      lastListed = listed;
      if (listed.hostModels.length > 0) hostModels = new Set(listed.hostModels);
      if (listed.diskModels.length > 0) diskModels = new Set(listed.diskModels);
      if (isKnown && !isChanging && !isAlike(listed)) void desk.inTurn(desk.refresh);
    },
    stop: () => stopping.abort(),
  };
}
