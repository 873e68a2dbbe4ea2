/** The shapes of the object API's answers. */
import * as zod from 'zod';

export const listing = zod.object({
  objects: zod.array(zod.object({ key: zod.string(), version: zod.number() })),
});

export const changes = zod.object({
  revision: zod.number(),
  changedKeys: zod.array(zod.string()),
});

export const machines = zod.object({
  vms: zod.array(
    zod.object({
      vmId: zod.string(),
      address: zod.string(),
      status: zod.enum(['live', 'leaving']),
    }),
  ),
});

/** Null where the bytes are no such value. */
export function parse<Value>(bytes: Buffer, schema: zod.ZodType<Value>): Value | null {
  try {
    const parsed = schema.safeParse(JSON.parse(bytes.toString('utf8')));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
