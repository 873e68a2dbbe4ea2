/** The machines of a random play of the placement lease: the clock and the store of each. */
import { clocks, results } from '@copperlever/runtime';
import type * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import type * as leaseManagers from '../server/placement/lease-manager.js';
import type * as peerRegistries from '../shared/peer-registry.js';
import type * as stores from '../types/stores.js';
import type * as memoryRecords from './memory-records.js';

const STORE_LATENCY_MS = 4;
/** After so long a call without an answer is given up. */
const CALL_LOST_MS = 800;
/** How often a timer of a suspended machine is looked at again. */
const STEP_MS = 5;

export type Life = {
  manager: leaseManagers.LeaseManager;
  peers: peerRegistries.PeerRegistry;
  isEnded: boolean;
};

export type Machine = {
  id: string;
  life: Life | null;
  suspendedSinceMs: number | null;
  /** All suspensions that are over. */
  suspendedMs: number;
  /** From the store. */
  isCutOff: boolean;
  /** From the other machines. */
  isAlone: boolean;
  /** When it was last ended, suspended, resumed or cut off. */
  disturbedMs: number;
};

/** Shares of calls whose answers are lost, and of writes that take effect later. */
export type StoreTrouble = { losesShare: number; delaysShare: number; isDown: boolean };

export const NO_TROUBLE: StoreTrouble = { losesShare: 0, delaysShare: 0, isDown: false };

/** What a play draws from its seed. */
export type Chances = {
  /** A whole number from `least` to below `most`. */
  between: (least: number, most: number) => number;
  happens: (share: number) => boolean;
};

export type MachineStoreDeps = {
  machine: Machine;
  clock: clocks.Clock;
  world: fakeClocks.FakeClock;
  chances: Chances;
  records: memoryRecords.MemoryRecords;
  trouble: () => StoreTrouble;
};

export function createMachine(id: string): Machine {
  return {
    id,
    life: null,
    suspendedSinceMs: null,
    suspendedMs: 0,
    isCutOff: false,
    isAlone: false,
    disturbedMs: -Infinity,
  };
}

/** Its monotonic time stands still while it is suspended; the time of day goes on. */
export function createMachineClock(
  world: fakeClocks.FakeClock,
  machine: Machine,
  isEnded: () => boolean,
): clocks.Clock {
  const nowMs = () => (machine.suspendedSinceMs ?? world.nowMs()) - machine.suspendedMs;
  const schedule = (atMs: number, task: () => void): clocks.Cancel => {
    let isCancelled = false;
    const check = () => {
      if (isCancelled || isEnded()) return;
      if (machine.suspendedSinceMs === null && nowMs() >= atMs) task();
      else world.schedule(world.nowMs() + Math.max(STEP_MS, atMs - nowMs()), check);
    };
    world.schedule(world.nowMs() + Math.max(0, atMs - nowMs()), check);
    return () => {
      isCancelled = true;
    };
  };
  return { nowMs, wallMs: world.wallMs, schedule };
}

/** The store as one machine reaches it: calls fail, are lost, or take effect late. */
export function createMachineStore(deps: MachineStoreDeps): stores.RecordStore {
  const { machine, clock, world, records, trouble } = deps;
  const { between, happens } = deps.chances;
  let era = 0;
  const later = (forMs: number) => clocks.sleepUntil(clock, clock.nowMs() + forMs);
  const unavailable = async () => {
    await later(STORE_LATENCY_MS);
    return results.Err({ kind: 'unavailable', reason: '' } as const);
  };
  const unknown = async () => {
    await later(CALL_LOST_MS);
    return results.Err({ kind: 'outcome-unknown', reason: '' } as const);
  };
  async function read<Answer>(call: () => Promise<Answer>) {
    if (trouble().isDown || machine.isCutOff) return unavailable();
    if (happens(trouble().losesShare)) return unknown();
    await later(STORE_LATENCY_MS / 2);
    const answer = await call();
    const answerEra = records.era();
    await later(STORE_LATENCY_MS / 2);
    era = Math.max(era, answerEra);
    return answer;
  }
  return {
    era: () => era,
    list: (kind, deadlineMs) => read(() => records.list(kind, deadlineMs)),
    get: (kind, name, deadlineMs) => read(() => records.get(kind, name, deadlineMs)),
    watch: () => unavailable(),
    put: async (...call) => {
      if (trouble().isDown || machine.isCutOff) return unavailable();
      if (happens(trouble().delaysShare)) {
        const eraThen = records.era();
        world.schedule(world.nowMs() + between(500, 4_000), () => {
          // What was on its way when the store came back from a copy is gone.
          if (records.era() === eraThen) void records.put(...call);
        });
        return unknown();
      }
      if (happens(trouble().losesShare)) {
        void records.put(...call);
        return unknown();
      }
      return read(() => records.put(...call));
    },
  };
}
