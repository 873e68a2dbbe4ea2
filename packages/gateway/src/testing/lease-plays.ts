/** Random plays of the placement lease: gateways that end, stop and are suspended, before a store that loses and delays answers. */
import { logs, randoms } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import * as leaseManagers from '../server/placement/lease-manager.js';
import * as peerRegistries from '../shared/peer-registry.js';
import * as leaseMachines from './lease-machines.js';
import * as orderChecks from './lease-order-check.js';
import * as memoryRecords from './memory-records.js';

export type LeasePlayOptions = { seed: number; checksFences: boolean };

export type LeasePlayResult = Pick<
  orderChecks.OrderCheck,
  'violations' | 'changeGapsMs' | 'returnGapsMs'
> & {
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
/** A machine that was ended, suspended or cut off within this time, or whose store was disturbed, is not in touch. */
const IN_TOUCH_MS = 3_000;

export async function playLease({
  seed,
  checksFences,
}: LeasePlayOptions): Promise<LeasePlayResult> {
  const world = fakeClocks.createFakeClock();
  const random = randoms.createRandom(seed);
  const records = memoryRecords.createMemoryRecords();
  const troubles = new Map<string, number>();
  const check = orderChecks.createOrderCheck(checksFences, LEASE_MS);
  let trouble: leaseMachines.StoreTrouble = leaseMachines.NO_TROUBLE;
  let storeDisturbedMs = -Infinity;
  let restore: (() => void) | null = null;

  const machines = Array.from({ length: MACHINE_COUNT }, (_, index) =>
    leaseMachines.createMachine(`g${index + 1}`),
  );

  const between = (least: number, most: number) => least + random.below(most - least);
  const happens = (share: number) => random.below(1_000) < share * 1_000;
  const isRunning = (machine: leaseMachines.Machine) =>
    machine.life !== null && machine.suspendedSinceMs === null;

  const storeDeps = { world, chances: { between, happens }, records, trouble: () => trouble };

  function start(machine: leaseMachines.Machine): void {
    let life: leaseMachines.Life | null = null;
    const clock = leaseMachines.createMachineClock(world, machine, () => life?.isEnded ?? false);
    const peers = peerRegistries.createPeerRegistry(machine.id);
    const manager = leaseManagers.createLeaseManager({
      clock,
      log: logs.createSilentLogger(),
      random: randoms.createRandom(between(1, 1_000_000)),
      store: leaseMachines.createMachineStore({ ...storeDeps, machine, clock }),
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

  function kill(machine: leaseMachines.Machine): void {
    if (machine.life === null) return;
    machine.life.isEnded = true;
    machine.life = null;
    machine.disturbedMs = world.nowMs();
    check.noteKill();
    world.schedule(world.nowMs() + between(100, 2_000), () => {
      if (machine.life === null) start(machine);
    });
  }

  function stop(machine: leaseMachines.Machine): void {
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

  function disturb(machine: leaseMachines.Machine): void {
    machine.disturbedMs = world.nowMs();
  }

  function suspend(machine: leaseMachines.Machine): void {
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

  function setTrouble(next: leaseMachines.StoreTrouble): void {
    storeDisturbedMs = world.nowMs();
    trouble = next;
  }

  const holder = () =>
    machines.find(({ life }) => life !== null && life.manager.heldTerm() !== null) ?? null;
  const anyMachine = () => machines[random.below(machines.length)] as leaseMachines.Machine;
  const victim = () => (happens(0.6) ? (holder() ?? anyMachine()) : anyMachine());

  function separate(flag: 'isCutOff' | 'isAlone'): void {
    const machine = victim();
    const set = (isSeparate: boolean) => {
      machine[flag] = isSeparate;
      disturb(machine);
    };
    during(
      between(300, 8_000),
      () => set(true),
      () => set(false),
    );
  }

  const kinds: Record<string, () => void> = {
    kill: () => kill(victim()),
    stop: () => stop(victim()),
    suspend: () => suspend(victim()),
    'kill-all': () => machines.forEach(kill),
    'cut-off': () => separate('isCutOff'),
    alone: () => separate('isAlone'),
    down: () =>
      during(
        between(300, 6_000),
        () => setTrouble({ ...leaseMachines.NO_TROUBLE, isDown: true }),
        () => setTrouble(leaseMachines.NO_TROUBLE),
      ),
    'lost-answers': () =>
      during(
        between(300, 6_000),
        () => setTrouble({ ...leaseMachines.NO_TROUBLE, losesShare: 0.5 }),
        () => setTrouble(leaseMachines.NO_TROUBLE),
      ),
    'late-writes': () =>
      during(
        between(300, 6_000),
        () => setTrouble({ ...leaseMachines.NO_TROUBLE, delaysShare: 0.5 }),
        () => setTrouble(leaseMachines.NO_TROUBLE),
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
      const look = () => {
        const present = holder();
        if (present === null || present === before) world.schedule(world.nowMs() + 20, look);
        else world.schedule(world.nowMs() + between(0, 1_500), () => kill(present));
      };
      look();
    },
  };

  function isInTouch(machine: leaseMachines.Machine): boolean {
    const nowMs = world.nowMs();
    const isDisturbed = machine.isCutOff || machine.isAlone || trouble !== leaseMachines.NO_TROUBLE;
    const lastMs = Math.max(machine.disturbedMs, storeDisturbedMs);
    return !isDisturbed && nowMs - lastMs > IN_TOUCH_MS;
  }

  function giveOrder(machine: leaseMachines.Machine): void {
    const term = machine.life?.manager.orderTerm() ?? null;
    if (term === null || !isRunning(machine)) return;
    if (checksFences && term < check.highestTerm()) {
      machine.life?.manager.fenced();
      return;
    }
    const given = { machineId: machine.id, term, atMs: world.nowMs() };
    check.note({ ...given, isInTouch: isInTouch(machine) });
  }

  function contact(from: leaseMachines.Machine, to: leaseMachines.Machine): void {
    if (!isRunning(from) || from.isAlone) return;
    const asker = from.life as leaseMachines.Life;
    const nowMs = world.nowMs() - from.suspendedMs;
    const address = `${to.id}:7000`;
    if (!isRunning(to) || to.isAlone) {
      asker.peers.missed(address, nowMs);
      return;
    }
    asker.peers.noteContact({ gatewayId: to.id, address, millicores: 1_000 }, nowMs);
    const known = (to.life as leaseMachines.Life).peers.lease();
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
  const countBefore = check.orderCount();
  await world.advance(QUIET_MS);
  machines.forEach(({ life }) => {
    if (life !== null) life.isEnded = true;
  });
  return {
    violations: check.violations,
    changeGapsMs: check.changeGapsMs,
    returnGapsMs: check.returnGapsMs,
    orderCount: check.orderCount(),
    troubles,
    hasRecovered: check.orderCount() > countBefore,
  };
}
