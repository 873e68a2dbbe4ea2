/**
 * Tracks what one upstream holds and carries out planned changes of its copies: drains and unloads the copy that is
 * evicted, loads the new one and waits until it is ready. The same memory is never assigned to two loads.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';

import type * as copyNeeds from '../../shared/placement/copy-needs.js';
import type * as copyPlan from '../../shared/placement/copy-plan.js';
import * as lateLoads from '../../shared/placement/late-loads.js';
import type * as placementViews from '../../shared/placement/placement-view.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamSignals from '../forwarding/upstream-signals.js';
import type * as metricsModule from '../metrics/metrics.js';
import * as adapterLoads from './adapter-loads.js';
import * as adapterSlots from './adapter-slots.js';
import * as orderQueues from './order-queue.js';

export type CopyControllerDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  signals: Pick<upstreamSignals.UpstreamSignals, 'applyReport'>;
  holderId: string;
  /** The term for orders given now; null while none may be given. */
  orderTerm: () => number | null;
  onFenced: () => void;
  /** A load from the weight store begins, or may still begin (`isCertain` false) after an order without an answer. */
  onStoreLoad: (isCertain: boolean) => void;
  /** When an adapter was last requested; the least recently requested one is evicted. */
  adapterLastRequestedMs: (model: string, adapter: string) => number;
  onChanged: () => void;
  /** Time until all gateways know that a copy is draining; requests that they sent before have arrived by then. */
  drainNoticeMs: () => number;
  /** Requests in flight for the model at this upstream, as reported by all gateways. */
  inFlight: (model: string) => number;
  /** Late loads of the upstream's previous process, when it has restarted under the same name. */
  inheritedLateLoads: readonly lateLoads.LateLoad[];
  metrics: Pick<metricsModule.GatewayMetrics, 'orderGiven' | 'changeEnded'>;
};

export type CopyController = {
  upstreamId: string;
  /** The upstream's name on the platform, which stays the same when it restarts. */
  name: string;
  /** Null until the upstream has reported what it holds. */
  view: (inFlightOf: (model: string) => number) => copyNeeds.UpstreamView | null;
  placed: () => placementViews.PlacedUpstream | null;
  startChange: (change: copyPlan.CopyChange) => void;
  ensureAdapter: (model: string, adapter: string, adaptersMax: number) => Promise<boolean>;
  /** Load orders that got no answer and may still be carried out. */
  lateLoads: () => readonly lateLoads.LateLoad[];
  /** Adapters that are loaded or being loaded, and those that a late order may still load. */
  adapterCount: () => number;
  hasAdapter: (model: string, adapter: string) => boolean;
  /**
   * Takes over the upstream's entry of the platform's list. The entry may be seconds old, most of all after an outage
   * of the store, and would show slots as free that are in use: where it differs, a report is requested from the
   * upstream.
   */
  applyList: (record: fleet.UpstreamRecord) => void;
  stop: () => void;
};

/** Several orders in a row may get no answer; a change is given up only after this time. */
const ORDER_ACCEPT_TIMEOUT_MS = 2_000;
/** Duration of an unload while no requests use the copy. */
const UNLOAD_MS = 150;
/** Interval at which the count of requests in flight is read, which is local: it is updated several times a second. */
const IN_FLIGHT_POLL_MS = 50;
/** Added to the load time: a copy can be used only once a report shows it. */
const REPORT_DELAY_MS = 300;
/** Longer than the longest stream; after it the change is given up, and a copy that is still loaded is used again. */
const UNLOAD_TIMEOUT_MS = 12_000;
/** Step by which the expected ready time is postponed while an unload waits for streams, which may run for seconds. */
const DELAY_STEP_MS = 800;
/** Interval at which an upstream that carries out another holder's order is polled: a load takes seconds. */
const FOREIGN_POLL_MS = 400;
/** Other loads may slow a load down; after this multiple of its expected time it counts as failed. */
const LOAD_TIMEOUT_FACTOR = 4;

type Copy = { adapters: Set<string>; readyAtMs: number; isClosing: boolean };

