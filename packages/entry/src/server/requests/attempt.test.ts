import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fakeAgents from '../../testing/fake-agents.js';
import * as rigs from '../../testing/rig.js';
import type * as calls from '../../types/calls.js';
import type * as links from '../../types/links.js';
import * as attempts from './attempt.js';

const test = suite('attempt');
const target = { agentId: 'desk-a', incarnation: 7, address: 'desk-a:1' };

async function* frames(dispatchId: string, list: [number, fakeAgents.FramePart][]) {
  for (const [offsetBytes, part] of list) {
    yield { kind: 'frame', frame: { dispatchId, offsetBytes, part } } as links.LinkPart;
  }
}

function createAttempt(open: () => AsyncIterable<links.LinkPart>, limitBytes = Infinity) {
  const rig = rigs.createRig();
  const kept: Buffer[] = [];
  let heldBytes = 0;
  const sink: calls.AnswerSink = {
    head: () => {},
    chunk: async (data) => void kept.push(data),
    hasBegun: () => false,
    takeRoom: async (bytes) => {
      heldBytes += bytes;
      return heldBytes > limitBytes ? 'too-large' : 'taken';
    },
  };
  const directory = {
    find: () => [],
    locate: () => null,
    noteLoad: () => {},
    noteAnswer: () => {},
    noteStarted: () => {},
    noteEnded: () => {},
    tickOf: () => 0,
  };
  const deps = {
    clock: rig.clock,
    link: rig.agents.link,
    directory,
    reportUnreachable: (agentId: string) => rig.reported.push(agentId),
  };
  const input = {
    target,
    dispatchId: 'r-1/1',
    deadlineMs: 60_000,
    sink,
    callerGone: new AbortController().signal,
    stop: attempts.NO_STOP,
    open,
  };
  const run = () => rigs.settle(rig, attempts.runAttempt(deps, input));
  return { rig, run, text: () => Buffer.concat(kept).toString() };
}

const end: fakeAgents.FramePart = { $case: 'end', value: { sizeBytes: 6 } };

test("another request's frame never reaches the caller", async () => {
  const { run, text } = createAttempt(async function* mixed() {
    yield* frames('r-9/1', [[0, fakeAgents.chunk('secret')]]);
    yield* frames('r-1/1', [
      [0, fakeAgents.head],
      [0, fakeAgents.chunk('lane 4')],
      [6, end],
    ]);
  });
  assert.equal(await run(), { kind: 'ended', status: 200, runMs: 0, sizeBytes: 6 });
  assert.is(text(), 'lane 4');
});

test('a frame that comes twice, or too early, is passed on once and in order', async () => {
  const { run, text } = createAttempt(() =>
    frames('r-1/1', [
      [0, fakeAgents.head],
      [0, fakeAgents.chunk('lan')],
      [5, fakeAgents.chunk('4')],
      [0, fakeAgents.chunk('lan')],
      [3, fakeAgents.chunk('e 4')],
      [6, end],
    ]),
  );
  assert.is((await run()).kind, 'ended');
  assert.is(text(), 'lane 4');
});

test('a connection that goes silent for good is left for a new one, from the next byte on', async () => {
  // Something between entry and agent has forgotten the connection: no byte comes, no error either.
  // The agent goes on; the caller must get the rest, once.
  const { rig, run, text } = createAttempt(async function* silent() {
    yield* frames('r-1/1', [
      [0, fakeAgents.head],
      [0, fakeAgents.chunk('lane')],
    ]);
    await new Promise(() => {});
  });
  rig.agents.script('desk-a', { resume: () => [fakeAgents.chunk(' 4'), end] });
  assert.is((await run()).kind, 'ended');
  assert.is(text(), 'lane 4');
  assert.equal(rig.agents.resumed, ['desk-a 4 fresh']);
});

test('an agent that cannot be reached is given up after a few connections, and reported', async () => {
  const { rig, run } = createAttempt(async function* lost() {
    yield { kind: 'lost', detail: 'refused' };
  });
  rig.agents.script('desk-a', { resume: () => ['lost'] });
  const result = await run();
  assert.is(result.kind, 'lost');
  assert.ok(rig.agents.resumed.length <= 4);
  assert.equal(rig.reported, ['desk-a']);
});

test('an answer longer than its sink takes ends the attempt', async () => {
  const { run } = createAttempt(
    () =>
      frames('r-1/1', [
        [0, fakeAgents.head],
        [0, fakeAgents.chunk('lane 4')],
        [6, end],
      ]),
    5,
  );
  const result = await run();
  assert.is(result.kind === 'failed' && result.cause, 'answer-too-large');
});

test.run();
