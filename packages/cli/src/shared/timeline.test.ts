import { logLines } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as timelines from './timeline.js';

const test = suite('timeline');

function read(lines: readonly string[]): logLines.LogLine[] {
  return lines.flatMap((text) => logLines.parseLine(text) ?? []);
}

function at(second: number, rest: string): string {
  return `time=2030-01-01T00:00:${String(second).padStart(2, '0')}.000Z level=info ${rest}`;
}

// A request is refused because the only copy of its model was evicted eight seconds before; the caller retries through
// another gateway with a new id. The timeline of the first id must show the eviction and nothing of the retry.
const LINES = read([
  at(1, 'event=change-started daemonId=g2 upstreamId=u7 load=other unload=m3 loadFrom=disk'),
  at(2, 'event=change-started daemonId=g2 upstreamId=u8 load=else unload=more loadFrom=disk'),
  at(5, 'event=config-in-force daemonId=g1 configVersion=14 before=12 source=store'),
  at(5, 'event=config-in-force daemonId=g3 configVersion=14 before=12 source=store'),
  at(9, 'event=request-not-placed daemonId=g1 requestId=r1 model=m3 cause=model-not-ready'),
  at(9, 'event=request-failed daemonId=g1 requestId=r1 model=m3 outcome=not-run retryAfterMs=2400'),
  at(12, 'event=request-ended daemonId=g3 requestId=r2 model=m3 outcome=answered status=200'),
  at(40, 'event=change-started daemonId=g2 upstreamId=u7 load=m3 unload=other loadFrom=host'),
]);

test('the timeline of a refusal contains the change that evicted the model', () => {
  const timeline = timelines.buildTimeline('r1', LINES);
  assert.equal(
    timeline?.lines.map(({ line, isOwn }) => `${line.event} ${isOwn}`),
    [
      'change-started false',
      'config-in-force false',
      'request-not-placed true',
      'request-failed true',
    ],
  );
});

// One id in two processes: one gateway refuses the request, the next one tries two upstreams.
test('the timeline of a request covers a refusal, a retry and an answer in two processes', () => {
  const lines = read([
    at(
      1,
      'event=request-failed daemonId=g1 requestId=r5 model=m1 outcome=not-run cause=overloaded',
    ),
    at(
      2,
      'event=attempt-ended daemonId=g2 requestId=r5 upstreamId=u1 result=lost reason=connection',
    ),
    at(2, 'event=upstream-avoided daemonId=g2 upstreamId=u1 brokenInRow=2 forMs=400'),
    at(2, 'event=upstream-avoided daemonId=g1 upstreamId=u1 brokenInRow=2 forMs=400'),
    at(3, 'event=attempt-ended daemonId=g2 requestId=r5 upstreamId=u2 result=answered'),
    at(3, 'event=request-ended daemonId=g2 requestId=r5 model=m1 outcome=answered status=200'),
  ]);
  const timeline = timelines.buildTimeline('r5', lines);
  assert.ok(timeline !== null);
  assert.is(timeline.lines.length, 6);
  const text = timelines.formatTimeline(timeline);
  assert.match(text[0] ?? '', /^ {6}\+0 ms > {2}g1 {2}request-failed/);
  assert.match(text.at(-1) ?? '', /\+2000 ms > {2}g2 {2}request-ended .*status=200/);
});

// Guards against a timeline of a late request that does not show that the request waited for its prefill turn, and why
// it was sent without one.
test('the timeline contains waits for prefill turns, with turn owners that were silent', () => {
  const lines = read([
    at(1, 'event=turn-owner-silent daemonId=g1 ownerId=g4 upstreamId=u1 forMs=1500'),
    at(1, 'event=turn-owner-silent daemonId=g2 ownerId=g4 upstreamId=u1 forMs=1500'),
    at(1, 'event=turn-owner-silent daemonId=g1 ownerId=g5 upstreamId=u2 forMs=1500'),
    at(
      1,
      'event=turn-waited daemonId=g1 requestId=r6 upstreamId=u1 outcome=unanswered waitedMs=90',
    ),
    at(2, 'event=request-ended daemonId=g1 requestId=r6 upstreamId=u1 outcome=answered status=200'),
  ]);
  const timeline = timelines.buildTimeline('r6', lines);
  assert.equal(
    timeline?.lines.map(({ line, isOwn }) => `${line.event} ${line.daemonId} ${isOwn}`),
    ['turn-waited g1 true', 'turn-owner-silent g1 false', 'request-ended g1 true'],
  );
});

test('an id without log lines has no timeline', () => {
  assert.is(timelines.buildTimeline('r9', LINES), null);
});

// Batch requests may be held in the gateway. Without these lines a held request looks like a slow upstream.
test('the timeline of a held request shows how long it was held and why that ended', () => {
  const lines = read([
    at(1, 'event=request-held daemonId=g1 requestId=r6 model=m1 room=0 latestStartInMs=3900'),
    at(4, 'event=request-hold-ended daemonId=g1 requestId=r6 cause=capacity heldMs=2600'),
    at(4, 'event=attempt-ended daemonId=g1 requestId=r6 upstreamId=u1 result=answered'),
  ]);
  const timeline = timelines.buildTimeline('r6', lines);
  assert.ok(timeline !== null);
  const text = timelines.formatTimeline(timeline).join('\n');
  assert.match(text, /request-held .*latestStartInMs=3900/);
  assert.match(text, /request-hold-ended .*cause=capacity .*heldMs=2600/);
});

test.run();
