/** What request handling asks of the placing of models. */
import type * as fleet from './fleet.js';

/**
 * `no-adapter`: the model is there, the adapter can be loaded in some tens of milliseconds. `blocked`: it
 * cannot, since the upstream loads a model.
 */
export type CopyState = 'ready' | 'no-adapter' | 'blocked' | 'none';

export type ExpectedReady = {
  /** Whether its load has been ordered, or is a guess from where it is at hand. */
  kind: 'on-its-way' | 'not-ordered';
  inMs: number;
};

export type Demand = {
  service: string;
  model: string;
  adapter: string | null;
  /** Whether an upstream with a copy could take it. */
  isServed: boolean;
  /** Its objective leaves time for a copy to be brought. */
  isPatient: boolean;
};

/** What is known of the placing, and how old it is. */
export type PlacementBasis = { term: number; version: number; ageMs: number };

export type Placement = {
  basis: () => PlacementBasis;
  /** Whether the upstream can serve the model, and with the adapter, as far as known. */
  copyAt: (upstream: fleet.UpstreamRecord, model: string, adapter: string | null) => CopyState;
  /** The upstream said that it does not have it. */
  noteAbsent: (upstreamId: string, model: string, adapter: string | null) => void;
  noteDemand: (demand: Demand) => void;
  /** When the model is expected to be ready somewhere. */
  expectedReady: (service: string, model: string) => ExpectedReady;
  /** When one more copy is ready, or null if none is on its way. */
  nextCopyInMs: (service: string, model: string) => number | null;
  /** Has the adapter loaded at an upstream that has its model; resolves to whether it is there. */
  ensureAdapter: (
    upstreamId: string,
    model: string,
    adapter: string,
    deadlineMs: number,
  ) => Promise<boolean>;
  /** For how long the upstream can load no adapter. */
  blockedForMs: (upstreamId: string) => number;
};
