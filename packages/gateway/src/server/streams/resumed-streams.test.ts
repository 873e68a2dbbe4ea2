import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as originPeers from './origin-peers.js';
import * as streamOrigins from '../../shared/stream-origins.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import * as streamCalls from '../../testing/stream-calls.js';
import * as runs from '../forwarding/run.js';
import * as resumedStreams from './resumed-streams.js';

const test = suite('streams that go on');

type Setup = {
  onlyVersion?: string | null;
  answer?: Partial<originPeers.PeerAnswer>;
  isDoubtful?: boolean;
  /** It hears no other gateway. */
  isAlone?: boolean;
  /** The only version of the record that the store confirms. */
  confirmedVersion?: string | null;
  /** Null where it is listed no longer. */
  listedVersion?: string | null;
};

function createFixture(setup: Setup = {}) {
  const { onlyVersion = null, answer = {}, isDoubtful = false } = setup;
  let nowMs = 1_000;
  const lines: Record<string, unknown>[] = [];
  const matches: string[] = [];
  const sources: string[] = [];
  const asked: string[] = [];
  const write = (event: string, fields: object) => lines.push({ event, ...fields });
  const streams = resumedStreams.createResumedStreams({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs, schedule: () => () => {} },
    log: { info: write, warn: write },
    metrics: {
      streamResumed: (match) => matches.push(match),
      originFound: (source) => sources.push(source),
    },
    origins: streamOrigins.createStreamOrigins(() => 120_000),
    peers: {
      replicate: () => {},
      replaceReplicas: () => false,
      isAlone: () => setup.isAlone === true,
      find: async (requestId) => {
        asked.push(requestId);
        nowMs += 7;
        const found = { kind: 'unknown' } as const;
        return { found, source: undefined, askedCount: 2, answeredCount: 2, ...answer };
      },
    },
    archive: { read: async () => {} },
    recorder: { confirmOnly: async () => setup.confirmedVersion ?? null },
    versions: {
      note: () => {},
      noteConfirmed: () => {},
      onlyVersion: () => onlyVersion,
      mayBegin: () => true,
    },
    doubts: { isDoubtful: () => isDoubtful },
    findUpstream: () =>
      setup.listedVersion === null ? undefined : upstream(setup.listedVersion ?? 'v1'),
    listAgeMs: () => 0,
  });
  const pass = (ms: number) => {
    nowMs += ms;
  };
  return { streams, lines, matches, sources, asked, pass };
}

const upstream = (softwareVersion: string) => fixtures.upstreamRecord('u1', { softwareVersion });

test('one line tells which version began a stream that is taken up, who knew it and how old that is', async () => {
  const { streams, lines, sources, asked, pass } = createFixture();
  streams.noteBegun(streamCalls.streamCall('r1'), runs.createRun(), upstream('v1'));
  pass(700);
  const match = await streams.match(streamCalls.resumptionOf('r2', 'r1'));
  assert.equal(match, { kind: 'bound', service: 'pool', version: 'v1' });
  assert.equal(lines, [
    {
      event: 'stream-taken-up',
      requestId: 'r2',
      originRequestId: 'r1',
      lastEventId: '3',
      service: 'pool',
      originVersion: 'v1',
      source: 'own',
      originAgeMs: 700,
      askedCount: undefined,
      answeredCount: undefined,
      lookupMs: 0,
    },
  ]);
  assert.equal(sources, ['local']);
  assert.equal(asked, []);
});

test('another gateway is asked once, and its answer is kept for the next try', async () => {
  const origin = { service: 'pool', version: 'v2', begunAtMs: 100 };
  const found = { kind: 'record', origin } as const;
  const { streams, lines, asked } = createFixture({ answer: { found, source: 'g2' } });
  for (const requestId of ['r2', 'r3']) {
    const match = await streams.match(streamCalls.resumptionOf(requestId, 'r1'));
    assert.equal(match, { kind: 'bound', service: 'pool', version: 'v2' });
  }
  assert.equal(asked, ['r1']);
  assert.equal(
    lines.map(({ source }) => source),
    ['g2', 'own'],
  );
  assert.is(lines[0]?.lookupMs, 7);
});

test('a stream that nobody knows is refused, sooner to come back where somebody did not answer', async () => {
  const call = streamCalls.resumptionOf('r2', 'r1');
  const allAnswered = await createFixture().streams.match(call);
  const oneSilent = await createFixture({ answer: { answeredCount: 1 } }).streams.match(call);
  assert.is(allAnswered.kind, 'unknown');
  assert.is(oneSilent.kind, 'unknown');
  if (allAnswered.kind !== 'unknown' || oneSilent.kind !== 'unknown') return;
  assert.ok(oneSilent.retryAfterMs < allAnswered.retryAfterMs);
});

