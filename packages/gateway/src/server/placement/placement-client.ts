/**
 * The placement as request handling uses it, at every gateway: answers from what the lease holder has reported, and
 * requests adapter loads from it.
 */
import type { clocks } from '@copperlever/runtime';

import type * as peerRegistries from '../../shared/peer-registry.js';
import type * as demandCounters from '../../shared/placement/demand-counters.js';
import type * as placementViews from '../../shared/placement/placement-view.js';
import * as loadTimes from '../../shared/placement/load-times.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as fleet from '../../types/fleet.js';
import type * as placementTypes from '../../types/placement.js';
import type * as peerLinks from '../peers/peer-link.js';
import type * as leaseManagers from './lease-manager.js';
import type * as placementControllers from './placement-controller.js';

export type PlacementClientDeps = {
  clock: clocks.Clock;
  view: placementViews.PlacementView;
  demand: demandCounters.DemandCounters;
  peerRegistry: peerRegistries.PeerRegistry;
  link: peerLinks.PeerLink;
  lease: leaseManagers.LeaseManager;
  placementController: placementControllers.PlacementController;
  directory: directories.UpstreamDirectory;
  serviceOf: (name: string) => fleet.Service | null;
  /** Brings the next exchange with the holder forward. */
  expediteExchange: () => void;
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
      return deps.placementController.ensureAdapter(upstreamId, model, adapter);
    }
    const holderId = deps.peerRegistry.lease()?.holderId;
    const address = holderId === undefined ? null : deps.peerRegistry.addressOf(holderId);
    if (address === null) return false;
    const reply = await deps.link.ensureAdapter(
      address,
      { upstreamId, model, adapter },
      deadlineMs,
    );
    return reply.ok && reply.val.isReady;
  }

  function nextCopyInMs(
    service: string,
    model: string,
    isAmong?: (upstreamId: string) => boolean,
  ): number | null {
    const nextCopy = view.nextLoadingCopy(service, model, isAmong);
    return nextCopy === null ? null : Math.max(0, nextCopy.readyAtMs - clock.nowMs());
  }

  return {
    version: () => ({ ...view.version(), ageMs: view.ageMs(clock.nowMs()) }),
    copyAt: (upstream, model, adapter) => view.copyAt(upstream, model, adapter, clock.nowMs()),
    noteAbsent: (upstreamId, model, adapter) => {
      view.markAbsent(upstreamId, model, adapter, clock.nowMs());
      deps.expediteExchange();
    },
    noteDemand: ({ isServed, isDelayTolerant, ...demand }) => {
      deps.demand.add(demand, { isServed, isDelayTolerant }, clock.nowMs());
      if (!isServed) deps.expediteExchange();
    },
    expectedReady: (service, model, softwareVersion) => {
      const records = deps.directory
        .eligible(service, clock.nowMs())
        .filter((record) => softwareVersion === null || record.softwareVersion === softwareVersion);
      const ids = new Set(records.map(({ upstreamId }) => upstreamId));
      const nextInMs = nextCopyInMs(service, model, (upstreamId) => ids.has(upstreamId));
      if (nextInMs !== null) return { kind: 'on-its-way', inMs: nextInMs };
      const spec = deps.serviceOf(service)?.engine?.models.find(({ name }) => name === model);
      return { kind: 'not-ordered', inMs: loadTimes.expectedLoadMs(spec, records) };
    },
    nextCopyInMs: (service, model) => nextCopyInMs(service, model),
    blockedForMs: (upstreamId) => view.blockedForMs(upstreamId, clock.nowMs()),
    ensureAdapter: async (upstreamId, model, adapter, deadlineMs) => {
      const key = `${upstreamId} ${model}/${adapter}`;
      const running =
        pendingLoads.get(key) ?? requestAdapter(upstreamId, model, adapter, deadlineMs);
      pendingLoads.set(key, running);
      const isReady = await running.finally(() => pendingLoads.delete(key));
      if (isReady) view.markAdapterLoaded(upstreamId, model, adapter);
      return isReady;
    },
  };
}
