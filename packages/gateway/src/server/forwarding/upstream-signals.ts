/**
 * Applies and logs the signals in the headers of upstreams' answers: load, rate limits, pauses and leaving. Also those that
 * reports contain and that other gateways relay.
 */
import type { clocks } from '@copperlever/runtime';

import * as storePositions from '../../shared/store-positions.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as upstreamPauses from '../../shared/upstream-pauses.js';
import type * as upstreamLimitsModule from '../../shared/upstream-limits.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as upstreamStates from '../../types/upstream-states.js';

export type UpstreamSignalsDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  upstreamLimits: upstreamLimitsModule.UpstreamLimits;
  pauses: upstreamPauses.UpstreamPauses;
  states: Pick<
    upstreamStates.UpstreamStates,
    'applyLoadSignal' | 'applyTokenReport' | 'applyLoadReport'
  >;
  directory: Pick<directories.UpstreamDirectory, 'noteLeaving' | 'position'>;
};

/** The head of an answer. `source`: the id of the request that was answered. */
export type Head = {
  upstreamId: string;
  facts: dialects.AnswerFacts;
  sentMs: number;
  source: string;
};

export type UpstreamSignals = {
  applyAnswerHead: (head: Head) => void;
  /** Applies the answer to a request for a report, which was sent at `sentMs`. */
  applyReport: (
    upstreamId: string,
    answer: Pick<dialects.ReportAnswer, 'limit'> & Partial<Pick<dialects.ReportAnswer, 'report'>>,
    sentMs: number,
  ) => void;
  /** Limits, and leaving upstreams, that another gateway reported; `source` is its name. */
  applyRemoteLimits: (
    limits: readonly upstreamLimitsModule.ReportedLimit[],
    source: string,
  ) => void;
  applyRemoteLeaving: (upstreamIds: readonly string[], source: string) => void;
};

const REPORT_SOURCE = 'report';

export function createUpstreamSignals(deps: UpstreamSignalsDeps): UpstreamSignals {
  const { clock, log, upstreamLimits } = deps;

  function logLimit(
    upstreamId: string,
    change: upstreamLimitsModule.LimitChange | null,
    source: string,
  ): void {
    if (change === null) return;
    switch (change.kind) {
      case 'named': {
        const { perSecond } = change;
        const before = change.before ?? undefined;
        log.info('upstream-limited', { upstreamId, perSecond, before, source });
        return;
      }
      case 'ended':
        log.info('upstream-unlimited', { upstreamId, before: change.before, source });
    }
  }

  function applyLeaving(upstreamId: string, source: string): void {
    const isNew = deps.directory.noteLeaving(upstreamId, clock.nowMs());
    if (!isNew) return;
    const upstreamsPosition = storePositions.format(deps.directory.position());
    log.info('upstream-leaving', { upstreamId, source, upstreamsPosition });
  }

  function applyPause(upstreamId: string, pauseMs: number, source: string): void {
    const nowMs = clock.nowMs();
    const isLonger = deps.pauses.notePause(upstreamId, pauseMs, nowMs);
    const forMs = Math.round(deps.pauses.leftMs(upstreamId, nowMs));
    if (isLonger) log.info('upstream-paused', { upstreamId, forMs, source });
  }

  function applyReportedLoad(upstreamId: string, report: fleet.UpstreamReport): void {
    const nowMs = clock.nowMs();
    deps.states.applyLoadReport(upstreamId, report, nowMs);
    if (report.tokens !== null) deps.states.applyTokenReport(upstreamId, report.tokens, nowMs);
  }

  return {
    applyAnswerHead: ({ upstreamId, facts, sentMs, source }) => {
      // Another upstream may have the address now: its signals don't apply to the one that was addressed.
      if (facts.isMisdirected) return;
      if (facts.load !== null) {
        deps.states.applyLoadSignal(upstreamId, facts.load, sentMs, clock.nowMs());
      }
      if (facts.isLeaving) applyLeaving(upstreamId, source);
      if (facts.pauseMs !== null) applyPause(upstreamId, facts.pauseMs, source);
      logLimit(
        upstreamId,
        upstreamLimits.answered(upstreamId, facts.limit, sentMs, clock.nowMs()),
        source,
      );
    },
    applyReport: (upstreamId, { limit, report }, sentMs) => {
      if (report !== undefined) applyReportedLoad(upstreamId, report);
      // Not every server repeats in reports the limit that its answers state, so a report without one doesn't end a limit.
      if (limit.kind !== 'named') return;
      const change = upstreamLimits.answered(upstreamId, limit, sentMs, clock.nowMs());
      logLimit(upstreamId, change, REPORT_SOURCE);
    },
    applyRemoteLeaving: (upstreamIds, source) => {
      upstreamIds.forEach((upstreamId) => applyLeaving(upstreamId, source));
    },
    applyRemoteLimits: (limits, source) => {
      limits.forEach((limit) => {
        logLimit(limit.upstreamId, upstreamLimits.applyRemoteLimit(limit, clock.nowMs()), source);
      });
    },
  };
}