test('a caller that names no request, or garbles it, goes on only where there is one version', async () => {
  for (const originRequestId of [null, '']) {
    const call = streamCalls.resumptionOf('r2', originRequestId);
    const several = createFixture();
    assert.is((await several.streams.match(call)).kind, 'unknown');
    assert.equal(several.asked, []);
    const { streams } = createFixture({ onlyVersion: 'v1' });
    assert.equal(await streams.match(call), { kind: 'bound', service: 'pool', version: 'v1' });
  }
});

test('a caller that names no request goes on at no service of a split route', async () => {
  const targets = ['pool', 'other'].map((service) => ({ service, weight: 1 }));
  const route = { ...streamCalls.RESUMABLE_ROUTE, targets };
  const { streams } = createFixture({ onlyVersion: 'v1' });
  assert.is((await streams.match(streamCalls.resumptionOf('r2', null, { route }))).kind, 'unknown');
  const named = streamCalls.resumptionOf('r2', 'r1', { route });
  assert.equal(await streams.match(named), { kind: 'bound', service: 'pool', version: 'v1' });
});

test('new streams, and routes whose streams cannot be resumed, are bound to nothing', async () => {
  const { streams, lines } = createFixture();
  const route = { ...streamCalls.RESUMABLE_ROUTE, isResumable: false };
  assert.equal(await streams.match(streamCalls.streamCall('r1')), { kind: 'free' });
  assert.equal(await streams.match(streamCalls.resumptionOf('r2', 'r1', { route })), {
    kind: 'free',
  });
  const run = runs.createRun();
  streams.noteBegun(streamCalls.streamCall('r3', { route }), run, upstream('v1'));
  assert.is(run.boundVersion, null);
  assert.is(lines.length, 0);
});

test('a stream is bound to the version of its first event, and its record stays that of the first try', async () => {
  const { streams } = createFixture();
  const first = runs.createRun();
  streams.noteBegun(streamCalls.streamCall('r1'), first, upstream('v1'));
  assert.is(first.boundVersion, 'v1');
  streams.noteBegun(streamCalls.resumptionOf('r2', 'r1'), runs.createRun(), upstream('v2'));
  const match = await streams.match(streamCalls.resumptionOf('r3', 'r1'));
  assert.equal(match, { kind: 'bound', service: 'pool', version: 'v1' });
});

// Guards against a record of the version that the list had, where the upstream has started again with another.
test('a stream whose upstream may run other software than is listed is bound to nothing and noted nowhere', async () => {
  const renamed = { ...upstream('v1'), name: 'server-1', upstreamId: 'server-1@17' };
  for (const setup of [{ isDoubtful: true }, { listedVersion: 'v2' }]) {
    const { streams, lines } = createFixture(setup);
    const run = runs.createRun();
    streams.noteBegun(streamCalls.streamCall('r1'), run, renamed);
    assert.is(run.boundVersion, null);
    assert.ok(run.isVersionUnknown);
    assert.is(lines[0]?.event, 'stream-version-unknown');
    assert.is((await streams.match(streamCalls.resumptionOf('r2', 'r1'))).kind, 'unknown');
  }
  const { streams } = createFixture({ isDoubtful: true });
  assert.not.ok(streams.mayGoOn(renamed, 'v1'));
  assert.ok(streams.mayGoOn(upstream('v1'), 'v1'));
});

// Guards against streams that do not go on because their upstream left the list just before their first event.
test('a stream of an upstream that is listed no longer is bound to the version that it had', async () => {
  const { streams } = createFixture({ listedVersion: null });
  const run = runs.createRun();
  streams.noteBegun(streamCalls.streamCall('r1'), run, upstream('v1'));
  assert.is(run.boundVersion, 'v1');
});

test('a stream that goes on at another version than it is bound to is counted', () => {
  const { streams, matches, lines } = createFixture();
  const run = { ...runs.createRun(), boundVersion: 'v1', resumeAfterId: '4' };
  streams.noteSentOn(streamCalls.streamCall('r1'), run, upstream('v1'), '4');
  streams.noteSentOn(streamCalls.streamCall('r1'), run, upstream('v2'), '4');
  assert.equal(matches, ['same', 'other']);
  assert.equal(lines[0], {
    event: 'stream-resumed',
    requestId: 'r1',
    lastEventId: '4',
    boundVersion: 'v1',
    upstreamId: 'u1',
    version: 'v1',
  });
});

// Guards against a gateway that hears no other, and whose list lacks the version at which others began the stream.
test('a gateway that hears no other takes a version for the only one if the store confirms it', async () => {
  for (const confirmedVersion of ['v1', 'v2', null]) {
    const { streams } = createFixture({ onlyVersion: 'v1', isAlone: true, confirmedVersion });
    const { kind } = await streams.match(streamCalls.resumptionOf('r2', 'r1'));
    assert.is(kind, confirmedVersion === 'v1' ? 'bound' : 'unknown');
  }
});

test.run();
