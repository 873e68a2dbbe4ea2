/**
 * Documents that other gateways pass on as JSON: what isn't of the form that this one works with is refused before any of it is
 * taken. The store's own records are checked where they are decoded; a peer of another build, or a broken one, may send anything.
 */
import * as zod from 'zod';

import type * as fleet from '../../types/fleet.js';
import type * as stores from '../../types/stores.js';

/** Timers have 31 bits; a longer one runs at once. */
const TIMER_MAX_MS = 2 ** 31 - 1;

/** Some wrong fields; a document may have thousands. */
const REASON_CHARS_MAX = 300;

class UnusableDocument extends Error {}

const amount = zod.number().nonnegative();
const count = zod.int().nonnegative();
const durationMs = amount.max(TIMER_MAX_MS);
const texts = zod.array(zod.string());

const route = zod.looseObject({
  name: zod.string(),
  host: zod.string(),
  pathPrefix: zod.string(),
  kind: zod.enum(['idempotent', 'at-most-once', 'stream']),
  targets: zod.array(zod.looseObject({ service: zod.string(), weight: amount })),
  maxAttempts: count,
  timeoutMs: durationMs,
  latencyObjectiveMs: durationMs,
  pauseObjectiveMs: durationMs.nullish(),
  priority: count,
  isResumable: zod.boolean(),
  isPublic: zod.boolean().optional(),
});

const quota = zod.looseObject({
  unit: zod.enum(['requests', 'tokens']),
  perSecond: amount,
  burst: amount,
  plainTokens: amount,
});

const organisation = zod.looseObject({
  name: zod.string(),
  apiKeys: texts,
  priority: count.nullish(),
  quota: quota.nullish(),
});

const model = zod.looseObject({
  name: zod.string(),
  sizeMb: amount,
  storeLoadMs: amount,
  diskLoadMs: amount,
  hostLoadMs: amount,
  adapterCount: count,
  adapterSizeMb: amount,
});

const engine = zod.looseObject({
  slots: count,
  weightsMb: amount,
  adaptersMax: count,
  hostMb: amount,
  diskMb: amount,
  loadsPerSecond: amount,
  models: zod.array(model),
});

const config = zod.looseObject({
  version: count,
  routes: zod.array(route),
  services: zod.array(
    zod.looseObject({ name: zod.string(), connectionsMax: count, engine: engine.nullish() }),
  ),
  limits: zod.looseObject({
    bodyBytes: count,
    headerTimeoutMs: durationMs,
    idleTimeoutMs: durationMs,
  }),
  organisations: zod.array(organisation).nullish(),
});

const upstream = zod.looseObject({
  upstreamId: zod.string().min(1),
  name: zod.string(),
  service: zod.string(),
  softwareVersion: zod.string().optional(),
  address: zod.string(),
  failureDomain: zod.string(),
  slots: count,
  state: zod.enum(['ready', 'draining']),
  models: zod.array(zod.looseObject({ name: zod.string(), version: count, adapters: texts })),
  hostModels: texts,
  diskModels: texts,
});

const position = { era: count, revision: count };
const records = zod.array(
  zod.looseObject({ ...position, name: zod.string().min(1), value: upstream }),
);
const listing = zod.looseObject({
  ...position,
  records,
  unreadable: zod.array(zod.looseObject({ ...position, name: zod.string() })),
});

/** Throws if it isn't of that form. The value itself is returned, with fields that only its sender knows. */
function decode<Value>(schema: zod.ZodType, bytes: Uint8Array): Value {
  const value = JSON.parse(Buffer.from(bytes).toString('utf8')) as Value;
  const checked = schema.safeParse(value);
  if (checked.success) return value;
  throw new UnusableDocument(zod.prettifyError(checked.error).slice(0, REASON_CHARS_MAX));
}

export function decodeConfig(bytes: Uint8Array): fleet.FleetConfig {
  return decode(config, bytes);
}

export function decodeListing(bytes: Uint8Array): stores.Listing<fleet.UpstreamRecord> {
  return decode(listing, bytes);
}

export function decodeRecords(bytes: Uint8Array): stores.StoredRecord<fleet.UpstreamRecord>[] {
  return decode(records, bytes);
}
