/**
 * Gives one upstream its orders, one at a time, and keeps what it holds. Every order says after how many
 * others it counts, so that one which is carried out late, after newer ones, is void: what an upstream
 * holds follows from the orders that it has taken, and memory is never promised twice.
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
import type * as metricsModule from '../metrics/metrics.js';
import * as adapterPlaces from './adapter-places.js';

export type StewardDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  control: dialects.UpstreamControl;
  holderId: string;
  /** The term for orders given now; null while none may be given. */
  orderTerm: () => number | null;
  onFenced: () => void;
  onStoreLoad: (isCertain: boolean) => void;
  /** When an adapter was last asked for, to choose the one that gives way. */
  adapterLastAskedMs: (model: string, adapter: string) => number;
  onChanged: () => void;
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

/** Answers come within a round trip; more is an upstream that does not answer. */
const CALL_TIMEOUT_MS = 700;
/** An order that gets no answer is sent again: its count voids whichever of the two comes second. */
const ORDER_TIMEOUT_MS = 300;
/** Some orders in a row may get no answer; a plan is given up only after this. */
const ORDER_PATIENCE_MS = 2_000;
/** Gateways learn of a closing copy with their next exchange; requests sent before are at the upstream then. */
const CLOSE_NOTICE_MS = 300;
/** What an unload takes when nothing runs there. */
const UNLOAD_MS = 150;
/** A copy is in use once a report shows it. */
const REPORTED_AFTER_MS = 300;
/** An unload waits for its runs; how often the load behind it is tried. */
const FIRST_RETRY_MS = 40;
const LONGEST_RETRY_MS = 250;
/** Longer than the longest stream runs; then the copy that would not go is taken back into use. */
const UNLOAD_PATIENCE_MS = 12_000;
/** Reports are some hundred milliseconds old; asked more often they say the same again. */
const REPORT_PAUSE_MS = 150;
const REPORT_LAG_MS = 1_000;
/** Streams that an unload waits for run for seconds: how far its end is put off at a time. */
const DELAY_STEP_MS = 800;
/** Another holder's load takes seconds. */
const FOREIGN_PAUSE_MS = 400;
/** Beyond its usual time a load may be slowed by others; after this it is taken for failed. */
const LOAD_PATIENCE_FACTOR = 4;
/** An adapter loads within 30 ms while the store is not crowded. */
const ADAPTER_LOAD_MS = 32;
/** A report may be some orders old; the next one is not. */
const ADAPTER_TRIES = 3;

type Copy = { adapters: Set<string>; readyAtMs: number; isClosing: boolean };

/** `pending`: taken, and done once the requests that use it have ended. */
type Sent = 'accepted' | 'pending' | 'conflict' | 'unknown' | 'not-allowed';

