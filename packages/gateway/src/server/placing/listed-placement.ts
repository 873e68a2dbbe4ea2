/** Copies as the platform's list has them, without anyone who places. */
import type { clocks } from '@copperlever/runtime';

import type * as placementTypes from '../../types/placement.js';

/** How long an upstream's own word outweighs the list, which lags by about two heartbeats. */
const ABSENT_MS = 2_000;

export function createListedPlacement(clock: clocks.Clock): placementTypes.Placement {
  const absentUntilMs = new Map<string, number>();
  const keyOf = (upstreamId: string, model: string, adapter: string | null) =>
    `${upstreamId} ${model}/${adapter ?? ''}`;

  return {
    copyAt: (upstream, model, adapter) => {
      const resident = upstream.models.find(({ name }) => name === model);
      if (resident === undefined) return 'none';
      const untilMs = absentUntilMs.get(keyOf(upstream.upstreamId, model, adapter)) ?? 0;
      if (untilMs > clock.nowMs()) return adapter === null ? 'none' : 'no-adapter';
      if (adapter === null || resident.adapters.includes(adapter)) return 'ready';
      return 'no-adapter';
    },
    noteAbsent: (upstreamId, model, adapter) => {
      absentUntilMs.set(keyOf(upstreamId, model, adapter), clock.nowMs() + ABSENT_MS);
    },
    noteDemand: () => {},
    readyInMs: () => null,
    ensureAdapter: () => Promise.resolve(false),
  };
}
