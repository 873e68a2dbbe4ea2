/** The copies in an engine's memory: this agent alone orders loads and unloads. */
import type { schema } from '@copperlever/configuration';
import { clocks, type logs, type metrics, results } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import * as needs from '../../shared/needs.js';
import type * as upstreams from '../../types/upstreams.js';
import type * as orders from '../orders/types.js';
import * as copyTimes from './copy-times.js';
import * as holdsModule from './holds.js';
import * as planModule from './plan.js';
import * as reportReaders from './report-reader.js';
import type * as types from './types.js';
import * as wantsModule from './wants.js';

/** The engine is asked this often while a change is under way, and when nothing is. */
const CHANGING_REPORT_MS = 50;
const IDLE_REPORT_MS = 2_000;
const LEAST_PAUSE_MS = 5;
/** Callers refused for memory come back after this: a few loads take place meanwhile. */
const NO_MEMORY_RETRY_MS = 5_000;
/** A load whose callers were refused goes on for this long, so that they find it when they return. */
const WANT_MS = 30_000;
/** Between two tries of an order that failed or had no answer. */
const ORDER_RETRY_MS = 1_000;

export type EngineCopiesDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  metrics: Pick<metrics.Metrics, 'count' | 'gauge' | 'timing'>;
  engine: Pick<upstreams.EnginePort, 'report'>;
  ledger: ledgers.MemoryLedger;
  orders: orders.Orders;
  upstreamId: string;
  document: () => schema.Document;
  /** Names of copies that this agent must keep, since they are the last ones. */
  isFloorHere: (name: string) => boolean;
  /** Whether a model that is nowhere may take the place of last copies, since not all fit. */
  mayTakeTurn?: (target: string, waitedMs: number) => boolean;
};

export type EngineCopies = types.Copies & {
  /** Follows the engine's reports and carries out changes until stopped. */
  run: (signal: AbortSignal) => Promise<void>;
  /** Asks for a copy that no caller waits for. */
  want: (target: string) => void;
  /** Last copies whose new version does not fit beside them: another agent has to take them over. */
  stuckNames: () => readonly string[];
  ledger: ledgers.MemoryLedger;
};

