import { peer } from '@copperlever/protocol';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import * as fleets from '../testing/fleet.js';

const NODE_COUNT = 12;

function statusesOf(fleet: fleets.Fleet, memberId: string, exceptIndex: number): Set<string> {
  const others = fleet.nodes.filter((_, index) => index !== exceptIndex);
  return new Set(others.map((node) => node.membership.find(memberId)?.status ?? 'gone'));
}

function isSettled(statuses: Set<string>, wanted: readonly string[]): boolean {
  return [...statuses].every((status) => wanted.includes(status));
}

test('every process finds every other through two seeds', async () => {
  const fleet = await fleets.createFleet(NODE_COUNT, 1);
  const isWhole = () =>
    fleet.nodes.every((node) => node.membership.members().length === NODE_COUNT);
  assert.is.not(await fleet.advanceUntil(isWhole, 10_000), null);
  await fleet.stop();
});

test('a killed process is soon suspected by all, and dead after its suspicion', async () => {
  // The process at 10.0.0.5 dies without announcing it. A probe fails, then the probes through three others fail; the
  // suspicion is pushed to all, so that it gets no new work. It is not refuted, so the process is dead when it ends.
  const fleet = await fleets.createFleet(NODE_COUNT, 2);
  await fleet.clock.advance(10_000);
  fleet.network.detach(fleets.addressOf(5));
  void fleet.nodes[5]?.stop();
  const isSuspected = () => isSettled(statusesOf(fleet, 'node-5', 5), ['suspected', 'gone']);
  const isGone = () => isSettled(statusesOf(fleet, 'node-5', 5), ['gone']);
  assert.ok((await fleet.advanceUntil(isSuspected, 10_000)) !== null);
  assert.ok((await fleet.advanceUntil(isGone, 20_000)) !== null);
  await fleet.stop();
});

test('changed attributes reach every process, although all messages with them were lost', async () => {
  // Process 5 has a new model ready, and every message with the change is lost, so that callers would wait for the
  // model to load elsewhere. Process 5 is not suspected, so nothing repeats the change until each
  // process probes process 5.
  const fleet = await fleets.createFleet(NODE_COUNT, 11);
  await fleet.clock.advance(10_000);
  const changed = Buffer.from('draws');
  const node = fleet.nodes[5];
  node?.membership.setAttributes(changed);
  const view = peer.ProbeMessage.fromPartial({ fromId: 'lost' });
  for (let count = 0; count < 50; count += 1) node?.membership.handlers.probe(view);
  const isKnown = () =>
    fleet.nodes.every((one) => one.membership.find('node-5')?.attributes.equals(changed));
  assert.ok((await fleet.advanceUntil(isKnown, 60_000)) !== null);
  await fleet.stop();
});

test('a leaving process is known as leaving within a second', async () => {
  const fleet = await fleets.createFleet(NODE_COUNT, 3);
  await fleet.clock.advance(10_000);
  fleet.nodes[4]?.membership.leave();
  const isKnown = () => isSettled(statusesOf(fleet, 'node-4', 4), ['leaving']);
  const tookMs = await fleet.advanceUntil(isKnown, 5_000);
  assert.ok(tookMs !== null && tookMs <= 1_000, `took ${tookMs} ms`);
  await fleet.stop();
});

test('a process that was isolated for a while refutes its death', async () => {
  // Process 3 is isolated for a minute: the others mark it as dead, and it marks them. Afterwards it learns of its
  // death and answers with a higher revision, which every view accepts; the others return to its view in the same way.
  const fleet = await fleets.createFleet(NODE_COUNT, 4);
  await fleet.clock.advance(10_000);
  const isolated = fleets.addressOf(3);
  fleet.network.setLoss((from, to) => from === isolated || to === isolated);
  await fleet.clock.advance(60_000);
  assert.equal([...statusesOf(fleet, 'node-3', 3)], ['gone']);
  fleet.network.setLoss(() => false);
  const isWhole = () =>
    fleet.nodes.every((node) => {
      const alive = node.membership.members().filter((member) => member.status === 'alive');
      return alive.length === NODE_COUNT;
    });
  assert.is.not(await fleet.advanceUntil(isWhole, 120_000), null);
  await fleet.stop();
});

