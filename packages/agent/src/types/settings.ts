/** The settings file of an agent. */
import * as zod from 'zod';

const name = zod.string().min(1);

export const settingsSchema = zod.strictObject({
  /** The same over restarts; the process behind it changes its incarnation. */
  agentId: name,
  /** The upstream of the configuration that this agent stands beside. */
  upstreamId: name,
  region: name,
  failureDomain: name,
  listenHost: name,
  listenPort: zod.number().int().min(1).max(65_535),
  /** `host:port` of a few other daemons, asked first for members and configuration. */
  seedAddresses: zod.array(name),
  platformUrl: zod.url(),
  upstreamUrl: zod.url(),
  logLevel: zod.enum(['info', 'warn', 'error']).default('info'),
  statsd: zod.strictObject({ host: name, port: zod.number().int().min(1).max(65_535) }).optional(),
  /** How long an event of a request waits before it is written; short only in demos and tests. */
  journalFlushIntervalMs: zod.number().int().positive().default(30_000),
  /** The memory that this process may use; without it that of the machine, 350 MB at most. */
  memoryMb: zod.number().int().positive().optional(),
  /** How long a planned stop waits for requests in flight. */
  drainTimeoutMs: zod.number().int().positive().default(120_000),
});

export type Settings = zod.infer<typeof settingsSchema>;
