/** The copies in an engine's memory: this agent alone orders loads and unloads. */
import { type schema, targets } from '@copperlever/configuration';
import { type clocks, type logs, results } from '@copperlever/runtime';

import * as ledgers from '../../shared/memory-ledger.js';
import type * as upstreams from '../../types/upstreams.js';
import type * as types from './types.js';

/** The engine is asked this often while a load is under way, and when nothing is. */
const LOADING_REPORT_MS = 50;
const IDLE_REPORT_MS = 2_000;
const CALL_TIMEOUT_MS = 2_000;
/** Callers refused for memory come back after this: a few loads take place meanwhile. */
const NO_MEMORY_RETRY_MS = 5_000;

export type EngineCopiesDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  engine: upstreams.EnginePort;
  ledger: ledgers.MemoryLedger;
  fencingNumber: number;
  upstreamId: string;
  document: () => schema.Document;
  /** Names of copies that this agent must keep, since they are the last ones. */
  isFloorHere: (name: string) => boolean;
  isInUse: (name: string) => boolean;
};

export type EngineCopies = types.Copies & {
  /** Announces the fencing number, then follows the engine's reports until stopped. */
  run: (signal: AbortSignal) => Promise<void>;
};

type WantedCopy = ledgers.CopyId & { sizeBytes: number };

/** What `target` needs in memory: its model, and the adapter where it is one. */
function wantedCopies(document: schema.Document, target: string): WantedCopy[] {
  const found = targets.findModelTarget(document, target);
  if (found === null || found.kind === 'service') return [];
  const model = document.models[found.model];
  if (model === undefined) return [];
  const base = { name: found.model, version: model.version, sizeBytes: model.sizeBytes };
  if (found.kind === 'model') return [base];
  const adapter = document.adapters[found.name];
  if (adapter === undefined) return [base];
  return [base, { name: found.name, version: adapter.version, sizeBytes: adapter.sizeBytes }];
}

