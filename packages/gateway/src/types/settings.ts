/** The settings of a gateway. */
import * as zod from 'zod';

const address = zod.string().regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT');
const positive = zod.number().positive();
/** `auto`: on where the configuration has organisations. */
const featureSwitch = zod.enum(['auto', 'on', 'off']).default('off');

export const settingsSchema = zod.strictObject({
  gatewayId: zod.string().min(1),
  failureDomain: zod.string().min(1),
  region: zod.string().min(1),
  /** Where callers connect, where readiness is asked, where other gateways connect. */
  callerAddress: address,
  readinessAddress: address,
  peerAddress: address,
  storeAddress: address,
  /** Where metrics are collected; none are served without it. */
  metricsAddress: address.optional(),
  seedAddresses: zod.array(address).default([]),
  logLevel: zod.enum(['info', 'warn', 'error']).default('info'),
  /** The part that this process may use of each of so many processors: the largest gateways place models. */
  processorShare: positive.default(1),
  processorCores: positive.default(1),
  /** The memory of the VM that this process may use. Without it, that of the VM, or at most what the deploy file is made for. */
  memoryMb: positive.optional(),
  /** Files and sockets that this process may have open. Without it, the system's own limit. */
  descriptorsMax: positive.optional(),
  /** How long a planned stop may take before the process is killed. */
  stopTimeoutS: positive,
  /** How long an upstream that leaves may still get new work. */
  drainTimeoutMs: positive,
  /** Retries of all gateways together, as a share of the requests in a window, and on top of it. */
  retryRatio: zod.number().nonnegative(),
  retryWindowS: positive,
  retrySlack: zod.number().nonnegative(),
  /** Two holders give no orders within this time of each other. */
  leaseMs: positive,
  /** Whether upstreams refuse orders with an older fencing number. */
  upstreamsCheckFences: zod.boolean(),
  /** Loads from the weight store are counted over this window, and may exceed the rate by this factor. */
  loadWindowS: positive,
  loadOverage: positive,
  /** Whether batch work waits in its gateway while more urgent work needs its model's upstreams. */
  batchHolding: featureSwitch,
  /** Whether organisations below their quotas share what capacity there is, where it does not suffice. */
  fairShares: featureSwitch,
  /**
   * Whether streams ask for a prefill turn before they are sent. `auto`: at upstreams that tell their machine's present
   * speed, which means that it varies.
   */
  promptTurns: zod.enum(['auto', 'on', 'off']).default('auto'),
  /** No gateway of this fleet ran before: no stream can have begun. */
  isFirstStart: zod.boolean().default(false),
  /** Shares of organisations relative to each other; their quotas where none is given. */
  shareWeights: zod.record(zod.string(), positive).default({}),
  /** By how much all gateways together may exceed an organisation's quota, in its unit. */
  quotaSlack: zod.number().nonnegative().default(0),
  /**
   * Whether plain calls wait in the gateway for a slot rather than in the queues of upstreams. `auto`: where upstreams
   * tell how long work takes at the moment.
   */
  plainQueues: zod.enum(['auto', 'on', 'off']).default('auto'),
  /** The longest event of a stream that may be resumed, which is held until its end. */
  eventBytesMax: positive.default(262_144),
  /** Whether upstreams are chosen by the speed that they report and show; `off` takes all for alike. */
  upstreamStates: zod.enum(['auto', 'on', 'off']).default('auto'),
});

export type Settings = zod.infer<typeof settingsSchema>;

export type FeatureSwitch = zod.infer<typeof featureSwitch>;

export function isSwitchedOn(value: FeatureSwitch, hasOrganisations: boolean): boolean {
  return value === 'auto' ? hasOrganisations : value === 'on';
}
