/** The daemons of one run, each a process. */
import * as childProcess from 'node:child_process';
import * as timers from 'node:timers/promises';

import type * as messages from './daemon-messages.js';

export type Daemon = {
  index: number;
  memberId: string;
  incarnation: number;
  child: childProcess.ChildProcess;
  /** When each configuration version came into force here. */
  inForceAtMs: Map<number, number>;
  /** The latest that this daemon said of each other one, and when. */
  standings: Map<string, { incarnation: number; status: string; atMs: number }[]>;
};

export type FleetOptions = {
  count: number;
  basePort: number;
  storePort: number;
  journalEventsPerSecond: number;
  isIdle: boolean;
};

export type Fleet = {
  daemons: Daemon[];
  start: (index: number, incarnation: number) => Promise<Daemon>;
  startAll: () => Promise<void>;
  sampleAll: () => Promise<messages.Sample[]>;
  /** Asks a daemon for a patch; resolves when the patch was accepted. */
  patch: (daemon: Daemon) => Promise<{ version: number; acceptedAtMs: number }>;
  tell: (daemon: Daemon, message: messages.ToDaemon) => void;
  stop: () => void;
};

const SEED_COUNT = 3;
const REGIONS = 3;
const FAILURE_DOMAINS = 8;
const START_SPACING_MS = 30;
const POLL_MS = 20;

export function memberIdOf(index: number): string {
  return `agent-${String(index).padStart(4, '0')}.example`;
}

/** Waits until `isDone` or for `limitMs`; says whether it was done. */
export async function waitFor(isDone: () => boolean, limitMs: number): Promise<boolean> {
  const untilMs = Date.now() + limitMs;
  while (!isDone()) {
    if (Date.now() > untilMs) return false;
    await timers.setTimeout(POLL_MS);
  }
  return true;
}

export function createFleet(options: FleetOptions): Fleet {
  const daemons: Daemon[] = [];

  function optionsOf(index: number, incarnation: number): messages.DaemonOptions {
    const domain = index % FAILURE_DOMAINS;
    return {
      memberId: memberIdOf(index),
      incarnation,
      port: options.basePort + index,
      seedPorts: Array.from({ length: SEED_COUNT }, (_, seed) => options.basePort + seed),
      storePort: options.storePort,
      region: `region-${domain % REGIONS}`,
      failureDomain: `domain-${domain}`,
      seed: index * 1_000 + incarnation,
      journalEventsPerSecond: options.journalEventsPerSecond,
      isIdle: options.isIdle,
    };
  }

  function nextMessage<Kind extends messages.FromDaemon['kind']>(
    daemon: Daemon,
    kind: Kind,
  ): Promise<Extract<messages.FromDaemon, { kind: Kind }>> {
    return new Promise((resolve) => {
      const listen = (raw: unknown) => {
        const message = raw as messages.FromDaemon;
        if (message.kind !== kind) return;
        daemon.child.off('message', listen);
        resolve(message as Extract<messages.FromDaemon, { kind: Kind }>);
      };
      daemon.child.on('message', listen);
    });
  }

  function note(daemon: Daemon, message: messages.FromDaemon): void {
    if (message.kind === 'in-force') daemon.inForceAtMs.set(message.version, message.atMs);
    if (message.kind !== 'standing') return;
    const heard = daemon.standings.get(message.memberId) ?? [];
    heard.push(message);
    daemon.standings.set(message.memberId, heard);
  }

  async function start(index: number, incarnation: number): Promise<Daemon> {
    const child = childProcess.fork(
      'dist/bench-control-daemon.js',
      [JSON.stringify(optionsOf(index, incarnation))],
      { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] },
    );
    const daemon: Daemon = {
      index,
      memberId: memberIdOf(index),
      incarnation,
      child,
      inForceAtMs: new Map(),
      standings: new Map(),
    };
    // Each asks for a sample or a message of one kind at a time.
    child.setMaxListeners(0);
    child.on('message', (message) => note(daemon, message as messages.FromDaemon));
    daemons[index] = daemon;
    // A port that is taken, for example by daemons of an earlier run, would leave the bench waiting.
    const endsEarly = () => {
      throw new Error(`${daemon.memberId} ended before it was ready`);
    };
    child.once('exit', endsEarly);
    await nextMessage(daemon, 'ready');
    child.off('exit', endsEarly);
    return daemon;
  }

  function tell(daemon: Daemon, message: messages.ToDaemon): void {
    if (daemon.child.connected) daemon.child.send(message);
  }

  return {
    daemons,
    start,
    startAll: async () => {
      const started: Promise<Daemon>[] = [];
      for (let index = 0; index < options.count; index += 1) {
        started.push(start(index, 1));
        await timers.setTimeout(START_SPACING_MS);
      }
      await Promise.all(started);
    },
    sampleAll: () =>
      Promise.all(
        daemons.map(async (daemon) => {
          const answer = nextMessage(daemon, 'sample');
          tell(daemon, { kind: 'sample' });
          return (await answer).sample;
        }),
      ),
    patch: async (daemon) => {
      const answer = nextMessage(daemon, 'patched');
      tell(daemon, { kind: 'patch' });
      const { version, acceptedAtMs, error } = await answer;
      if (error !== '') throw new Error(`the patch was not accepted: ${error}`);
      return { version, acceptedAtMs };
    },
    tell,
    stop: () => {
      for (const { child } of daemons) child.kill('SIGKILL');
    },
  };
}
