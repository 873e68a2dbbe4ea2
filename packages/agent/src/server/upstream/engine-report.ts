/** The shape of an engine's report: numbers of it go into fencing numbers. */
import * as zod from 'zod';

import type * as upstreams from '../../types/upstreams.js';

const schema = zod.object({
  incarnation: zod.int(),
  fencingNumber: zod.int().nonnegative(),
  memoryBytes: zod.number(),
  usedBytes: zod.number(),
  copies: zod.array(
    zod.object({
      name: zod.string(),
      version: zod.string(),
      sizeBytes: zod.number(),
      state: zod.enum(['loading', 'ready']),
    }),
  ),
  runningCount: zod.number(),
});

/** Null where it is none. */
export function parse(value: unknown): upstreams.EngineReport | null {
  return schema.safeParse(value).data ?? null;
}
