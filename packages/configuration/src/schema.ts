/** Schema of the configuration document, which operators change by patches and all daemons share. */
import * as zod from 'zod';

const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, dot, dash or underscore');
const positiveInteger = zod.number().int().positive();

export const priorityClassSchema = zod.enum(['critical', 'standard', 'batch']);

const engineSchema = zod.strictObject({
  kind: zod.literal('engine'),
  pool: name,
  failureDomain: name,
  region: name,
  acceleratorCount: positiveInteger,
  memoryBytes: positiveInteger,
  /** Maximum number of requests that the engine runs concurrently. */
  slotCount: positiveInteger,
  /** Whether the engine rejects orders with an outdated fencing number. */
  checksFencing: zod.boolean(),
  draining: zod.boolean().default(false),
});

const plainServiceUpstreamSchema = zod.strictObject({
  kind: zod.literal('service'),
  pool: name,
  failureDomain: name,
  region: name,
  slotCount: positiveInteger,
  draining: zod.boolean().default(false),
});

export const upstreamSchema = zod.discriminatedUnion('kind', [
  engineSchema,
  plainServiceUpstreamSchema,
]);

export const modelSchema = zod.strictObject({
  version: name,
  /** Memory of one copy: the weights and the minimum KV cache. */
  sizeBytes: positiveInteger,
  /** The pools whose engines may load the model. */
  pools: zod.array(name).min(1),
  priorityClass: priorityClassSchema.default('standard'),
  minimumCopies: positiveInteger.default(1),
  firstTokenTargetMs: positiveInteger.default(680),
  tokenGapTargetMs: positiveInteger.default(39),
});

export const adapterSchema = zod.strictObject({
  model: name,
  version: name,
  sizeBytes: positiveInteger,
  priorityClass: priorityClassSchema.optional(),
});

const routeSchema = zod.strictObject({
  method: zod.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Prefix of the path below the service. */
  pathPrefix: zod.string().startsWith('/'),
});

export const serviceSchema = zod.strictObject({
  pool: name,
  priorityClass: priorityClassSchema.default('standard'),
  /** Calls that must run at most once even without an `Idempotency-Key`. */
  nonIdempotentRoutes: zod.array(routeSchema).default([]),
});

export const callerGroupSchema = zod.strictObject({
  /** Weight of the group's share of a contended upstream, relative to the weights of the other groups. */
  shareWeight: positiveInteger,
});

export const policySchema = zod.strictObject({
  /** Minimum benefit in milliseconds of a load, unload or shift; a higher value means fewer moves. */
  moveCostMs: zod.number().int().nonnegative(),
  weightStoreLoadsPerSecond: zod.number().positive(),
  weightStoreConcurrentLoads: positiveInteger,
  /** Time-out of a request without a deadline, counted from its arrival. */
  defaultTimeoutMs: positiveInteger,
});

export const documentSchema = zod.strictObject({
  upstreams: zod.record(name, upstreamSchema).default({}),
  models: zod.record(name, modelSchema).default({}),
  adapters: zod.record(name, adapterSchema).default({}),
  services: zod.record(name, serviceSchema).default({}),
  callerGroups: zod.record(name, callerGroupSchema).default({}),
  policy: policySchema.default({
    moveCostMs: 2_000,
    weightStoreLoadsPerSecond: 2,
    weightStoreConcurrentLoads: 25,
    defaultTimeoutMs: 60_000,
  }),
});

export type PriorityClass = zod.infer<typeof priorityClassSchema>;
export type Upstream = zod.infer<typeof upstreamSchema>;
export type EngineUpstream = Extract<Upstream, { kind: 'engine' }>;
export type Model = zod.infer<typeof modelSchema>;
export type Adapter = zod.infer<typeof adapterSchema>;
export type Service = zod.infer<typeof serviceSchema>;
export type CallerGroup = zod.infer<typeof callerGroupSchema>;
export type Policy = zod.infer<typeof policySchema>;
export type Document = zod.infer<typeof documentSchema>;

/** The configuration before the first patch. */
export function emptyDocument(): Document {
  return documentSchema.parse({});
}