export function createEngineCopies(deps: EngineCopiesDeps): EngineCopies {
  const { clock, engine, ledger, log } = deps;
  const listeners = new Set<() => void>();
  const lastUsedMs = new Map<string, number>();
  let engineIncarnation: number | null = null;
  let nextOrder = 0;

  function servedHere(target: string): boolean {
    const document = deps.document();
    const upstream = document.upstreams[deps.upstreamId];
    const found = targets.findModelTarget(document, target);
    if (upstream === undefined || found === null) return false;
    return targets.poolsOf(document, found).includes(upstream.pool);
  }

  function isReady(target: string): boolean {
    const wanted = wantedCopies(deps.document(), target);
    return wanted.length > 0 && wanted.every((copy) => ledger.find(copy)?.state === 'ready');
  }

  function changed(): void {
    [...listeners].forEach((listener) => listener());
  }

  function nextOrderId(): string {
    nextOrder += 1;
    return `${deps.upstreamId}.${deps.fencingNumber}.${nextOrder}`;
  }

  async function sendOrder(order: upstreams.EngineOrder) {
    const numbered = { ...order, orderId: nextOrderId(), fencingNumber: deps.fencingNumber };
    const sent = await engine.order(numbered, clock.nowMs() + CALL_TIMEOUT_MS);
    if (sent.err) {
      log.warn('order-failed', { order: order.kind, cause: sent.val.kind });
    }
    return sent;
  }

  async function orderLoad(copy: WantedCopy): Promise<results.Result<void, upstreams.OrderError>> {
    const sent = await sendOrder({ kind: 'load', ...copy });
    if (sent.ok) return sent;
    if (sent.val.kind === 'outcome-unknown') ledger.markUnsettled(copy);
    else ledger.cancelReservation(copy);
    return sent;
  }

  async function orderUnload(charge: ledgers.Charge): Promise<void> {
    ledger.markUnloading(charge);
    changed();
    const sent = await sendOrder({ kind: 'unload', name: charge.name, version: charge.version });
    if (sent.ok) await takeReport();
  }

  /** The copies that may leave for another, least recently used first. */
  function displaceable(wanted: readonly WantedCopy[]): ledgers.Charge[] {
    const keep = new Set(wanted.map((copy) => copy.name));
    return ledger
      .charges()
      .filter((charge) => charge.state === 'ready' && !keep.has(charge.name))
      .filter((charge) => !deps.isFloorHere(charge.name) && !deps.isInUse(charge.name))
      .sort((left, right) => (lastUsedMs.get(left.name) ?? 0) - (lastUsedMs.get(right.name) ?? 0));
  }

  async function makeRoom(copy: WantedCopy, wanted: readonly WantedCopy[]): Promise<boolean> {
    if (ledger.reserve(copy)) return true;
    for (const charge of displaceable(wanted)) {
      await orderUnload(charge);
      if (ledger.reserve(copy)) return true;
    }
    return false;
  }

  async function load(
    copy: WantedCopy,
    wanted: readonly WantedCopy[],
  ): Promise<types.CopyError | null> {
    if (ledger.find(copy) !== undefined) return null;
    if (!(await makeRoom(copy, wanted))) {
      const retryAtMs = clock.nowMs() + NO_MEMORY_RETRY_MS;
      const detail = `${copy.name} needs ${copy.sizeBytes} bytes`;
      return { kind: 'copy-not-ready', cause: 'no-memory', retryAtMs, detail };
    }
    const sent = await orderLoad(copy);
    if (sent.ok || sent.val.kind === 'outcome-unknown') return null;
    const retryAtMs = clock.nowMs() + NO_MEMORY_RETRY_MS;
    return { kind: 'copy-not-ready', cause: 'load-failed', retryAtMs, detail: sent.val.kind };
  }

  async function waitUntilReady(
    target: string,
    deadlineMs: number,
  ): Promise<results.Result<void, types.CopyError>> {
    while (!isReady(target)) {
      if (clock.nowMs() >= deadlineMs) {
        return results.Err({
          kind: 'copy-not-ready',
          cause: 'deadline-unreachable',
          retryAtMs: clock.nowMs() + NO_MEMORY_RETRY_MS,
          detail: `${target} is still loading`,
        });
      }
      await takeReport();
      if (isReady(target)) break;
      const nextMs = Math.min(deadlineMs, clock.nowMs() + LOADING_REPORT_MS);
      await new Promise<void>((resolve) => {
        clock.schedule(nextMs, resolve);
      });
    }
    return results.Ok(undefined);
  }

  async function ensureReady(target: string, deadlineMs: number) {
    const wanted = wantedCopies(deps.document(), target);
    for (const copy of wanted) {
      lastUsedMs.set(copy.name, clock.nowMs());
      const failure = await load(copy, wanted);
      if (failure !== null) return results.Err(failure);
    }
    return waitUntilReady(target, deadlineMs);
  }

  async function takeReport(): Promise<void> {
    const report = await engine.report(clock.nowMs() + CALL_TIMEOUT_MS);
    if (report.err) return;
    if (engineIncarnation !== null && report.val.incarnation !== engineIncarnation) {
      log.warn('engine-restarted', { upstream: deps.upstreamId });
      ledger.applyRestart();
    }
    engineIncarnation = report.val.incarnation;
    ledger.applyReport(report.val.copies, false);
    changed();
  }

  return {
    knows: servedHere,
    isReady: (target) => {
      if (!isReady(target)) return false;
      wantedCopies(deps.document(), target).forEach((copy) => {
        lastUsedMs.set(copy.name, clock.nowMs());
      });
      return true;
    },
    ensureReady,
    readyTargets: () => {
      const document = deps.document();
      return [...Object.keys(document.models), ...Object.keys(document.adapters)].filter(isReady);
    },
    onChange: (listener) => listeners.add(listener),
    run: async (signal) => {
      await sendOrder({ kind: 'fence' });
      while (!signal.aborted) {
        await takeReport();
        const isLoading = ledger.charges().some((charge) => charge.state !== 'ready');
        const nextMs = clock.nowMs() + (isLoading ? LOADING_REPORT_MS : IDLE_REPORT_MS);
        await new Promise<void>((resolve) => {
          const cancel = clock.schedule(nextMs, resolve);
          signal.addEventListener(
            'abort',
            () => {
              cancel();
              resolve();
            },
            { once: true },
          );
        });
      }
    },
  };
}

/** The memory that the configuration gives to an upstream's copies. */
export function capacityBytes(document: schema.Document, upstreamId: string): number {
  const upstream = document.upstreams[upstreamId];
  return upstream?.kind === 'engine' ? upstream.memoryBytes : 0;
}
