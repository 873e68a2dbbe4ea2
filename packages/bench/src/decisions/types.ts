/** What the bench of decisions shares: sizes, loads, requests. Times are virtual milliseconds. */
import type { types } from '@copperlever/decisions';

export type UpstreamSpec = {
  id: string;
  pool: string;
  failureDomain: string;
  acceleratorCount: number;
  memoryBytes: number;
  slotCount: number;
};

export type ModelSpec = {
  id: string;
  pool: string;
  /** Weights with all adapters of the model. */
  sizeBytes: number;
  adapterCount: number;
  priorityClass: types.PriorityClass;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  /** Its part of the pool's demand, against the parts of the others. */
  demandWeight: number;
};

/** A fleet and what it serves. */
export type Size = {
  name: SizeName;
  upstreams: readonly UpstreamSpec[];
  models: readonly ModelSpec[];
  callerGroups: readonly string[];
  loadsPerSecond: number;
  concurrentLoads: number;
  moveCostMs: number;
};

export const SIZE_NAMES = ['consortium', 'guild', 'tenth'] as const;
export type SizeName = (typeof SIZE_NAMES)[number];

export const LOAD_NAMES = [
  'burst',
  'skew',
  'slow-upstream',
  'mixed',
  'saturation',
  'domain-loss',
] as const;
export type LoadName = (typeof LOAD_NAMES)[number];

export const POLICY_NAMES = [
  'present',
  'round-robin',
  'least-outstanding',
  'static-placement',
] as const;
export type PolicyName = (typeof POLICY_NAMES)[number];

export type Request = types.WorkItem & {
  model: string;
  /** The tokens that the answer turns out to have; no policy may look. */
  realOutputTokens: number;
  prefixKey: string;
  /** How long a slot of an upstream at full speed runs it; no policy may look. */
  realServiceMs: number;
};

/** Something that happens to the fleet during a load. */
export type Disturbance =
  | { kind: 'slow'; atMs: number; upstreamId: string; speed: number }
  | { kind: 'lost'; atMs: number; upstreamId: string };

export type Load = {
  name: LoadName;
  requests: readonly Request[];
  disturbances: readonly Disturbance[];
  /** When the last request arrives; the run goes on until the last deadline. */
  arrivalsEndMs: number;
};