test('a process that could not join at first knows all others soon after the network recovers', async () => {
  // While the process starts, the network loses all its messages; it knows no upstream and refuses its callers. It then
  // reaches a seed again, whose updates are no longer being sent, so it has to fetch the whole view.
  const fleet = await fleets.createFleet(NODE_COUNT, 8);
  const late = fleets.addressOf(NODE_COUNT);
  fleet.network.setLoss((from, to) => from === late || to === late);
  const node = await fleet.startNode(NODE_COUNT);
  await fleet.clock.advance(60_000);
  assert.is(node.membership.members().length, 1);
  fleet.network.setLoss(() => false);
  const isWhole = () => node.membership.members().length === NODE_COUNT + 1;
  assert.is.not(await fleet.advanceUntil(isWhole, 40_000), null);
  await fleet.stop();
});

test('a member that is considered dead learns of it from the members that it probes', async () => {
  // The process runs, but its peers consider it dead and no longer send that update. It goes on probing them without
  // knowing, so the reply to its probe must carry the record of its death.
  const fleet = await fleets.createFleet(1, 9);
  const handlers = fleet.nodes[0]?.handlers;
  const dead = {
    memberId: 'x',
    incarnation: 1,
    revision: 0,
    status: peer.MemberStatus.MEMBER_STATUS_DEAD,
    address: 'x:1',
    region: 'hanoi',
    failureDomain: 'tay-ho',
    attributes: Buffer.alloc(0),
  };
  const probe = {
    fromId: 'y',
    updates: [dead],
    configVersion: 0,
    notices: [],
    viewHash: 0,
    knownIncarnation: 0,
    knownRevision: 0,
  };
  for (let count = 0; count < 30; count += 1) handlers?.probe(probe);
  const reply = handlers?.probe({ ...probe, fromId: 'x', updates: [] });
  const repliedUpdates = reply?.updates.filter((update) => update.memberId === 'x');
  assert.equal(repliedUpdates, [dead]);
  await fleet.stop();
});

test('a broken path between two processes makes neither suspected', async () => {
  // Only the path between 1 and 2 is broken, and three helpers reach the other side.
  const fleet = await fleets.createFleet(NODE_COUNT, 5);
  await fleet.clock.advance(10_000);
  const ends = [fleets.addressOf(1), fleets.addressOf(2)];
  fleet.network.setLoss((from, to) => ends.includes(from) && ends.includes(to));
  for (let second = 0; second < 40; second += 1) {
    await fleet.clock.advance(1_000);
    assert.equal([...statusesOf(fleet, 'node-1', 1)], ['alive']);
    assert.equal([...statusesOf(fleet, 'node-2', 2)], ['alive']);
  }
  await fleet.stop();
});

test('a restarted process replaces its earlier incarnation', async () => {
  const fleet = await fleets.createFleet(NODE_COUNT, 6);
  await fleet.clock.advance(10_000);
  const before = fleet.nodes[7];
  void before?.stop();
  await fleet.startNode(7, 2);
  const isReplaced = () =>
    fleet.nodes.every((node) => node.membership.find('node-7')?.incarnation === 2);
  assert.is.not(await fleet.advanceUntil(isReplaced, 5_000), null);
  await fleet.stop();
});

test('a notice reaches every process and expires everywhere', async () => {
  const fleet = await fleets.createFleet(NODE_COUNT, 7);
  await fleet.clock.advance(10_000);
  const expiresAtMs = fleet.clock.nowMs() + 30_000;
  fleet.nodes[2]?.membership.notices.publish({ topic: 'quarantine', key: 'f00d', expiresAtMs });
  const hasNotice = (node: fleets.FleetNode) => node.membership.notices.has('quarantine', 'f00d');
  assert.is.not(await fleet.advanceUntil(() => fleet.nodes.every(hasNotice), 5_000), null);
  await fleet.clock.advance(40_000);
  assert.not.ok(fleet.nodes.some(hasNotice));
  await fleet.stop();
});

test.run();