export function createEngineCopies(deps: EngineCopiesDeps): EngineCopies {
  const { clock, ledger, log, document } = deps;
  const listeners = new Set<() => void>();
  const lastOrderMs = new Map<string, number>();
  const times = copyTimes.createCopyTimes(clock, (tookMs) => {
    deps.metrics.timing('agent.load_ms', tookMs);
  });
  let leavingKeys: ReadonlySet<string> = new Set();
  let stuckNames: readonly string[] = [];
  let planAgainAtMs: number | null = null;
  let engineMemoryBytes: number | null = null;
  let isWoken = false;
  let endPause: () => void = () => {};

  function wake(): void {
    isWoken = true;
    endPause();
  }

  const holds = holdsModule.createHolds(wake);
  const wants = wantsModule.createWants({ clock, isReady });
  const reader = reportReaders.createReportReader({
    ...deps,
    onReport: ({ memoryBytes }) => {
      engineMemoryBytes = memoryBytes;
      times.noteCharges(ledger.charges());
      wants.settleReady();
      changed();
    },
  });

  function changed(): void {
    deps.metrics.gauge('agent.memory_charged_bytes', ledger.chargedBytes());
    [...listeners].forEach((listener) => listener());
  }

  /** The ready copy that serves `name`: the configured version, or an older one until then. */
  function servingCopy(name: string): ledgers.Charge | undefined {
    const ready = ledger
      .charges()
      .filter((charge) => charge.name === name && charge.state === 'ready')
      .filter((charge) => !leavingKeys.has(planModule.keyOf(charge)));
    const configured = needs.configuredCopy(document(), name);
    return ready.find((charge) => charge.version === configured?.version) ?? ready[0];
  }

  function servingCopies(target: string): (ledgers.Charge | undefined)[] {
    return needs.copiesFor(document(), target).map((copy) => servingCopy(copy.name));
  }

  function isReady(target: string): boolean {
    const serving = servingCopies(target);
    return serving.length > 0 && serving.every((copy) => copy !== undefined);
  }

  /** When the target could be ready at the earliest, by the loads that were seen here. */
  function expectedReadyAtMs(target: string): number {
    const missing = needs
      .copiesFor(document(), target)
      .filter((copy) => servingCopy(copy.name) === undefined);
    return missing.reduce((atMs, copy) => atMs + times.expectedLoadMs(copy), clock.nowMs());
  }

  function isDue(copy: ledgers.CopyId): boolean {
    const lastMs = lastOrderMs.get(planModule.keyOf(copy)) ?? Number.NEGATIVE_INFINITY;
    return clock.nowMs() - lastMs >= ORDER_RETRY_MS;
  }

  function noteOrder(copy: ledgers.CopyId): void {
    lastOrderMs.set(planModule.keyOf(copy), clock.nowMs());
  }

  /**
   * An engine that ignores fencing numbers never shows that a lost order is void, so its charge
   * stays; the copy may be ordered again under the same charge.
   */
  function mayResend(copy: ledgers.CopyId): boolean {
    const charge = ledger.find(copy);
    const isLost = charge?.loadOrders.some((order) => order.isUnknown) === true && !charge.isSeen;
    return isLost && !deps.orders.checksFencing() && isDue(copy);
  }

  function failure(failed: orders.OrderFailure): types.CopyError {
    const cause = failed.kind === 'no-memory' ? 'no-memory' : 'load-failed';
    const retryAtMs =
      failed.kind === 'not-authorized' ? failed.retryAtMs : clock.nowMs() + NO_MEMORY_RETRY_MS;
    return { kind: 'copy-not-ready', cause, retryAtMs, detail: failed.kind };
  }

  function wantsOf(copy: ledgers.CopyId): wantsModule.Want[] {
    const isFor = (want: wantsModule.Want) =>
      needs.copiesFor(document(), want.target).some((needed) => needed.name === copy.name);
    return wants.list().filter(isFor);
  }

  /** Failures that pass by themselves are tried again until the waiters' deadlines. */
  function afterFailedLoad(copy: ledgers.CopyId, failed: orders.OrderFailure): void {
    for (const want of wantsOf(copy)) {
      want.tryAtMs = clock.nowMs() + ORDER_RETRY_MS;
      switch (failed.kind) {
        case 'not-sent':
        case 'outcome-unknown':
        case 'old-fencing-number':
          break;
        case 'no-memory':
        case 'not-authorized':
        case 'superseded':
          wants.fail(want.target, failure(failed));
      }
    }
  }

  async function orderLoad(copy: ledgers.SizedCopy): Promise<void> {
    noteOrder(copy);
    times.noteOrdered(copy);
    const sent = await deps.orders.load(copy);
    if (sent.err) {
      log.warn('load-failed', { copy: planModule.keyOf(copy), cause: sent.val.kind });
      afterFailedLoad(copy, sent.val);
      return;
    }
    log.info('load-ordered', { copy: planModule.keyOf(copy) });
  }

  async function orderUnload(charge: ledgers.Charge): Promise<void> {
    noteOrder(charge);
    ledger.markUnloading(charge);
    changed();
    log.info('unload-ordered', { copy: planModule.keyOf(charge) });
    await deps.orders.unload(charge);
  }

  function unloadable(): ledgers.Charge[] {
    return ledger.charges().filter((charge) => {
      if (charge.state === 'unloading') return charge.isSeen && isDue(charge);
      const isLeaving = leavingKeys.has(planModule.keyOf(charge));
      return isLeaving && charge.state === 'ready' && !holds.isHeld(charge);
    });
  }

  function refuseImpossible(impossible: readonly wantsModule.Want[]): void {
    for (const want of impossible) {
      wants.fail(want.target, {
        kind: 'copy-not-ready',
        cause: 'no-memory',
        retryAtMs: clock.nowMs() + NO_MEMORY_RETRY_MS,
        detail: `${ledger.freeBytes()} bytes are free`,
      });
    }
  }

  function refuseAll(): void {
    wants.list().forEach((want) => wants.fail(want.target, failure({ kind: 'superseded' })));
  }

  function makePlan(): planModule.Plan {
    return planModule.createPlan({
      document: document(),
      upstreamId: deps.upstreamId,
      nowMs: clock.nowMs(),
      ledger,
      wants: wants.list(),
      isFloorHere: deps.isFloorHere,
      isHeld: holds.isHeld,
      lastUsedMs: times.lastUsedMs,
      readySinceMs: times.readySinceMs,
      mayResend,
      mayTakeTurn: (want) =>
        want.isByCaller && deps.mayTakeTurn?.(want.target, clock.nowMs() - want.askedAtMs) === true,
      loadTookMs: (copy) => times.loadTookMs(copy),
      isDue,
      engineMemoryBytes,
      isNameReady: (name) =>
        ledger.charges().some((charge) => charge.name === name && charge.state === 'ready'),
    });
  }

  /** One round: plan, then send what the plan says. True when something was sent. */
  async function changeOnce(): Promise<boolean> {
    planAgainAtMs = null;
    if (reader.isSuperseded()) refuseAll();
    if (!reader.mayOrder()) return false;
    const plan = makePlan();
    leavingKeys = plan.leavingKeys;
    planAgainAtMs = plan.planAgainAtMs;
    refuseImpossible(plan.impossible);
    stuckNames = plan.stuckNames;
    wants.settleReady();
    changed();
    const leaving = unloadable();
    await Promise.all([...leaving.map(orderUnload), ...plan.loads.map(orderLoad)]);
    return leaving.length + plan.loads.length > 0;
  }

  function isChanging(): boolean {
    const isUnderWay = (charge: ledgers.Charge) => charge.state !== 'ready' && charge.isSeen;
    return wants.hasWaiters() || ledger.charges().some(isUnderWay);
  }

  function nextRoundMs(): number {
    const pauseMs = isChanging() ? CHANGING_REPORT_MS : IDLE_REPORT_MS;
    const planAtMs = planAgainAtMs ?? Number.POSITIVE_INFINITY;
    return Math.max(clock.nowMs() + LEAST_PAUSE_MS, Math.min(clock.nowMs() + pauseMs, planAtMs));
  }

  function pause(signal: AbortSignal): Promise<unknown> {
    if (isWoken) return Promise.resolve();
    const woken = new Promise<void>((resolve) => {
      endPause = resolve;
    });
    const stop = new AbortController();
    const end = () => stop.abort();
    signal.addEventListener('abort', end, { once: true });
    const slept = clocks.sleepUntil(clock, nextRoundMs(), stop.signal);
    return Promise.race([slept, woken]).finally(() => {
      stop.abort();
      signal.removeEventListener('abort', end);
    });
  }

  return {
    knows: (target) => needs.isServedBy(document(), target, deps.upstreamId),
    isReady,
    ensureReady: async (target, deadlineMs) => {
      const nowMs = clock.nowMs();
      wants.want(target, Math.max(deadlineMs, nowMs + WANT_MS), true);
      wake();
      const retryAtMs = expectedReadyAtMs(target);
      if (retryAtMs > deadlineMs) {
        const detail = `${target} takes longer to load`;
        const cause = 'deadline-unreachable';
        return results.Err({ kind: 'copy-not-ready', cause, retryAtMs, detail });
      }
      return wants.wait(target, deadlineMs);
    },
    hold: (target) => {
      const held = servingCopies(target).filter((copy) => copy !== undefined);
      held.forEach((copy) => times.noteUsed(copy.name));
      return holds.hold(held);
    },
    want: (target) => {
      wants.want(target, clock.nowMs() + WANT_MS, false);
      wake();
    },
    stuckNames: () => stuckNames,
    readyTargets: () => {
      if (!reader.isReachable()) return [];
      const { models, adapters } = document();
      return [...Object.keys(models), ...Object.keys(adapters)].filter(isReady);
    },
    noteMissing: wake,
    engineIncarnation: reader.engineIncarnation,
    onChange: (listener) => listeners.add(listener),
    run: async (signal) => {
      while (!signal.aborted) {
        isWoken = false;
        await reader.refresh();
        const hasSent = await changeOnce();
        if (!hasSent) await pause(signal);
      }
    },
    ledger,
  };
}
