import type { gatewayPeer } from '@copperlever/protocol';
import { results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as exchangeGateways from '../../testing/exchange-gateway.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import * as quotasModule from '../quotas/quotas.js';
import * as exchanges from './exchange.js';
import type * as peerLinks from './peer-link.js';

const test = suite('exchange');

const DRAIN_TIMEOUT_MS = 2_000;

/** Two gateways that reach each other without a network; g1 holds the lease. */
function createPair() {
  const clock = fakeClocks.createFakeClock();
  const handlers = new Map<string, exchanges.Exchange>();
  const calls: string[] = [];
  /** In place of what the other gateway answers. */
  const odd = { reply: {} as Partial<gatewayPeer.ExchangeReply> };
  /** The holder's come first. */
  const lenders: quotasModule.Quotas[] = [];
  const link = {
    exchange: (address, request) => {
      calls.push(`${request.news?.gatewayId}>${address}`);
      const other = handlers.get(address) as exchanges.Exchange;
      return Promise.resolve(results.Ok({ ...other.handle(request), ...odd.reply }));
    },
  } as Partial<peerLinks.PeerLink> as peerLinks.PeerLink;

  function create(gatewayId: string) {
    const gateway = exchangeGateways.createExchangeGateway({
      gatewayId,
      clock,
      link,
      lenders,
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
      seed: 5,
      seedAddresses: ['g1:1', 'g2:1'],
    });
    handlers.set(exchangeGateways.addressOf(gatewayId), gateway.exchange);
    return gateway;
  }

  const holder = create('g1');
  holder.state.heldTerm = exchangeGateways.HOLDER.term;
  const follower = create('g2');
  follower.book.applyPeers([{ gatewayId: 'g1', address: 'g1:1', millicores: 0 }], clock.nowMs());
  return { clock, calls, odd, holder, follower };
}

function callsToHolder(calls: readonly string[]): number {
  return calls.filter((call) => call === 'g2>g1:1').length;
}

// Failure: an answer of another gateway that cannot be applied ends the exchange with all others, and the process with it.
test('an answer that cannot be applied ends no exchange', async () => {
  const { clock, calls, odd, follower } = createPair();
  follower.exchange.start();
  await clock.advance(1_000);
  const replies: Partial<gatewayPeer.ExchangeReply>[] = [
    { config: Buffer.from('{"version":') },
    { config: Buffer.from('{"version":9,"routes":7}') },
    { upstreams: Buffer.from('['.repeat(60_000)) },
    { upstreams: Buffer.from('{"records":[{}],"unreadable":[],"era":0,"revision":9}') },
    { loads: Buffer.from([255, 255, 255]) },
  ];
  for (const reply of replies) {
    odd.reply = reply;
    const before = callsToHolder(calls);
    await clock.advance(2_000);
    assert.ok(callsToHolder(calls) > before + 1, JSON.stringify(reply).slice(0, 100));
  }
  follower.exchange.stop();
});

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
  assert.ok(holder.suspects.isEjectedBySeveral('u1', 2, clock.nowMs()));
  assert.not(holder.suspects.isEjectedBySeveral('u2', 2, clock.nowMs()));
  holder.exchange.stop();
  follower.exchange.stop();
});

// The follower's own watch has fallen silent: a peer has had a newer list for longer than the watch pauses.
test('a list that a peer has had for longer than the watch pauses is asked of the peer', async () => {
  const { clock, holder, follower } = createPair();
  holder.state.heldTerm = null;
  const records = [{ name: 'u1', era: 0, revision: 7, value: fixtures.upstreamRecord('u1') }];
  holder.directory.applyListing({ records, unreadable: [], era: 0, revision: 7 }, clock.nowMs());
  follower.exchange.start();
  await clock.advance(500);
  assert.is(follower.directory.position().revision, 0);
  await clock.advance(1_000);
  assert.is(follower.directory.position().revision, 7);
  assert.is(follower.directory.find('u1')?.upstreamId, 'u1');
  follower.exchange.stop();
});

function listed(name: string, revision: number, state: 'ready' | 'draining' = 'ready') {
  return { name, era: 0, revision, value: fixtures.upstreamRecord(name, { state }) };
}

// Followers leave the watching to the holder. An upstream that leaves must get nothing new from them as soon as the
// holder knows, and when the holder's own watch is no longer answered they have to watch again.
test('followers get what changes in the list from the holder while its watch is answered', async () => {
  const { clock, holder, follower } = createPair();
  const records = [listed('u1', 7), listed('u2', 6)];
  holder.directory.applyListing({ records, unreadable: [], era: 0, revision: 7 }, clock.nowMs());
  holder.listFeed.noteConfirmed(clock.nowMs());
  follower.exchange.start();
  await clock.advance(600);
  assert.is(follower.directory.position().revision, 7);
  assert.ok(follower.listFeed.isRelayed(clock.nowMs()));
  const record = listed('u1', 9, 'draining');
  holder.directory.applyChange({ kind: 'written', record }, clock.nowMs());
  holder.directory.applyChange(
    { kind: 'deleted', name: 'u2', era: 0, revision: 11 },
    clock.nowMs(),
  );
  await clock.advance(600);
  assert.equal(follower.directory.eligible('pool', clock.nowMs()), []);
  assert.is(follower.directory.position().revision, 11);
  // The store has not vouched for the holder's list since.
  await clock.advance(200);
  assert.not(follower.listFeed.isRelayed(clock.nowMs()));
  follower.exchange.stop();
});

