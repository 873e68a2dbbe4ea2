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

test('a killed process is soon doubted by all, and dead after its suspicion', async () => {
  // Callers see a short wait: the process at 10.0.0.5 dies without a word. A probe fails, then the
  // probes through three others fail; the doubt is pushed to all, so that it gets no new work.
  // Nobody refutes the doubt, so it is dead when the suspicion ends.
  const fleet = await fleets.createFleet(NODE_COUNT, 2);
  await fleet.clock.advance(10_000);
  fleet.network.detach(fleets.addressOf(5));
  void fleet.nodes[5]?.stop();
  const isDoubted = () => isSettled(statusesOf(fleet, 'node-5', 5), ['suspected', 'gone']);
  const isGone = () => isSettled(statusesOf(fleet, 'node-5', 5), ['gone']);
  assert.ok((await fleet.advanceUntil(isDoubted, 10_000)) !== null);
  assert.ok((await fleet.advanceUntil(isGone, 20_000)) !== null);
  await fleet.stop();
});

test('changed attributes reach every process, though all messages with them were lost', async () => {
  // Callers wait for a load that another upstream would have spared them. Process 5 has a new model
  // ready and passes that on; every message with the change is lost. Nobody doubts process 5, so
  // nothing repeats the change, until each process probes process 5 itself and hears of it.
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

test('a process that was cut off for a while refutes its death', async () => {
  // Callers in the other part see fewer upstreams. Process 3 is cut off for a minute: the others
  // declare it dead, and it them. After the cut it hears of its death and answers with a higher
  // revision, which every view takes; the others come back to it the same way.
  const fleet = await fleets.createFleet(NODE_COUNT, 4);
  await fleet.clock.advance(10_000);
  const lonely = fleets.addressOf(3);
  fleet.network.setLoss((from, to) => from === lonely || to === lonely);
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

test('a process that could not join at first knows all others soon after', async () => {
  // Callers of the new process see refusals: it knows no upstream. While it starts, the network loses
  // all that it sends and hears. Afterwards it finds a seed again, whose news is long passed on, so
  // it has to ask for the whole view.
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

test('a member that is held for dead hears of it from whom it calls', async () => {
  // Callers could reach the process, but get no way to it: its peers hold it for dead, and the word
  // of it is long passed on. It does not know, and goes on probing them; the answer must tell it.
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
  const told = reply?.updates.filter((update) => update.memberId === 'x');
  assert.equal(told, [dead]);
  await fleet.stop();
});

test('a path lost between two processes makes neither a suspect', async () => {
  // Nobody sees anything: only the path between 1 and 2 is lost, and three helpers reach the other.
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

test('a notice reaches every process and ends everywhere', async () => {
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
