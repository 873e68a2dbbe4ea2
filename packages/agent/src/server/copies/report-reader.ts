/** Reads the engine's reports one at a time, so that an older one never follows a newer one. */
import type { clocks, logs } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import type * as upstreams from '../../types/upstreams.js';
import type * as orders from '../orders/types.js';

export type ReportReaderDeps = {
  clock: clocks.Clock;
  log: logs.Logger;
  engine: Pick<upstreams.EnginePort, 'report'>;
  ledger: ledgers.MemoryLedger;
  orders: orders.Orders;
  onReport: (report: upstreams.EngineReport) => void;
};

export type ReportReader = {
  /** Resolves after a report that was asked for after this call, or after its failure. */
  refresh: () => Promise<void>;
  /**
   * True once a report was asked for after this agent gained the authority over the engine. Before
   * that, an earlier agent's order may act after the report that this agent decides on.
   */
  mayOrder: () => boolean;
  isSuperseded: () => boolean;
  isReachable: () => boolean;
  engineIncarnation: () => number | null;
};

const REPORT_TIMEOUT_MS = 2_000;
/** One lost report is no outage. */
const FAILURES_OF_AN_OUTAGE = 2;

export function createReportReader(deps: ReportReaderDeps): ReportReader {
  const { clock, ledger, orders: sender } = deps;
  let authority: orders.Authority = 'opening';
  let hasBase = false;
  let failureCount = 0;
  let engineIncarnation: number | null = null;
  let underWay: Promise<void> | null = null;
  let next: Promise<void> | null = null;

  async function readOnce(): Promise<void> {
    authority = await sender.open();
    if (authority === 'open') await sender.prepareReport();
    const wasOpen = authority === 'open';
    const requestedStep = ledger.reportRequested();
    const report = await deps.engine.report(clock.nowMs() + REPORT_TIMEOUT_MS);
    if (report.err) {
      failureCount += 1;
      return;
    }
    failureCount = 0;
    const { incarnation, copies } = report.val;
    engineIncarnation = incarnation;
    const heard = ledger.applyReport(
      { requestedStep, incarnation, copies },
      sender.checksFencing(),
    );
    if (heard === 'restarted') deps.log.warn('engine-restarted', { incarnation });
    hasBase ||= wasOpen;
    sender.afterReport();
    deps.onReport(report.val);
  }

  function begin(): Promise<void> {
    underWay = readOnce().finally(() => {
      underWay = null;
    });
    return underWay;
  }

  return {
    refresh: () => {
      if (underWay === null) return begin();
      next ??= underWay.then(() => {
        next = null;
        return begin();
      });
      return next;
    },
    mayOrder: () => hasBase && authority === 'open',
    isSuperseded: () => authority === 'superseded',
    engineIncarnation: () => engineIncarnation,
    isReachable: () => failureCount < FAILURES_OF_AN_OUTAGE,
  };
}