export function createSteward(record: fleet.UpstreamRecord, deps: StewardDeps): Steward {
  const { clock, log } = deps;
  const { upstreamId, name, address, failureDomain } = record;
  const target: dialects.OrderTarget = { name, address };
  const stopping = new AbortController();
  let copies = new Map<string, Copy>();
  let hostModels = new Set(record.hostModels);
  let diskModels = new Set(record.diskModels);
  let isKnown = false;
  /** Orders taken by the upstream; null when that has to be asked. */
  let orderCount: number | null = null;
  /** A report that counts fewer is older than what is known already. */
  let leastOrderCount = 0;
  let lastOrderMs = -Infinity;
  let arriving: { model: string; readyAtMs: number } | null = null;
  let isChanging = false;
  let isStoreLoad = false;
  /** What the change under way unloads. */
  let leaving: string | null = null;
  let isForeignBusy = false;
  let lastListed = record;
  /** Ordered to go; the upstream lists it until its runs have ended. */
  let unloading: string | null = null;
  /** Orders and reports are sent one after the other. */
  let turn: Promise<unknown> = Promise.resolve();
  const places = adapterPlaces.createAdapterPlaces(clock);
  const adapterLoads = new Map<string, Promise<boolean>>();
  let ownLateLoads: readonly lateLoads.LateLoad[] = [];

  function inheritedLoads(): readonly lateLoads.LateLoad[] {
    return lateLoads.pending(deps.inheritedLateLoads, clock.nowMs());
  }

  function noteUnanswered(order: dialects.Order): void {
    orderCount = null;
    const late = lateLoads.toLateLoad(order, clock.nowMs());
    if (late !== null) ownLateLoads = [...lateLoads.pending(ownLateLoads, clock.nowMs()), late];
  }

  function inTurn<Value>(task: () => Promise<Value>): Promise<Value> {
    const done = turn.then(task);
    turn = done.catch((cause: unknown) => {
      log.error('steward-broken', { upstreamId, reason: String(cause) });
    });
    return done;
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

  /** Asks what the upstream holds; a report older than our own orders is asked for again. */
  async function refresh(): Promise<fleet.UpstreamReport | null> {
    const report = await deps.control.report(target, clock.nowMs() + CALL_TIMEOUT_MS);
    if (report.err) {
      log.warn('report-missing', { upstreamId, reason: report.val.reason });
      return null;
    }
    const mayBeOld = clock.nowMs() - lastOrderMs < REPORT_LAG_MS;
    if (mayBeOld && report.val.orderCount < leastOrderCount) return null;
    orderCount = report.val.orderCount;
    if (report.val.hostModels.length > 0) hostModels = new Set(report.val.hostModels);
    if (report.val.diskModels.length > 0) diskModels = new Set(report.val.diskModels);
    if (!isKnown) {
      log.info('upstream-holds', {
        upstreamId,
        orderCount,
        models: report.val.models.map((model) => model.name).join(','),
        adapters: report.val.models.map(({ adapters }) => adapters.length).join(','),
        host: report.val.hostModels.join(','),
        disk: report.val.diskModels.join(','),
      });
    }
    takeResident(report.val.models);
    places.reported(report.val);
    noteBusy(report.val.isBusy);
    return report.val;
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
      await inTurn(refresh);
    } while (isForeignBusy);
  }

  async function ensureKnown(): Promise<boolean> {
    if (orderCount !== null) return true;
    return (await refresh()) !== null;
  }

  function noteOutcome(order: dialects.Order, outcome: dialects.OrderOutcome): Sent {
    switch (outcome.kind) {
      case 'accepted':
        orderCount = (orderCount ?? 0) + 1;
        leastOrderCount = orderCount;
        if (order.kind !== 'unload-adapter') return 'accepted';
        places.leaves(order.model, order.adapter);
        return 'pending';
      case 'holds-already':
        // An adapter that nobody uses goes at once, which counts as an order taken; one that had gone
        // before does not. The next report tells.
        if (order.kind === 'unload-adapter') orderCount = (orderCount ?? 0) + 1;
        return 'accepted';
      case 'conflict':
        return 'conflict';
      case 'fenced':
        deps.onFenced();
        return 'not-allowed';
      case 'other-upstream':
      case 'invalid':
        orderCount = null;
        return 'not-allowed';
    }
  }

  async function send(order: dialects.Order): Promise<Sent> {
    if (!(await ensureKnown())) return 'unknown';
    const term = deps.orderTerm();
    if (term === null || stopping.signal.aborted) return 'not-allowed';
    const expectedOrderCount = orderCount ?? 0;
    const context = { holderId: deps.holderId, fence: term, expectedOrderCount };
    const answer = await deps.control.order(
      target,
      order,
      context,
      clock.nowMs() + ORDER_TIMEOUT_MS,
    );
    lastOrderMs = clock.nowMs();
    const result = answer.ok ? noteOutcome(order, answer.val) : 'unknown';
    if (answer.err) noteUnanswered(order);
    deps.metrics.orderGiven(order.kind, answer.ok ? answer.val.kind : 'unknown');
    log.info('order-given', {
      upstreamId,
      order: order.kind,
      model: order.model,
      adapter: 'adapter' in order ? order.adapter : undefined,
      term,
      expectedOrderCount,
      outcome: answer.ok ? answer.val.kind : answer.val.reason,
    });
    return result;
  }

  /**
   * Sends an order that was planned when the upstream had taken `plannedCount` orders. Failure: the answer to an
   * order is lost, and the count that is asked for next has grown by an order of another's. Symptom: a load on
   * top of one that nobody planned with.
   */
  async function sendPlanned(
    order: dialects.Order,
    plannedCount: number | null,
  ): Promise<Sent | 'overtaken'> {
    if (!(await ensureKnown())) return 'unknown';
    if (plannedCount !== null && orderCount !== plannedCount) return 'overtaken';
    return send(order);
  }

  /**
   * Sends until the upstream takes it: behind an unload, that is when the unload is done. Given up once
   * the upstream has taken someone else's order, since the plan was made before that.
   */
  async function sendUntilTaken(
    order: dialects.Order,
    untilMs: number,
    onDelayed = () => {},
  ): Promise<Sent> {
    const plannedCount = orderCount;
    let waitMs = FIRST_RETRY_MS;
    for (;;) {
      const sent = await inTurn(() => sendPlanned(order, plannedCount));
      if (sent === 'overtaken') return 'conflict';
      if (sent === 'accepted' || sent === 'pending' || sent === 'not-allowed') return sent;
      if (clock.nowMs() >= untilMs || stopping.signal.aborted) return sent;
      onDelayed();
      await sleep(sent === 'unknown' ? REPORT_PAUSE_MS : waitMs);
      waitMs = Math.min(LONGEST_RETRY_MS, waitMs * 2);
      if (waitMs >= LONGEST_RETRY_MS) await inTurn(refresh);
    }
  }

  async function unload(model: string): Promise<boolean> {
    const copy = copies.get(model);
    if (copy === undefined) return true;
    copy.isClosing = true;
    unloading = model;
    deps.onChanged();
    await sleep(CLOSE_NOTICE_MS);
    const untilMs = clock.nowMs() + ORDER_PATIENCE_MS;
    const sent = await sendUntilTaken({ kind: 'unload-model', model }, untilMs);
    if (sent === 'accepted') return true;
    unloading = null;
    copy.isClosing = false;
    if (sent === 'unknown') await inTurn(refresh);
    deps.onChanged();
    return !copies.has(model);
  }

  async function awaitLoaded(change: copyPlan.CopyChange): Promise<boolean> {
    const startedMs = clock.nowMs();
    const untilMs = startedMs + change.loadMs * LOAD_PATIENCE_FACTOR;
    arriving = { model: change.load, readyAtMs: startedMs + change.loadMs + REPORTED_AFTER_MS };
    deps.onChanged();
    await sleep(change.loadMs);
    while (clock.nowMs() < untilMs && !stopping.signal.aborted) {
      const report = await inTurn(refresh);
      if (report !== null && copies.has(change.load)) return true;
      if (report !== null && !report.isBusy) return false;
      await sleep(REPORT_PAUSE_MS);
    }
    return false;
  }

  /** Whether the plan was made for what the upstream holds, and it is free to carry it out. */
  async function isStillRight(wanted: copyPlan.CopyChange): Promise<boolean> {
    const planned = [...copies.keys()].sort().join(' ');
    const untilMs = clock.nowMs() + CALL_TIMEOUT_MS;
    let report = await inTurn(refresh);
    while (report === null) {
      if (clock.nowMs() >= untilMs || (await sleep(REPORT_PAUSE_MS)) === 'aborted') return false;
      report = await inTurn(refresh);
    }
    if (report.isBusy) return false;
    const held = [...copies.keys()].sort().join(' ');
    return planned === held && (wanted.unload === null || copies.has(wanted.unload));
  }

  async function carryOut(wanted: copyPlan.CopyChange): Promise<boolean> {
    if (!(await isStillRight(wanted))) return false;
    if (wanted.unload !== null && !(await unload(wanted.unload))) return false;
    const patienceMs = wanted.unload === null ? ORDER_PATIENCE_MS : UNLOAD_PATIENCE_MS;
    const order = { kind: 'load-model', model: wanted.load } as const;
    if (isStoreLoad) deps.onStoreLoad(true);
    const sent = await sendUntilTaken(order, clock.nowMs() + patienceMs, () => {
      // The runs that the unload waits for last longer: callers are told to come back accordingly.
      const soonestMs = clock.nowMs() + wanted.loadMs + REPORTED_AFTER_MS;
      if (arriving === null || arriving.readyAtMs >= soonestMs) return;
      arriving = { model: wanted.load, readyAtMs: soonestMs + DELAY_STEP_MS };
      deps.onChanged();
    });
    if (sent === 'accepted' && wanted.unload !== null) copies.delete(wanted.unload);
    if (sent === 'unknown' && isStoreLoad) deps.onStoreLoad(false);
    if (sent !== 'accepted') {
      await inTurn(refresh);
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
    return isForeignBusy ? clock.nowMs() + FOREIGN_PAUSE_MS : 0;
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

  /** Makes one place free, at the cost of the adapter that was asked for longest ago. */
  async function freeAdapterPlace(): Promise<boolean> {
    const lastAskedMs = (held: { model: string; adapter: string }) =>
      deps.adapterLastAskedMs(held.model, held.adapter);
    const oldest = heldAdapters().sort((a, b) => lastAskedMs(a) - lastAskedMs(b))[0];
    if (oldest === undefined) return false;
    copies.get(oldest.model)?.adapters.delete(oldest.adapter);
    deps.onChanged();
    const sent = await send({ kind: 'unload-adapter', ...oldest });
    // What was not taken may be in its place still.
    if (sent !== 'accepted' && sent !== 'pending') {
      copies.get(oldest.model)?.adapters.add(oldest.adapter);
    }
    return sent === 'accepted';
  }

  /** Orders the load, with as many tries as a report that is some orders old needs. */
  async function orderAdapter(
    model: string,
    adapter: string,
    adaptersMax: number,
  ): Promise<boolean> {
    for (let tries = 0; tries < ADAPTER_TRIES; tries += 1) {
      // Places are counted by what the upstream holds at this count of orders; a later look may find others.
      await ensureKnown();
      const copy = copies.get(model);
      // While it loads a model it refuses orders for adapters.
      if (copy === undefined || copy.isClosing || isChanging || isForeignBusy) return false;
      if (copy.adapters.has(adapter)) return true;
      const isFull = takenPlaces() >= adaptersMax;
      const hasRoom = orderCount !== null && (!isFull || (await freeAdapterPlace()));
      const sent = hasRoom ? await send({ kind: 'load-adapter', model, adapter }) : 'conflict';
      if (sent === 'accepted') return true;
      if (sent === 'not-allowed') return false;
      await sleep(REPORT_PAUSE_MS);
      await refresh();
    }
    return false;
  }

  async function loadAdapter(
    model: string,
    adapter: string,
    adaptersMax: number,
  ): Promise<boolean> {
    const isOrdered = await inTurn(async () => {
      const isTaken = await orderAdapter(model, adapter, adaptersMax);
      if (isTaken) places.arrives(model, adapter);
      return isTaken;
    });
    if (!isOrdered) return false;
    await sleep(ADAPTER_LOAD_MS);
    places.arrived(model, adapter);
    copies.get(model)?.adapters.add(adapter);
    deps.onChanged();
    return true;
  }

  void inTurn(refresh);

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
    lateLoads: () => [...inheritedLoads(), ...lateLoads.pending(ownLateLoads, clock.nowMs())],
    adapterCount: () => takenPlaces() + adapterLoads.size - places.arrivingCount(),
    hasAdapter: (model, adapter) =>
      copies.get(model)?.adapters.has(adapter) === true || adapterLoads.has(`${model}/${adapter}`),
    startChange: (wanted) => {
      isChanging = true;
      isStoreLoad = wanted.level === 'store';
      leaving = wanted.unload;
      const unloadMs = wanted.unload === null ? 0 : CLOSE_NOTICE_MS + UNLOAD_MS;
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
          void inTurn(refresh);
          lastOrderMs = clock.nowMs();
          unloading = null;
          leaving = null;
          arriving = null;
          const tookMs = Math.round(clock.nowMs() - startedMs);
          deps.metrics.changeEnded(wanted.level, isDone, tookMs);
          log.info('change-ended', { upstreamId, load: wanted.load, isDone, tookMs });
          deps.onChanged();
        });
    },
    ensureAdapter: (model, adapter, adaptersMax) => {
      if (copies.get(model)?.adapters.has(adapter) === true) return Promise.resolve(true);
      const key = `${model}/${adapter}`;
      const running = adapterLoads.get(key);
      if (running !== undefined) return running;
      const load = loadAdapter(model, adapter, adaptersMax).finally(() => adapterLoads.delete(key));
      adapterLoads.set(key, load);
      return load;
    },
    heardList: (listed) => {
      // While the store is away the same old record is seen again and again.
      if (listed === lastListed) return;
      lastListed = listed;
      if (listed.hostModels.length > 0) hostModels = new Set(listed.hostModels);
      if (listed.diskModels.length > 0) diskModels = new Set(listed.diskModels);
      if (isKnown && !isChanging && !isAlike(listed)) void inTurn(refresh);
    },
    stop: () => stopping.abort(),
  };
}
