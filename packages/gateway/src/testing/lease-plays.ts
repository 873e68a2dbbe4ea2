/** Random plays of the placement lease: gateways that end, stop and are suspended, before a store that loses and delays answers. */
import { clocks, logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import * as leaseManagers from '../server/placement/lease-manager.js';
import * as peerRegistries from '../shared/peer-registry.js';
import type * as stores from '../types/stores.js';
import * as memoryRecords from './memory-records.js';

export type LeasePlayOptions = { seed: number; checksFences: boolean };

export type LeasePlayResult = {
  /** Orders at one upstream of two machines within the lease time, or with a lower term after a higher one. */
  violations: readonly string[];
  /** Between the last order of a machine and the first one of the next, another machine. */
  changeGapsMs: readonly number[];
  /** Between the last order of a life that was killed and the first one of the same machine. */
  returnGapsMs: readonly number[];
  orderCount: number;
  /** How often each trouble came. */
  troubles: ReadonlyMap<string, number>;
  /** Whether orders are given again at the end, after a quiet time. */
  hasRecovered: boolean;
};

const LEASE_MS = 3_000;
const MACHINE_COUNT = 4;
const TROUBLED_MS = 60_000;
const QUIET_MS = 15_000;
const ORDER_EVERY_MS = 25;
const CONTACT_EVERY_MS = 100;
const STORE_LATENCY_MS = 4;
const CALL_LOST_MS = 800;
/** A machine that was ended, suspended or cut off within this time, or whose store was disturbed, is not in touch. */
const IN_TOUCH_MS = 3_000;
const STEP_MS = 5;

type Life = {
  manager: leaseManagers.LeaseManager;
  peers: peerRegistries.PeerRegistry;
  isEnded: boolean;
};

type Machine = {
  id: string;
  life: Life | null;
  suspendedSinceMs: number | null;
  suspendedMs: number;
  isCutOff: boolean;
  isAlone: boolean;
  /** When it was last ended, suspended, resumed or cut off. */
  disturbedMs: number;
};

type Order = { machineId: string; term: number; atMs: number; isInTouch: boolean };

type StoreTrouble = { losesShare: number; delaysShare: number; isDown: boolean };

const SOUND: StoreTrouble = { losesShare: 0, delaysShare: 0, isDown: false };

export async function playLease({
  seed,
  checksFences,
}: LeasePlayOptions): Promise<LeasePlayResult> {
  const world = fakeClocks.createFakeClock();
  const random = randoms.createRandom(seed);
  const records = memoryRecords.createMemoryRecords();
  const troubles = new Map<string, number>();
  const violations: string[] = [];
  const orders: Order[] = [];
  const changeGapsMs: number[] = [];
  const returnGapsMs: number[] = [];
  const lastOrderAt = new Map<string, Order>();
  let trouble = SOUND;
  let storeDisturbedMs = -Infinity;
  let restore: (() => void) | null = null;
  let highestTerm = 0;
  let lastOrder: Order | null = null;
  let hasLifeChanged = false;

  const machines = Array.from({ length: MACHINE_COUNT }, (_, index): Machine => ({
    id: `g${index + 1}`,
    life: null,
    suspendedSinceMs: null,
    suspendedMs: 0,
    isCutOff: false,
    isAlone: false,
    disturbedMs: -Infinity,
  }));

  const between = (least: number, most: number) => least + random.below(most - least);
  const happens = (share: number) => random.below(1_000) < share * 1_000;
  const isRunning = (machine: Machine) =>
    machine.life !== null && machine.suspendedSinceMs === null;

  /** Its monotonic time stands still while it is suspended; the time of day goes on. */
  function clockOf(machine: Machine, isEnded: () => boolean): clocks.Clock {
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

  function storeOf(machine: Machine, clock: clocks.Clock): stores.RecordStore {
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
      if (trouble.isDown || machine.isCutOff) return unavailable();
      if (happens(trouble.losesShare)) return unknown();
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
        if (trouble.isDown || machine.isCutOff) return unavailable();
        if (happens(trouble.delaysShare)) {
          const eraThen = records.era();
          world.schedule(world.nowMs() + between(500, 4_000), () => {
            // What was on its way when the store came back from a copy is gone.
            if (records.era() === eraThen) void records.put(...call);
          });
          return unknown();
        }
        if (happens(trouble.losesShare)) {
          void records.put(...call);
          return unknown();
        }
        return read(() => records.put(...call));
      },
    };
  }

  function start(machine: Machine): void {
    let life: Life | null = null;
    const clock = clockOf(machine, () => life?.isEnded ?? false);
    const peers = peerRegistries.createPeerRegistry(machine.id);
    const manager = leaseManagers.createLeaseManager({
      clock,
      log: logs.createSilentLogger(),
      random: randoms.createRandom(between(1, 1_000_000)),
      store: storeOf(machine, clock),
      peerRegistry: peers,
      quotas: { scarce: () => [], noteWritten: () => {} },
      gatewayId: machine.id,
      address: `${machine.id}:7000`,
      leaseMs: LEASE_MS,
      upstreamsCheckFences: checksFences,
      millicores: 1_000,
      isEligible: () => true,
    });
    life = { manager, peers, isEnded: false };
    machine.life = life;
    machine.disturbedMs = world.nowMs();
    manager.start();
  }

  function kill(machine: Machine): void {
    if (machine.life === null) return;
    machine.life.isEnded = true;
    machine.life = null;
    machine.disturbedMs = world.nowMs();
    hasLifeChanged = true;
    world.schedule(world.nowMs() + between(100, 2_000), () => {
      if (machine.life === null) start(machine);
    });
  }

  function stop(machine: Machine): void {
    const { life } = machine;
    if (life === null) return;
    machine.disturbedMs = world.nowMs();
    const untilMs = world.nowMs() - machine.suspendedMs + between(200, 7_000);
    void life.manager.release(untilMs).then(() => {
      if (machine.life === life) kill(machine);
    });
  }

  function during(forMs: number, begin: () => void, end: () => void): void {
    begin();
    world.schedule(world.nowMs() + forMs, end);
  }

  function disturb(machine: Machine): void {
    machine.disturbedMs = world.nowMs();
  }

  function suspend(machine: Machine): void {
    if (machine.suspendedSinceMs !== null) return;
    const sinceMs = world.nowMs();
    during(
      between(400, 9_000),
      () => {
        machine.suspendedSinceMs = sinceMs;
        disturb(machine);
      },
      () => {
        machine.suspendedMs += world.nowMs() - sinceMs;
        machine.suspendedSinceMs = null;
        disturb(machine);
      },
    );
  }

  function setTrouble(next: StoreTrouble): void {
    storeDisturbedMs = world.nowMs();
    trouble = next;
  }

  const holder = () =>
    machines.find(({ life }) => life !== null && life.manager.heldTerm() !== null) ?? null;
  const anyMachine = () => machines[random.below(machines.length)] as Machine;
  const victim = () => (happens(0.6) ? (holder() ?? anyMachine()) : anyMachine());

  const kinds: Record<string, () => void> = {
    kill: () => kill(victim()),
    stop: () => stop(victim()),
    suspend: () => suspend(victim()),
    'kill-all': () => machines.forEach(kill),
    'cut-off': () => {
      const machine = victim();
      during(
        between(300, 8_000),
        () => {
          machine.isCutOff = true;
          disturb(machine);
        },
        () => {
          machine.isCutOff = false;
          disturb(machine);
        },
      );
    },
    alone: () => {
      const machine = victim();
      during(
        between(300, 8_000),
        () => {
          machine.isAlone = true;
          disturb(machine);
        },
        () => {
          machine.isAlone = false;
          disturb(machine);
        },
      );
    },
    down: () =>
      during(
        between(300, 6_000),
        () => setTrouble({ ...SOUND, isDown: true }),
        () => setTrouble(SOUND),
      ),
    'lost-answers': () =>
      during(
        between(300, 6_000),
        () => setTrouble({ ...SOUND, losesShare: 0.5 }),
        () => setTrouble(SOUND),
      ),
    'late-writes': () =>
      during(
        between(300, 6_000),
        () => setTrouble({ ...SOUND, delaysShare: 0.5 }),
        () => setTrouble(SOUND),
      ),
    copy: () => {
      restore = records.copy();
    },
    restore: () => {
      storeDisturbedMs = world.nowMs();
      restore?.();
    },
    /** The one that has just taken the lease over. */
    'kill-next-holder': () => {
      const before = holder();
      if (before !== null) stop(before);
      const check = () => {
        const present = holder();
        if (present === null || present === before) world.schedule(world.nowMs() + 20, check);
        else world.schedule(world.nowMs() + between(0, 1_500), () => kill(present));
      };
      check();
    },
  };

  function isInTouch(machine: Machine): boolean {
    const nowMs = world.nowMs();
    const isDisturbed = machine.isCutOff || machine.isAlone || trouble !== SOUND;
    const lastMs = Math.max(machine.disturbedMs, storeDisturbedMs);
    return !isDisturbed && nowMs - lastMs > IN_TOUCH_MS;
  }

  function giveOrder(machine: Machine): void {
    const term = machine.life?.manager.orderTerm() ?? null;
    if (term === null || !isRunning(machine)) return;
    if (checksFences && term < highestTerm) {
      machine.life?.manager.fenced();
      return;
    }
    const atMs = world.nowMs();
    const given = { machineId: machine.id, term, atMs, isInTouch: isInTouch(machine) };
    if (term < highestTerm) {
      violations.push(`${atMs} ${machine.id} term ${term} after ${highestTerm}`);
    }
    const others = [...lastOrderAt.values()].filter(({ machineId }) => machineId !== machine.id);
    others.forEach((other) => {
      const isJudged = !checksFences || (given.isInTouch && other.isInTouch);
      if (!isJudged || atMs - other.atMs >= LEASE_MS) return;
      const apartMs = atMs - other.atMs;
      violations.push(
        `${atMs} ${machine.id} (${term}) ${apartMs} ms after ${other.machineId} (${other.term})`,
      );
    });
    if (lastOrder !== null && lastOrder.machineId !== machine.id) {
      changeGapsMs.push(atMs - lastOrder.atMs);
    } else if (lastOrder !== null && hasLifeChanged && lastOrder.term !== term) {
      returnGapsMs.push(atMs - lastOrder.atMs);
    }
    hasLifeChanged = false;
    lastOrder = given;
    highestTerm = Math.max(highestTerm, term);
    lastOrderAt.set(machine.id, given);
    orders.push(given);
  }

  function contact(from: Machine, to: Machine): void {
    if (!isRunning(from) || from.isAlone) return;
    const asker = from.life as Life;
    const nowMs = world.nowMs() - from.suspendedMs;
    const address = `${to.id}:7000`;
    if (!isRunning(to) || to.isAlone) {
      asker.peers.missed(address, nowMs);
      return;
    }
    asker.peers.noteContact({ gatewayId: to.id, address, millicores: 1_000 }, nowMs);
    const known = (to.life as Life).peers.lease();
    if (known !== null) asker.peers.applyLease(known);
  }

  function exchange(): void {
    machines.forEach((from) => {
      machines.filter((to) => to !== from).forEach((to) => contact(from, to));
    });
    world.schedule(world.nowMs() + CONTACT_EVERY_MS, exchange);
  }

  function order(): void {
    machines.forEach(giveOrder);
    world.schedule(world.nowMs() + ORDER_EVERY_MS, order);
  }

  const names = Object.keys(kinds);
  function nextTrouble(): void {
    if (world.nowMs() > TROUBLED_MS) return;
    const name = names[random.below(names.length)] as string;
    troubles.set(name, (troubles.get(name) ?? 0) + 1);
    kinds[name]?.();
    world.schedule(world.nowMs() + between(100, 6_000), nextTrouble);
  }

  machines.forEach(start);
  exchange();
  order();
  world.schedule(4_000, nextTrouble);
  await world.advance(TROUBLED_MS + 20_000);
  const countBefore = orders.length;
  await world.advance(QUIET_MS);
  machines.forEach(({ life }) => {
    if (life !== null) life.isEnded = true;
  });
  return {
    violations,
    changeGapsMs,
    returnGapsMs,
    orderCount: orders.length,
    troubles,
    hasRecovered: orders.length > countBefore,
  };
}
