/** What the end of an attempt says of its upstream. */
import type { clocks } from '@copperlever/runtime';

import type * as beliefsModule from '../../shared/upstream-beliefs.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import type * as placementTypes from '../../types/placement.js';

export type AttemptNotesDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  placement: placementTypes.Placement;
  needsModel: (call: calls.Call) => boolean;
};

export type EndedAttempt = {
  call: calls.Call;
  upstreamId: string;
  result: calls.AttemptResult;
  /** Null when no piece came. */
  firstPieceMs: number | null;
  predictedMs: number;
};

export function createAttemptNotes(deps: AttemptNotesDeps): (attempt: EndedAttempt) => void {
  const { clock, log, directory, beliefs, placement } = deps;

  function noteBelief(upstreamId: string, end: beliefsModule.AttemptEnd, nowMs: number): void {
    const change = beliefs.ended(upstreamId, end, nowMs);
    if (change === null) return;
    const { brokenInRow, avoidUntilMs } = change.belief;
    if (change.kind === 'trusted') log.info('upstream-trusted', { upstreamId });
    else {
      const forMs = Math.round(avoidUntilMs - nowMs);
      log.warn('upstream-avoided', { upstreamId, brokenInRow, forMs });
    }
  }

  function noteEnd(call: calls.Call, upstreamId: string, result: calls.AttemptResult): void {
    const nowMs = clock.nowMs();
    switch (result.kind) {
      case 'not-sent':
      case 'lost':
        noteBelief(upstreamId, { kind: 'broken' }, nowMs);
        break;
      case 'rejected':
        if (result.isMisdirected) noteMisdirected(call, upstreamId);
        else noteBelief(upstreamId, { kind: 'rejected' }, nowMs);
        break;
      case 'held-failure':
        noteBelief(upstreamId, { kind: 'failed' }, nowMs);
        break;
      case 'deadline':
        if (!result.hasBegun) noteBelief(upstreamId, { kind: 'broken' }, nowMs);
        break;
      case 'answered':
        if (result.status >= 500) noteBelief(upstreamId, { kind: 'failed' }, nowMs);
        break;
      case 'caller-gone':
        break;
    }
  }

  /** Either another upstream has the address, or the model has gone from this one. */
  function noteMisdirected(call: calls.Call, upstreamId: string): void {
    const { model, adapter } = call.facts;
    if (model !== null && deps.needsModel(call)) placement.noteAbsent(upstreamId, model, adapter);
    else directory.noteMisdirected(upstreamId);
  }

  return ({ call, upstreamId, result, firstPieceMs, predictedMs }) => {
    const isGood = result.kind === 'answered' && result.status < 500;
    if (firstPieceMs !== null && isGood) {
      noteBelief(upstreamId, { kind: 'good', firstPieceMs, predictedMs }, clock.nowMs());
    } else noteEnd(call, upstreamId, result);
  };
}
