/**
 * The placement as request handling uses it, at every gateway: answers from what the lease holder has reported, and
 * requests adapter loads from it.
 */
import type { clocks } from '@copperlever/runtime';

import type * as peerBooks from '../../shared/peer-book.js';
import type * as demandCounters from '../../shared/placing/demand-counters.js';
import type * as placementViews from '../../shared/placing/placement-view.js';
import * as loadTimes from '../../shared/placing/load-times.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as fleet from '../../types/fleet.js';
import type * as placementTypes from '../../types/placement.js';
import type * as peerLinks from '../peers/peer-link.js';
import type * as leaseKeepers from './lease-keeper.js';
import type * as placers from './placer.js';

export type PlacementClientDeps = {
  clock: clocks.Clock;
  view: placementViews.PlacementView;
  demand: demandCounters.DemandCounters;
  book: peerBooks.PeerBook;
  link: peerLinks.PeerLink;
  lease: leaseKeepers.LeaseKeeper;
  placer: placers.Placer;
  directory: directories.UpstreamDirectory;
  serviceOf: (name: string) => fleet.Service | null;
  /** Brings the next exchange with the holder forward. */
  hurry: () => void;
};

export function createPlacementClient(deps: PlacementClientDeps): placementTypes.Placement {
  const { clock, view } = deps;
  /** Adapter loads in progress; concurrent requests for the same adapter share one. */
  const pendingLoads = new Map<string, Promise<boolean>>();

  async function requestAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
    deadlineMs: number,
  ): Promise<boolean> {
    if (deps.lease.heldTerm() !== null) {
      return deps.placer.ensureAdapter(upstreamId, model, adapter);
    }
    const holderId = deps.book.lease()?.holderId;
    const address = holderId === undefined ? null : deps.book.addressOf(holderId);
    if (address === null) return false;
    const reply = await deps.link.ensureAdapter(
      address,
      { upstreamId, model, adapter },
      deadlineMs,
    );
    return reply.ok && reply.val.isReady;
  }

  function nextCopyInMs(service: string, model: string): number | null {
    const nextCopy = view.arrival(service, model);
    return nextCopy === null ? null : Math.max(0, nextCopy.readyAtMs - clock.nowMs());
  }

  return {
    basis: () => ({ ...view.version(), ageMs: view.ageMs(clock.nowMs()) }),
    copyAt: (upstream, model, adapter) => view.copyAt(upstream, model, adapter, clock.nowMs()),
    noteAbsent: (upstreamId, model, adapter) => {
      view.noteAbsent(upstreamId, model, adapter, clock.nowMs());
      deps.hurry();
    },
    noteDemand: ({ service, model, adapter, isServed, isPatient: isDelayTolerant }) => {
      deps.demand.add(
        { service, model, adapter },
        { isServed, isPatient: isDelayTolerant },
        clock.nowMs(),
      );
      if (!isServed) deps.hurry();
    },
    expectedReady: (service, model) => {
      const nextInMs = nextCopyInMs(service, model);
      if (nextInMs !== null) return { kind: 'on-its-way', inMs: nextInMs };
      const spec = deps.serviceOf(service)?.engine?.models.find(({ name }) => name === model);
      const records = deps.directory.eligible(service, clock.nowMs());
      return { kind: 'not-ordered', inMs: loadTimes.nearestLoadMs(spec, records) };
    },
    nextCopyInMs,
    blockedForMs: (upstreamId) => view.blockedForMs(upstreamId, clock.nowMs()),
    ensureAdapter: async (upstreamId, model, adapter, deadlineMs) => {
      const key = `${upstreamId} ${model}/${adapter}`;
      const running =
        pendingLoads.get(key) ?? requestAdapter(upstreamId, model, adapter, deadlineMs);
      pendingLoads.set(key, running);
      const isReady = await running.finally(() => pendingLoads.delete(key));
      if (isReady) view.noteAdapter(upstreamId, model, adapter);
      return isReady;
    },
  };
}
