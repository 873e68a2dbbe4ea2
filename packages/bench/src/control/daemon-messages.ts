/** What the bench and its daemons say to each other over the process's IPC channel. */
import type * as socketBytes from './socket-bytes.js';

/** The document that the bench spreads: opaque to the library. */
export type BenchDocument = { models: Record<string, Record<string, string | number>> };

export type DaemonOptions = {
  memberId: string;
  incarnation: number;
  port: number;
  seedPorts: readonly number[];
  storePort: number;
  region: string;
  failureDomain: string;
  seed: number;
  /** Events a second that this daemon records in its journal; 0 for no journal. */
  journalEventsPerSecond: number;
  /** Starts no membership: what the process itself costs, for comparison. */
  isIdle: boolean;
};

export type ToDaemon =
  { kind: 'sample' } | { kind: 'leave' } | { kind: 'patch' } | { kind: 'stop' };

export type Sample = socketBytes.SocketBytes & {
  memberId: string;
  cpuMs: number;
  rssBytes: number;
  memberCount: number;
  configVersion: number;
  storeCalls: Record<string, number>;
};

export type FromDaemon =
  | { kind: 'ready' }
  | { kind: 'sample'; sample: Sample }
  | { kind: 'patched'; version: number; acceptedAtMs: number; error: string }
  /** Times are wall clock: all processes run on one machine. */
  | { kind: 'in-force'; version: number; atMs: number }
  | { kind: 'standing'; memberId: string; incarnation: number; status: string; atMs: number };
