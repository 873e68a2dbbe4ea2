/** Gateways that keep their lists of upstreams by a store and by each other, on a virtual clock, under faults. */
import { clocks as clocksModule, logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import type * as followers from '../server/control/follower.js';
import * as upstreamLists from '../server/control/upstream-list.js';
import type * as peerLinks from '../server/peers/peer-link.js';
import type * as quotasModule from '../server/quotas/quotas.js';
import * as exchangeGateways from './exchange-gateway.js';
import * as fixtures from './fleet-fixtures.js';
import * as listStores from './list-store.js';

export type ListGateway = exchangeGateways.ExchangeGateway & {
  gatewayId: string;
  faults: Faults;
  list: followers.Follower;
};

export type ListFleet = {
  clock: fakeClocks.FakeClock;
  store: listStores.ListStore;
  gateways: ListGateway[];
  holder: () => ListGateway;
  /** The lease goes to another gateway. */
  moveLease: () => void;
  addGateway: () => ListGateway;
  /** The gateway is killed, and starts again under its name. */
  restart: (gateway: ListGateway) => ListGateway;
  stop: () => void;
};

export type ListFleetOptions = { gatewayCount: number; drainTimeoutMs: number; seed: number };

type Rig = ListFleetOptions & {
  clock: fakeClocks.FakeClock;
  store: listStores.ListStore;
  byAddress: Map<string, ListGateway>;
  lenders: quotasModule.Quotas[];
  seedAddresses: string[];
};

const NETWORK_MS = 2;

/** How a gateway is reached, by the store and by the others. */
export type Faults = {
  store: listStores.StoreLink;
  /** Cut off from all other gateways. */
  isIsolated: boolean;
  /** What its answers to others take on top. */
  slowMs: number;
  /** Its event loop stands until then. */
  stalledUntilMs: number;
};

function createLink(rig: Rig, self: () => ListGateway | undefined): peerLinks.PeerLink {
  const { clock } = rig;
  const exchange: peerLinks.PeerLink['exchange'] = async (address, request, deadlineMs) => {
    const other = rig.byAddress.get(address);
    const isCut = () =>
      other === undefined || other.faults.isIsolated || self()?.faults.isIsolated === true;
    const silent = async () => {
      await clocksModule.sleepUntil(clock, deadlineMs);
      return results.Err({ kind: 'deadline', address } as const);
    };
    await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
    if (isCut() || other === undefined) return silent();
    const reply = other.exchange.handle(request);
    const takesMs = NETWORK_MS + other.faults.slowMs;
    await clocksModule.sleepUntil(clock, Math.min(deadlineMs, clock.nowMs() + takesMs));
    return isCut() || clock.nowMs() >= deadlineMs ? silent() : results.Ok(reply);
  };
  return { exchange } as Partial<peerLinks.PeerLink> as peerLinks.PeerLink;
}

/** What is due while the event loop stands happens afterwards. */
function createStallingClock(clock: fakeClocks.FakeClock, faults: Faults): fakeClocks.FakeClock {
  return {
    ...clock,
    schedule: (atMs, task) => {
      let cancel = clock.schedule(atMs, () => {
        if (clock.nowMs() < faults.stalledUntilMs) {
          cancel = clock.schedule(faults.stalledUntilMs, task);
        } else task();
      });
      return () => cancel();
    },
  };
}

function createListGateway(rig: Rig, gatewayId: string, life = 0): ListGateway {
  const faults: Faults = {
    store: 'works',
    isIsolated: false,
    slowMs: 0,
    stalledUntilMs: -Infinity,
  };
  const clock = createStallingClock(rig.clock, faults);
  const store = rig.store.reachedBy(() => faults.store);
  const own: { gateway: ListGateway | undefined } = { gateway: undefined };
  const gateway = exchangeGateways.createExchangeGateway({
    gatewayId,
    clock,
    link: createLink(rig, () => own.gateway),
    lenders: rig.lenders,
    drainTimeoutMs: rig.drainTimeoutMs,
    seed: rig.seed + rig.byAddress.size + life,
    seedAddresses: rig.seedAddresses,
    status: {
      isStoreConnected: () => list.isConnected(),
      storeEra: store.era,
      onLaterEra: () => list.relist(),
    },
  });
  const list = upstreamLists.createUpstreamList({
    store,
    clock,
    random: randoms.createRandom(rig.seed + rig.byAddress.size + 100),
    log: logs.createSilentLogger(),
    directory: gateway.directory,
    listFeed: gateway.listFeed,
    contact: gateway.contact,
    isHolder: () => gateway.state.heldTerm !== null,
    drainTimeoutMs: rig.drainTimeoutMs,
    onListed: () => {},
    onChanged: () => {},
  });
  const running = { ...gateway, gatewayId, faults, list };
  own.gateway = running;
  rig.byAddress.set(exchangeGateways.addressOf(gatewayId), running);
  return running;
}

export function createListFleet(options: ListFleetOptions): ListFleet {
  const clock = fakeClocks.createFakeClock();
  const store = listStores.createListStore(clock);
  const seedAddresses = ['g1', 'g2', 'g3'].map(exchangeGateways.addressOf);
  const rig: Rig = {
    ...options,
    clock,
    store,
    byAddress: new Map(),
    lenders: [],
    seedAddresses,
  };
  const gateways: ListGateway[] = [];
  let { term } = exchangeGateways.HOLDER;
  let restartCount = 0;

  function addGateway(): ListGateway {
    const gateway = createListGateway(rig, `g${gateways.length + 1}`);
    gateways.push(gateway);
    gateway.list.start();
    gateway.exchange.start();
    return gateway;
  }

  function restart(gateway: ListGateway): ListGateway {
    gateway.list.stop();
    gateway.exchange.stop();
    restartCount += 1;
    const started = createListGateway(rig, gateway.gatewayId, restartCount * 1_000);
    gateways.splice(gateways.indexOf(gateway), 1, started);
    started.list.start();
    started.exchange.start();
    return started;
  }

  function giveLease(to: ListGateway): void {
    gateways.forEach(({ state }) => {
      state.heldTerm = null;
    });
    to.state.heldTerm = term;
    to.book.applyLease({ holderId: to.gatewayId, term });
  }

  function holder(): ListGateway {
    const found = gateways.find(({ state }) => state.heldTerm !== null);
    if (found === undefined) throw new Error('nobody holds the lease');
    return found;
  }

  for (let count = 0; count < options.gatewayCount; count += 1) addGateway();
  const [first] = gateways;
  if (first !== undefined) giveLease(first);

  return {
    clock,
    store,
    gateways,
    holder,
    moveLease: () => {
      const before = holder();
      const next = gateways.find((other) => other !== before && !other.faults.isIsolated);
      if (next === undefined) return;
      term += 1;
      giveLease(next);
    },
    addGateway,
    restart,
    stop: () => {
      gateways.forEach(({ list, exchange }) => {
        list.stop();
        exchange.stop();
      });
    },
  };
}

export function upstream(upstreamId: string, state: 'ready' | 'draining', slots = 8) {
  return fixtures.upstreamRecord(upstreamId, { state, slots });
}
