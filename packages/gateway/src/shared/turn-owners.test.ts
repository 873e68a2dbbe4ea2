import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as turnOwners from './turn-owners.js';

const test = suite('turn owners');

function ids(count: number): string[] {
  return Array.from({ length: count }, (_unused, index) => `g${index}`);
}

function ownersAt(selfId: string, upstreamCount: number, liveIds: readonly string[]): string[] {
  const owners = turnOwners.createTurnOwners(selfId);
  return Array.from({ length: upstreamCount }, (_unused, index) =>
    owners.ownerOf(`u${index}`, () => liveIds, 0),
  );
}

// Guards against gateways that choose different owners, which together grant more turns than the upstream can take.
test('gateways that know the same gateways choose the same owner, in whatever order they know them', () => {
  const live = ids(410);
  const first = ownersAt('g0', 730, live);
  assert.equal(ownersAt('g77', 730, [...live].reverse()), first);
});

// Guards against a hash that hardly distinguishes ids and makes a few gateways the owners of all upstreams.
test('upstreams are spread over the gateways', () => {
  const counts = new Map<string, number>();
  ownersAt('g0', 2_300, ids(23)).forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
  assert.is(counts.size, 23);
  assert.ok(Math.max(...counts.values()) < 150, String(Math.max(...counts.values())));
});

// Guards against one leaving gateway that moves the upstreams of all owners, so that every owner starts without
// knowledge.
test('only the upstreams of a leaving gateway get another owner', () => {
  const before = ownersAt('g0', 29, ids(23));
  const after = ownersAt(
    'g0',
    29,
    ids(23).filter((id) => id !== 'g7'),
  );
  before.forEach((ownerId, index) => {
    if (ownerId === 'g7') assert.is.not(after[index], 'g7');
    else assert.is(after[index], ownerId);
  });
});

// Guards against each gateway keeping or opening connections to hundreds of owners at the planned size.
test('no more than 64 of 410 gateways are owners', () => {
  const owners = new Set(ownersAt('g0', 730, ids(410)));
  assert.ok(owners.size <= 64 && owners.size > 55, String(owners.size));
});

// Guards against every request asking a paused or partitioned owner until peers notice its absence, which takes
// seconds.
test('a silent owner is skipped for a while, and asked again after that', () => {
  const live = ids(6);
  const owners = turnOwners.createTurnOwners('g0');
  const upstreamId = Array.from({ length: 50 }, (_unused, index) => `u${index}`).find(
    (id) => owners.ownerOf(id, () => live, 0) === 'g3',
  ) as string;
  assert.is(owners.noteSilent('g3', 100), true);
  assert.is(owners.noteSilent('g3', 110), false);
  const nextId = owners.ownerOf(upstreamId, () => live, 100);
  assert.is.not(nextId, 'g3');
  owners.noteSilent(nextId, 120);
  assert.not(['g3', nextId].includes(owners.ownerOf(upstreamId, () => live, 120)));
  assert.is(
    owners.ownerOf(upstreamId, () => live, 120 + 2 * turnOwners.SILENT_MS),
    'g3',
  );
});

test('a gateway that is alone, or whose peers are all silent, is the owner itself', () => {
  const owners = turnOwners.createTurnOwners('g0');
  assert.is(
    owners.ownerOf('u1', () => ['g0'], 0),
    'g0',
  );
  owners.noteSilent('g1', 0);
  assert.is(
    owners.ownerOf('u1', () => ['g0', 'g1'], 0),
    'g0',
  );
  // A gateway never considers itself silent.
  assert.is(owners.noteSilent('g0', 0), false);
});

test.run();
