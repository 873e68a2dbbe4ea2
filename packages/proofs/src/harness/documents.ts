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
  checksFencing: true,
};

const SERVICE = {
  kind: 'service',
  pool: 'entry-desk',
  failureDomain: 'long-bien',
  region: 'hanoi',
  slotCount: 4,
};

export function modelOf(version: string, sizeGib = 40) {
  return { version, sizeBytes: sizeGib * GIB, pools: ['jury-models'] };
}

export function firstDocument(): schema.Document {
  return schema.documentSchema.parse({
    upstreams: { 'jury-1': ENGINE, 'jury-2': ENGINE, 'desk-1': SERVICE, 'desk-2': SERVICE },
    models: { draws: modelOf('v1'), protests: modelOf('v1'), coach: modelOf('v1') },
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
