/**
 * Plays of upstreams that leave, by word or by removal alone, while gateways, their links and the store fail in all the ways that
 * leave a gateway in contact with the store.
 */
import { randoms } from '@copperlever/runtime';

import * as listFleets from './list-fleet.js';
import type * as listStores from './list-store.js';

export type ListPlay = {
  /** The longest time for which a gateway in contact offered an upstream that had left. */
  worstMs: number;
  detail: string;
  leftCount: number;
};

export type ListPlayOptions = { seed: number; drainTimeoutMs: number; contactMs: number };

type Task = { atMs: number; run: () => void };

const STEP_MS = 10;
const START_MS = 3_000;
const LENGTH_MS = 45_000;
/** Gateways of a play: few mostly, and now and then many. */
const FLEET_SIZES = [4, 4, 5, 6, 8, 12, 40];
const STALL_MAX_MS = 250;
const COMPACT_MS = 1_000;
const KEPT_LEAVES_MS = 9_000;

export async function play({
  seed,
  drainTimeoutMs,
  contactMs,
}: ListPlayOptions): Promise<ListPlay> {
  const random = randoms.createRandom(seed);
  const gatewayCount = randoms.pick(random, FLEET_SIZES) ?? 4;
  const fleet = listFleets.createListFleet({ gatewayCount, drainTimeoutMs, seed });
  const { clock, store, gateways } = fleet;
  const tasks: Task[] = [];
  /** Until when each gateway is out of contact with the store, or has been. */
  const lostUntilMs = new Map<listFleets.ListGateway, number>();
  const ids: string[] = [];
  let upstreamCount = 0;
  let leaves: { upstreamId: string; atMs: number }[] = [];
  const result: ListPlay = { worstMs: 0, detail: '', leftCount: 0 };

  const later = (inMs: number, run: () => void) => tasks.push({ atMs: clock.nowMs() + inMs, run });
  const anyGateway = () => randoms.pick(random, gateways) ?? fleet.holder();

  function loseContact(gateway: listFleets.ListGateway, forMs: number): void {
    const untilMs = clock.nowMs() + forMs;
    lostUntilMs.set(gateway, Math.max(untilMs, lostUntilMs.get(gateway) ?? 0));
  }

  function cutFromStore(gateway: listFleets.ListGateway, forMs: number): void {
    gateway.faults.store = random.below(2) === 0 ? 'refused' : 'silent';
    loseContact(gateway, forMs);
    later(forMs, () => {
      gateway.faults.store = 'works';
    });
  }

  /** Answers are late, or one in a few is lost: the gateway is in contact. */
  function trouble(
    gateway: listFleets.ListGateway,
    how: listStores.StoreLink,
    forMs: number,
  ): void {
    if (gateway.faults.store !== 'works') return;
    gateway.faults.store = how;
    later(forMs, () => {
      if (gateway.faults.store === how) gateway.faults.store = 'works';
    });
  }

  function restart(gateway: listFleets.ListGateway): void {
    if (gateway === fleet.holder()) fleet.moveLease();
    if (gateway === fleet.holder()) return;
    loseContact(fleet.restart(gateway), 0);
  }

  function injectFault(): void {
    const forMs = 300 + random.below(6_000);
    const gateway = anyGateway();
    switch (random.below(11)) {
      case 0:
        cutFromStore(fleet.holder(), forMs);
        return;
      case 1:
        cutFromStore(gateway, forMs);
        return;
      case 2:
        gateway.faults.isIsolated = true;
        later(forMs, () => {
          gateway.faults.isIsolated = false;
        });
        return;
      case 3:
        gateways.forEach((one) => cutFromStore(one, forMs));
        return;
      case 4:
        trouble(gateway, 'lost', 20 + random.below(200));
        return;
      case 5:
        trouble(fleet.holder(), 'late', 400);
        return;
      case 6:
        gateway.faults.stalledUntilMs = clock.nowMs() + random.below(STALL_MAX_MS);
        return;
      case 7:
        restart(gateway);
        return;
      case 8:
        store.compact(COMPACT_MS);
        gateways.forEach((one) => loseContact(one, COMPACT_MS));
        return;
      case 9:
        fleet.holder().faults.slowMs = random.below(400);
        later(forMs, () => gateways.forEach(({ faults }) => Object.assign(faults, { slowMs: 0 })));
        return;
      default:
        fleet.moveLease();
    }
  }

  function addUpstream(): void {
    upstreamCount += 1;
    ids.push(`u${upstreamCount}`);
    store.put(listFleets.upstream(`u${upstreamCount}`, 'ready'));
  }

  function leave(): void {
    const [upstreamId] = ids.splice(random.below(ids.length), 1);
    addUpstream();
    if (upstreamId === undefined) return;
    if (random.below(2) === 0) store.remove(upstreamId);
    else store.put(listFleets.upstream(upstreamId, 'draining'));
    result.leftCount += 1;
    leaves.push({ upstreamId, atMs: clock.nowMs() });
  }

  function every(meanMs: number, run: () => void): void {
    later(random.below(2 * meanMs), () => {
      run();
      every(meanMs, run);
    });
  }

  function check(): void {
    const nowMs = clock.nowMs();
    leaves = leaves.filter(({ atMs }) => nowMs - atMs < KEPT_LEAVES_MS);
    gateways.forEach((gateway) => {
      const isBound = nowMs - (lostUntilMs.get(gateway) ?? 0) >= contactMs;
      if (!isBound || nowMs < gateway.faults.stalledUntilMs) return;
      const offered = new Set(
        gateway.directory.eligible('pool', nowMs).map(({ upstreamId }) => upstreamId),
      );
      leaves.forEach(({ upstreamId, atMs }) => {
        if (!offered.has(upstreamId) || nowMs - atMs <= result.worstMs) return;
        result.worstMs = nowMs - atMs;
        result.detail = `${gateway.gatewayId} of ${gateways.length}, ${upstreamId} at ${nowMs}`;
      });
    });
  }

  for (let count = 0; count < 6; count += 1) addUpstream();
  await clock.advance(START_MS);
  every(1_500, injectFault);
  every(100 + random.below(600), () => {
    const changed = randoms.pick(random, ids);
    if (changed !== undefined) store.put(listFleets.upstream(changed, 'ready', random.below(60)));
  });
  every(900, leave);
  while (clock.nowMs() < LENGTH_MS) {
    const due = tasks.filter(({ atMs }) => atMs <= clock.nowMs());
    due.forEach((task) => tasks.splice(tasks.indexOf(task), 1));
    due.forEach(({ run }) => run());
    await clock.advance(STEP_MS);
    check();
  }
  fleet.stop();
  return result;
}