export function createCopyController(
  record: fleet.UpstreamRecord,
  deps: CopyControllerDeps,
): CopyController {
  const { clock, log } = deps;
  const { upstreamId, name, address, failureDomain } = record;
  const stopping = new AbortController();
  let copies = new Map<string, Copy>();
  let hostModels = new Set(record.hostModels);
  let diskModels = new Set(record.diskModels);
  let isKnown = false;
  let loading: { model: string; readyAtMs: number } | null = null;
  let isChanging = false;
  let isStoreLoad = false;
  /** The model that the change in progress unloads; null if it unloads none. */
  let plannedUnload: string | null = null;
  /** Whether the upstream carries out an order that this gateway did not give. */
  let isForeignBusy = false;
  let lastListed = record;
  /** The model being drained and unloaded; the upstream lists it until its running requests have ended. */
  let drainingModel: string | null = null;
  const slots = adapterSlots.createAdapterSlots(clock);
  const orderQueue = orderQueues.createOrderQueue({
    ...deps,
    upstreamId,
    target: { name, address },
    onReport: applyReport,
    onAdapterUnloading: slots.unloadOrdered,
    stopping: stopping.signal,
  });
  const adapterLoading = adapterLoads.createAdapterLoads({
    clock,
    desk: orderQueue,
    slots,
    copy: (model) => copies.get(model),
    held: heldAdapters,
    takenCount: takenSlotCount,
    isBlocked: () => isChanging || isForeignBusy,
    lastRequestedMs: deps.adapterLastRequestedMs,
    onChanged: deps.onChanged,
  });

  function inheritedLoads(): readonly lateLoads.LateLoad[] {
    return lateLoads.pending(deps.inheritedLateLoads, clock.nowMs());
  }

  function sleep(durationMs: number): Promise<'elapsed' | 'aborted'> {
    return clocksModule.sleepUntil(clock, clock.nowMs() + durationMs, stopping.signal);
  }

  function applyResidents(models: readonly fleet.ResidentModel[]): void {
    const nowMs = clock.nowMs();
    copies = new Map(
      models.map((model): [string, Copy] => {
        const before = copies.get(model.name);
        return [
          model.name,
          {
            adapters: new Set(
              model.adapters.filter((adapter) => !slots.isLeaving(model.name, adapter)),
            ),
            readyAtMs: before?.readyAtMs ?? (isKnown ? nowMs : -Infinity),
            isClosing: model.name === drainingModel,
          },
        ];
      }),
    );
    isKnown = true;
    deps.onChanged();
  }

  function applyReport(report: fleet.UpstreamReport): void {
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
    applyResidents(report.models);
    slots.applyReport(report);
    noteBusy(report.isBusy);
  }

  /**
   * While an upstream carries out a load that an earlier holder ordered, its reports lack the model, so its memory
   * looks free and another load would crash it. Therefore nothing is planned for an upstream that is busy with an order
   * of another holder until it reports that it has finished.
   */
  function noteBusy(isBusy: boolean): void {
    const isForeign = isBusy && !isChanging;
    if (isForeign && !isForeignBusy) void awaitForeign();
    isForeignBusy = isForeign;
  }

  async function awaitForeign(): Promise<void> {
    do {
      if ((await sleep(FOREIGN_POLL_MS)) === 'aborted') return;
      await orderQueue.enqueue(orderQueue.refresh);
    } while (isForeignBusy);
  }

  async function unload(model: string): Promise<boolean> {
    const copy = copies.get(model);
    if (copy === undefined) return true;
    copy.isClosing = true;
    drainingModel = model;
    deps.onChanged();
    await sleep(deps.drainNoticeMs());
    const untilMs = clock.nowMs() + ORDER_ACCEPT_TIMEOUT_MS;
    const sent = await orderQueue.sendUntilTaken({ kind: 'unload-model', model }, untilMs);
    if (sent === 'accepted') return true;
    drainingModel = null;
    copy.isClosing = false;
    if (sent === 'unknown') await orderQueue.enqueue(orderQueue.refresh);
    deps.onChanged();
    return !copies.has(model);
  }

  /**
   * The upstream refuses all orders while an unload waits for running requests. The unload is done shortly after all
   * gateways have reported that their requests have ended, or once a report shows it.
   */
  async function awaitUnloaded(
    model: string,
    untilMs: number,
    onDelayed: () => void,
  ): Promise<void> {
    let lastReportMs = clock.nowMs();
    while (clock.nowMs() < untilMs && !stopping.signal.aborted) {
      if (deps.inFlight(model) === 0) {
        await sleep(UNLOAD_MS);
        return;
      }
      if (clock.nowMs() - lastReportMs >= orderQueues.BUSY_POLL_MS) {
        const report = await orderQueue.enqueue(orderQueue.refresh);
        if (report !== null && !report.isBusy) return;
        lastReportMs = clock.nowMs();
        onDelayed();
      }
      await sleep(IN_FLIGHT_POLL_MS);
    }
  }

  async function awaitLoaded(change: copyPlan.CopyChange): Promise<boolean> {
    const startedMs = clock.nowMs();
    const untilMs = startedMs + change.loadMs * LOAD_TIMEOUT_FACTOR;
    loading = { model: change.load, readyAtMs: startedMs + change.loadMs + REPORT_DELAY_MS };
    deps.onChanged();
    await sleep(change.loadMs);
    while (clock.nowMs() < untilMs && !stopping.signal.aborted) {
      const report = await orderQueue.enqueue(orderQueue.refresh);
      if (report !== null && copies.has(change.load)) return true;
      if (report !== null && !report.isBusy) return false;
      await sleep(orderQueues.REPORT_POLL_MS);
    }
    return false;
  }

  /** Whether the upstream still holds what the change was planned for and is free to carry it out. */
  async function isPlanCurrent(change: copyPlan.CopyChange): Promise<boolean> {
    const planned = [...copies.keys()].sort().join(' ');
    const untilMs = clock.nowMs() + orderQueues.CALL_TIMEOUT_MS;
    let report = await orderQueue.enqueue(orderQueue.refresh);
    while (report === null) {
      if (clock.nowMs() >= untilMs || (await sleep(orderQueues.REPORT_POLL_MS)) === 'aborted')
        return false;
      report = await orderQueue.enqueue(orderQueue.refresh);
    }
    if (report.isBusy) return false;
    const held = [...copies.keys()].sort().join(' ');
    return planned === held && (change.unload === null || copies.has(change.unload));
  }

  async function carryOut(change: copyPlan.CopyChange): Promise<boolean> {
    if (!(await isPlanCurrent(change))) return false;
    if (change.unload !== null && !(await unload(change.unload))) return false;
    const timeoutMs = change.unload === null ? ORDER_ACCEPT_TIMEOUT_MS : UNLOAD_TIMEOUT_MS;
    const untilMs = clock.nowMs() + timeoutMs;
    const order = { kind: 'load-model', model: change.load } as const;
    const onDelayed = (): void => {
      // The unload still waits for running requests: callers get a later retry time.
      const earliestReadyMs = clock.nowMs() + change.loadMs + REPORT_DELAY_MS;
      if (loading === null || loading.readyAtMs >= earliestReadyMs) return;
      loading = { model: change.load, readyAtMs: earliestReadyMs + DELAY_STEP_MS };
      deps.onChanged();
    };
    if (isStoreLoad) deps.onStoreLoad(true);
    if (change.unload !== null) await awaitUnloaded(change.unload, untilMs, onDelayed);
    const sent = await orderQueue.sendUntilTaken(order, untilMs, onDelayed);
    if (sent === 'accepted' && change.unload !== null) copies.delete(change.unload);
    if (sent === 'unknown' && isStoreLoad) deps.onStoreLoad(false);
    if (sent !== 'accepted') {
      await orderQueue.enqueue(orderQueue.refresh);
      return false;
    }
    return awaitLoaded(change);
  }

  function matchesHeld(listed: fleet.UpstreamRecord): boolean {
    const describe = ({ model, adapters }: { model: string; adapters: Iterable<string> }) =>
      `${model}:${[...adapters].sort().join(',')}`;
    const held = [...copies].map(([model, { adapters }]) => describe({ model, adapters }));
    const listedModels = listed.models.map((resident) =>
      describe({ model: resident.name, adapters: resident.adapters }),
    );
    return held.sort().join(' ') === listedModels.sort().join(' ');
  }

  /** Until when the upstream is expected to refuse orders for adapters; 0 if it accepts them. */
  function blockedUntilMs(): number {
    if (isChanging) return loading?.readyAtMs ?? 0;
    if (isForeignBusy) return clock.nowMs() + FOREIGN_POLL_MS;
    const refusedUntilMs = adapterLoading.backoffUntilMs();
    return refusedUntilMs > clock.nowMs() ? refusedUntilMs : 0;
  }

  function heldAdapters(): { model: string; adapter: string }[] {
    return [...copies].flatMap(([model, { adapters }]) =>
      [...adapters].map((adapter) => ({ model, adapter })),
    );
  }

  function takenSlotCount(): number {
    const late = inheritedLoads().flatMap(({ model, adapter }) =>
      adapter === null ? [] : [{ model, adapter }],
    );
    return slots.takenCount([...heldAdapters(), ...late]);
  }

  /** Keeps memory reserved for late loads: models that may still be loaded, but that no request uses. */
  function copiesOfLateLoads(): copyNeeds.CopyView[] {
    return inheritedLoads()
      .filter(({ model, adapter }) => adapter === null && !copies.has(model))
      .map(({ model }) => ({
        model,
        inFlightCount: 0,
        isClosing: true,
        readyAtMs: -Infinity,
      }));
  }

  void orderQueue.enqueue(orderQueue.refresh);

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
        loadingModel: loading?.model ?? null,
        isLoadingFromStore: isChanging && isStoreLoad,
        isLoadingAdapters: adapterLoading.loadingCount() > 0,
        freeAtMs: isChanging ? (loading?.readyAtMs ?? null) : null,
        copies: [...copies]
          .map(([model, copy]) => ({
            model,
            // Also while the unload is only planned, so that the next plan does not evict another copy of the model.
            isClosing: copy.isClosing || model === plannedUnload,
            readyAtMs: copy.readyAtMs,
            inFlightCount: inFlightOf(model),
          }))
          .concat(copiesOfLateLoads()),
      };
    },
    placed: () =>
      isKnown
        ? {
            blockedUntilMs: blockedUntilMs(),
            arrival: loading === null ? null : { service: record.service, ...loading },
            copies: [...copies].map(([model, { adapters, isClosing }]) => ({
              model,
              adapters: [...adapters],
              isClosing,
            })),
          }
        : null,
    lateLoads: () => [...inheritedLoads(), ...orderQueue.lateLoads()],
    adapterCount: () => takenSlotCount() + adapterLoading.loadingCount() - slots.loadingCount(),
    hasAdapter: (model, adapter) =>
      copies.get(model)?.adapters.has(adapter) === true || adapterLoading.isLoading(model, adapter),
    startChange: (wanted) => {
      isChanging = true;
      isStoreLoad = wanted.level === 'store';
      plannedUnload = wanted.unload;
      const unloadMs = wanted.unload === null ? 0 : deps.drainNoticeMs() + UNLOAD_MS;
      const readyAtMs = clock.nowMs() + unloadMs + wanted.loadMs + REPORT_DELAY_MS;
      loading = { model: wanted.load, readyAtMs };
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
          void orderQueue.enqueue(orderQueue.refresh);
          orderQueue.noteChanged();
          drainingModel = null;
          plannedUnload = null;
          loading = null;
          const tookMs = Math.round(clock.nowMs() - startedMs);
          deps.metrics.changeEnded(wanted.level, isDone, tookMs);
          log.info('change-ended', { upstreamId, load: wanted.load, isDone, tookMs });
          deps.onChanged();
        });
    },
    ensureAdapter: adapterLoading.ensure,
    applyList: (listed) => {
      // During an outage of the store the same record is passed again and again.
      if (listed === lastListed) return;
      lastListed = listed;
      if (listed.hostModels.length > 0) hostModels = new Set(listed.hostModels);
      if (listed.diskModels.length > 0) diskModels = new Set(listed.diskModels);
      if (isKnown && !isChanging && !matchesHeld(listed))
        void orderQueue.enqueue(orderQueue.refresh);
    },
    stop: () => stopping.abort(),
  };
}