// Failure: the store has come back from a copy, the holder's watch still waits at the one from before, and its followers rely on it.
test('a holder that has not heard of the return feeds nobody who has', async () => {
  const { clock, holder, follower } = createPair();
  const listing = { records: [listed('u1', 7)], unreadable: [], era: 0, revision: 7 };
  holder.directory.applyListing(listing, clock.nowMs());
  holder.listFeed.noteConfirmed(clock.nowMs());
  follower.exchange.start();
  await clock.advance(600);
  assert.ok(follower.listFeed.isRelayed(clock.nowMs()));
  follower.directory.applyListing({ ...listing, era: 1, revision: 5 }, clock.nowMs());
  holder.listFeed.noteConfirmed(clock.nowMs());
  await clock.advance(600);
  assert.not(follower.listFeed.isRelayed(clock.nowMs()));
  holder.directory.applyListing({ ...listing, era: 1, revision: 6 }, clock.nowMs());
  holder.listFeed.noteConfirmed(clock.nowMs());
  await clock.advance(600);
  assert.ok(follower.listFeed.isRelayed(clock.nowMs()));
  follower.exchange.stop();
});

// Failure: a watch waits for fifteen seconds at a store that has come back from a copy without a word to it.
test('who hears of a later era asks the store itself, and not with every word of it', async () => {
  const { clock, holder, follower } = createPair();
  const listing = { records: [], unreadable: [], era: 1, revision: 7 };
  follower.directory.applyListing(listing, clock.nowMs());
  follower.state.storeEra = 1;
  follower.exchange.start();
  await clock.advance(600);
  assert.is(holder.state.renewals, 1);
  await clock.advance(10_000);
  assert.ok(holder.state.renewals <= 11, `${holder.state.renewals}`);
  const { renewals } = holder.state;
  holder.state.storeEra = 1;
  await clock.advance(3_000);
  assert.is(holder.state.renewals, renewals);
  assert.is(follower.state.renewals, 0);
  follower.exchange.stop();
});

// Failure: one gateway alone knows that an upstream leaves or is limited, and the holder goes on placing models there.
test('what an upstream said to one gateway reaches the holder and all others', async () => {
  const { clock, holder, follower } = createPair();
  const records = [listed('u1', 7), listed('u2', 6)];
  holder.directory.applyListing({ records, unreadable: [], era: 0, revision: 7 }, clock.nowMs());
  follower.directory.noteLeaving('u1', clock.nowMs());
  follower.upstreamLimits.answered('u2', { kind: 'named', perSecond: 2 }, 0, clock.nowMs());
  follower.exchange.start();
  await clock.advance(600);
  const eligible = holder.directory.eligible('pool', clock.nowMs());
  assert.equal(
    eligible.map(({ upstreamId }) => upstreamId),
    ['u2'],
  );
  assert.is(holder.upstreamLimits.perSecond('u2'), 2);
  follower.exchange.stop();
});

// Failure: each gateway learns by itself which upstreams are slow, from an answer every few seconds.
test('what answers have shown of upstreams reaches the holder and, through it, others', async () => {
  const { clock, holder, follower } = createPair();
  const learn = ({ states }: typeof holder, quickId: string, slowId: string) => {
    for (let count = 0; count < 50; count += 1) {
      states.recordFirstChunk(quickId, 100, 70, clock.nowMs());
      states.recordFirstChunk(slowId, 100, 140, clock.nowMs());
    }
  };
  learn(holder, 'quick1', 'slow1');
  learn(follower, 'quick2', 'slow2');
  [holder, follower].forEach(({ exchange }) => exchange.start());
  await clock.advance(600);
  const nowMs = clock.nowMs();
  assert.ok(follower.states.state('slow1', nowMs).latencyRatio > 1.1);
  assert.ok(holder.states.state('quick2', nowMs).latencyRatio < 0.9);
  [holder, follower].forEach(({ exchange }) => exchange.stop());
});

// The holder sums the loads of all once for many askers. Its sum holds what the asker told before, or with this
// question: taken off wrongly, an asker counts its own requests twice or takes those of others for its own.
test('a follower sees the loads of others, without its own', async () => {
  const { clock, holder, follower } = createPair();
  const request = { upstreamId: 'u1', model: 'm', priority: 1, promptTokens: 100 };
  holder.inFlight.start(request);
  follower.exchange.start();
  for (let round = 0; round < 8; round += 1) {
    follower.inFlight.start(request);
    await clock.advance(250);
    // Its own, exactly, and the holder's one.
    assert.is(follower.inFlight.modelCount('u1', 'm', clock.nowMs()), round + 2);
  }
  follower.exchange.stop();
});

// All callers of an organisation come to one of two gateways, and no more than its quota allows. An equal part for each
// gateway would refuse half of them, though nobody else asks.
test('credits follow the gateway at which an organisation is asked for', async () => {
  const { clock, holder, follower } = createPair();
  [holder, follower].forEach(({ exchange }) => exchange.start());
  let refused = 0;
  for (let count = 0; count < 60; count += 1) {
    await clock.advance(50);
    const decision = await follower.quotas.admit(
      exchangeGateways.ORGANISATION,
      { tokenCount: null },
      false,
    );
    if (decision.kind === 'refused') refused += 1;
  }
  assert.is(refused, 0);
  [holder, follower].forEach(({ exchange }) => exchange.stop());
});

// Guards against one value that a round cannot tell others, and that ends the exchange and the process with it.
test('a round that fails ends no exchange', async () => {
  const { clock, calls, follower } = createPair();
  follower.exchange.start();
  await clock.advance(500);
  follower.state.avoidedIds = null as never;
  await clock.advance(500);
  follower.state.avoidedIds = [];
  const before = callsToHolder(calls);
  await clock.advance(1_000);
  assert.ok(callsToHolder(calls) > before);
  follower.exchange.stop();
});

test.run();
