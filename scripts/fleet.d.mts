/** Types of scripts/fleet.mjs, for the measurements that start a fleet. */
import type * as childProcess from 'node:child_process';

export type StandIn = { url: string; controlUrl: string };

export type Entry = { url: string; address: string };

export type Agent = { address: string };

export type Operated = { status: number | null; out: string; error: string };

export type Fleet = {
  folder: string;
  processes: ReadonlyMap<string, childProcess.ChildProcess>;
  writeFile: (name: string, value: unknown) => string;
  startStandIn: (name: string, kind: string, options?: readonly string[]) => Promise<StandIn>;
  startEntry: (settings: Record<string, unknown>) => Promise<Entry>;
  startAgent: (settings: Record<string, unknown>) => Promise<Agent>;
  operate: (args: readonly string[]) => Operated;
  stop: () => Promise<void>;
};

export function createFleet(output?: 'files' | 'pipe' | number): Fleet;

export function waitFor<Value>(
  what: string,
  probe: () => Promise<Value | undefined>,
): Promise<Value>;
