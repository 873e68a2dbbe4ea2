import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as streamOrigins from '../../shared/stream-origins.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import * as streamCalls from '../../testing/stream-calls.js';
import * as runs from '../forwarding/run.js';
import * as resumedStreams from './resumed-streams.js';

const test = suite('log of resumed streams');

function createFixture() {
  let nowMs = 1_000;
  const lines: Record<string, unknown>[] = [];
  const matches: string[] = [];
  const streams = resumedStreams.createResumedStreams({
    clock: { nowMs: () => nowMs },
    log: { info: (event, fields) => lines.push({ event, ...fields }) },
    metrics: { streamResumed: (match) => matches.push(match) },
    origins: streamOrigins.createStreamOrigins(),
  });
  const pass = (ms: number) => {
    nowMs += ms;
  };
  return { streams, lines, matches, pass };
}

const upstream = (softwareVersion: string) => fixtures.upstreamRecord('u1', { softwareVersion });

test('one line tells which version began a stream, whose record that is, its age and what goes on with it', () => {
  const { streams, lines, matches, pass } = createFixture();
  streams.noteBegun(streamCalls.streamCall('r1'), runs.createRun(), upstream('v1'));
  pass(700);
  streams.noteSentOn(streamCalls.takenUp('r2', 'r1'), upstream('v2'), '3');
  assert.equal(lines, [
    {
      event: 'stream-resumed',
      requestId: 'r2',
      originRequestId: 'r1',
      lastEventId: '3',
      source: 'own',
      originVersion: 'v1',
      originAgeMs: 700,
      upstreamId: 'u1',
      version: 'v2',
    },
  ]);
  assert.equal(matches, ['other']);
});

test('a stream that goes on within its answer is told from one that its caller takes up', () => {
  const { streams, lines, matches } = createFixture();
  const call = streamCalls.streamCall('r1');
  streams.noteBegun(call, runs.createRun(), upstream('v1'));
  streams.noteSentOn(call, upstream('v1'), '3');
  streams.noteSentOn(streamCalls.takenUp('r2', 'unheard-of'), upstream('v1'), '3');
  assert.equal(
    lines.map(({ source }) => source),
    ['answer', undefined],
  );
  assert.equal(matches, ['same', 'unknown']);
});

test('a stream that is taken up keeps the version that began it, not that of the later try', () => {
  const { streams, lines } = createFixture();
  streams.noteBegun(streamCalls.streamCall('r1'), runs.createRun(), upstream('v1'));
  streams.noteBegun(streamCalls.takenUp('r2', 'r1'), runs.createRun(), upstream('v2'));
  streams.noteSentOn(streamCalls.takenUp('r3', 'r1'), upstream('v1'), '3');
  assert.is(lines[0]?.originVersion, 'v1');
});

test.run();
