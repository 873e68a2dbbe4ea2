/** The small deployment that the proofs run on. */
import { schema } from '@copperlever/configuration';

export const ENTRY_IDS = ['entry-1', 'entry-2'] as const;

const GIB = 1_024 ** 3;

/** Two engines that hold two of the three models each, and two plain services. */
export const UPSTREAM_MEMORY_BYTES: Readonly<Record<string, number>> = {
  'jury-1': 100 * GIB,
  'jury-2': 100 * GIB,
  'desk-1': GIB,
  'desk-2': GIB,
};

const ENGINE = {
  kind: 'engine',
  pool: 'jury-models',
  failureDomain: 'long-bien',
  region: 'hanoi',
  acceleratorCount: 1,
  memoryBytes: 100 * GIB,
  slotCount: 4,
};

const SERVICE = {
  kind: 'service',
  pool: 'entry-desk',
  failureDomain: 'long-bien',
  region: 'hanoi',
  slotCount: 4,
};

/** A model of which two fit into one engine. */
export function model(version: string): schema.Model {
  const fields = { version, sizeBytes: 40 * GIB, pools: ['jury-models'] };
  return schema.modelSchema.parse(fields);
}

export function firstDocument(checksFencing = true): schema.Document {
  const engine = { ...ENGINE, checksFencing };
  return schema.documentSchema.parse({
    upstreams: { 'jury-1': engine, 'jury-2': engine, 'desk-1': SERVICE, 'desk-2': SERVICE },
    models: { draws: model('v1'), protests: model('v1'), coach: model('v1') },
    adapters: { 'club-a': { model: 'draws', version: 'v1', sizeBytes: GIB } },
    services: {
      'entry-desk': {
        pool: 'entry-desk',
        priorityClass: 'critical',
        nonIdempotentRoutes: [{ method: 'POST', pathPrefix: '/submissions' }],
      },
    },
  });
}
