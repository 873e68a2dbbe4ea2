/** The placement of models as request handling uses it. */
import type * as fleet from './fleet.js';

/**
 * `no-adapter`: the model is loaded and the adapter is not, but can be within some tens of milliseconds. `blocked`: the
 * adapter cannot be loaded now, since the upstream is loading a model.
 */
export type CopyState = 'ready' | 'no-adapter' | 'blocked' | 'none';

export type ExpectedReady = {
  /** Whether a load has been ordered, or the time is estimated from where the weights are stored. */
  kind: 'on-its-way' | 'not-ordered';
  inMs: number;
};

export type Demand = {
  service: string;
  model: string;
  adapter: string | null;
  /** Only upstreams of this software version can serve it; null if any can. */
  softwareVersion: string | null;
  /** Whether an upstream with a copy could take the request. */
  isServed: boolean;
  /** Whether the request's objective leaves time for a copy to be loaded. */
  isDelayTolerant: boolean;
};

/** The version of the placement that this gateway knows, and its age. */
export type PlacementVersion = { term: number; version: number; ageMs: number };

export type Placement = {
  version: () => PlacementVersion;
  /** Whether the upstream can serve the model with the adapter, as far as this gateway knows. */
  copyAt: (upstream: fleet.UpstreamRecord, model: string, adapter: string | null) => CopyState;
  /** Notes that the upstream reported that it does not hold the model or adapter. */
  noteAbsent: (upstreamId: string, model: string, adapter: string | null) => void;
  noteDemand: (demand: Demand) => void;
  /** When the next copy of the model is expected to be ready, at an upstream of this software version if one is given. */
  expectedReady: (service: string, model: string, softwareVersion: string | null) => ExpectedReady;
  /** Time until the next copy is ready; null if none is loading. */
  nextCopyInMs: (service: string, model: string) => number | null;
  /** Has the adapter loaded at an upstream that holds its model; resolves to whether it is loaded. */
  ensureAdapter: (
    upstreamId: string,
    model: string,
    adapter: string,
    deadlineMs: number,
  ) => Promise<boolean>;
  /** For how long the upstream cannot load adapters. */
  blockedForMs: (upstreamId: string) => number;
};
