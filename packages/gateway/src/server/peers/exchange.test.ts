import { quarantine } from '@copperlever/decisions';
import { logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as inFlightModule from '../../shared/in-flight.js';
import * as peerBooks from '../../shared/peer-book.js';
import * as demandCounters from '../../shared/placing/demand-counters.js';
import * as placementViews from '../../shared/placing/placement-view.js';
import * as suspectsModule from '../../shared/suspects.js';
import * as directories from '../../shared/upstream-directory.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import * as configHolders from '../control/config-holder.js';
import type * as leaseKeepers from '../placing/lease-keeper.js';
import type * as placers from '../placing/placer.js';
import * as exchanges from './exchange.js';
import type * as peerLinks from './peer-link.js';

const test = suite('exchange');

const HOLDER = { holderId: 'g1', term: 4 };

/** Two gateways that reach each other without a network; g1 holds the lease. */
function createPair() {
  const clock = fakeClocks.createFakeClock();
  const handlers = new Map<string, exchanges.Exchange>();
  const calls: string[] = [];
  const link = {
    exchange: (address, request) => {
      calls.push(`${request.news?.gatewayId}>${address}`);
      const other = handlers.get(address) as exchanges.Exchange;
      return Promise.resolve(results.Ok(other.handle(request)));
    },
  } as Partial<peerLinks.PeerLink> as peerLinks.PeerLink;

  function create(gatewayId: string) {
    const state = {
      heldTerm: null as number | null,
      isStopping: false,
      avoidedIds: [] as string[],
    };
    const book = peerBooks.createPeerBook(gatewayId);
    const suspects = suspectsModule.createSuspects();
    const directory = directories.createUpstreamDirectory();
    const log = logs.createSilentLogger();
    const placer = { heardDemand: () => {}, news: () => null } as Partial<placers.Placer>;
    const lease = { heldTerm: () => state.heldTerm } as Partial<leaseKeepers.LeaseKeeper>;
    const exchange = exchanges.createExchange({
      clock,
      random: randoms.createRandom(5),
      log,
      link,
      book,
      configuration: configHolders.createConfigHolder(log, clock),
      directory,
      inFlight: inFlightModule.createInFlight(),
      quarantine: quarantine.createQuarantine(),
      demand: demandCounters.createDemandCounters(),
      view: placementViews.createPlacementView(),
      lease: lease as leaseKeepers.LeaseKeeper,
      beliefs: { avoidedIds: () => state.avoidedIds },
      suspects,
      placer: placer as placers.Placer,
      gatewayId,
      incarnation: 1,
      address: `${gatewayId}:1`,
      seedAddresses: ['g1:1', 'g2:1'],
      isStopping: () => state.isStopping,
      isStoreConnected: () => true,
      onUpstreamsLearned: () => {},
      watchPauseMs: 1_200,
    });
    handlers.set(`${gatewayId}:1`, exchange);
    book.noteLease(HOLDER);
    return { state, book, suspects, directory, exchange };
  }

  const holder = create('g1');
  holder.state.heldTerm = HOLDER.term;
  const follower = create('g2');
  follower.book.learned([{ gatewayId: 'g1', address: 'g1:1' }], clock.nowMs());
  return { clock, calls, holder, follower };
}

function callsToHolder(calls: readonly string[]): number {
  return calls.filter((call) => call === 'g2>g1:1').length;
}

// The holder is stopped and goes on placing through its drain. Were it taken for gone at once, nobody would tell it
// of demand nor ask it for adapters, and its last seconds of placing would be blind.
test('a holder that stops is asked until it has given its lease back', async () => {
  const { clock, calls, holder, follower } = createPair();
  follower.exchange.start();
  await clock.advance(1_000);
  holder.state.isStopping = true;
  calls.length = 0;
  await clock.advance(1_000);
  assert.ok(callsToHolder(calls) >= 3, `${callsToHolder(calls)}`);
  assert.is(follower.book.addressOf('g1'), 'g1:1');
  holder.state.heldTerm = null;
  await clock.advance(500);
  assert.is(follower.book.addressOf('g1'), null);
  follower.exchange.stop();
});

test('the holder learns what others avoid', async () => {
  const { clock, holder, follower } = createPair();
  follower.state.avoidedIds = ['u1'];
  holder.state.avoidedIds = ['u1', 'u2'];
  holder.exchange.start();
  follower.exchange.start();
  await clock.advance(1_000);
  assert.ok(holder.suspects.isSuspect('u1', 2, clock.nowMs()));
  assert.not(holder.suspects.isSuspect('u2', 2, clock.nowMs()));
  holder.exchange.stop();
  follower.exchange.stop();
});

// The follower's own watch has fallen silent: the holder has had a newer list for longer than the watch pauses.
test('a list that a peer has had for longer than the watch pauses is asked of the peer', async () => {
  const { clock, holder, follower } = createPair();
  const records = [{ name: 'u1', revision: 7, value: fixtures.upstreamRecord('u1') }];
  holder.directory.applyListing({ records, unreadable: [], revision: 7 }, clock.nowMs());
  follower.exchange.start();
  await clock.advance(1_000);
  assert.is(follower.directory.revision(), 0);
  await clock.advance(1_200);
  assert.is(follower.directory.revision(), 7);
  assert.is(follower.directory.find('u1')?.upstreamId, 'u1');
  follower.exchange.stop();
});

test.run();
