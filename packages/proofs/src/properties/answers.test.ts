import type * as links from '@copperlever/entry/types/links';
import * as attempts from '@copperlever/entry/server/requests/attempt';
import type { agent } from '@copperlever/protocol';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as runs from './runs.js';

const test = suite('answers over any order of frames');

const CI_RUNS = 300;
const DISPATCH_ID = 'own/1';
const CHUNKS = ['draw ', 'of ', 'lane ', 'seven'];
const WHOLE = CHUNKS.join('');
const STATUS = 200;
const DEADLINE_MS = 30_000;
/** The pauses between connections may end after the deadline. */
const PAUSES_MS = 10_000;

type Frame = agent.AnswerFrame;

function frame(offsetBytes: number, part: Frame['part'], dispatchId = DISPATCH_ID): Frame {
  return { dispatchId, offsetBytes, load: undefined, part };
}

/** The frames of the answer from `fromBytes` on, as the agent sends them. */
function ownFrames(fromBytes: number): Frame[] {
  const chunks = CHUNKS.map((text, index) =>
    frame(CHUNKS.slice(0, index).join('').length, {
      $case: 'chunk',
      value: { data: Buffer.from(text) },
    }),
  );
  return [
    frame(0, { $case: 'started', value: {} }),
    frame(0, { $case: 'head', value: { status: STATUS, headers: [] } }),
    ...chunks.filter(({ offsetBytes }) => offsetBytes >= fromBytes),
    frame(0, { $case: 'end', value: { sizeBytes: WHOLE.length } }),
  ];
}

const foreign = frame(0, { $case: 'chunk', value: { data: Buffer.from('secret') } }, 'other/1');

/** What becomes of one stream: which of its frames come, in which order, how often, and how late. */
type Stream = { order: number[]; delayMs: number; isSilent: boolean };

const stream: fc.Arbitrary<Stream> = fc.record({
  order: fc.array(fc.nat({ max: 8 }), { maxLength: 12 }),
  delayMs: fc.nat({ max: 3_000 }),
  isSilent: fc.boolean(),
});

async function readAnswer(streams: readonly Stream[]) {
  const clock = fakeClocks.createFakeClock();
  const taken: string[] = [];
  let opened = 0;

  async function* open(fromBytes: number): AsyncGenerator<links.LinkPart> {
    const fate = streams[opened];
    opened += 1;
    const whole = [...ownFrames(fromBytes), foreign];
    // After the faults a stream comes whole.
    const frames = fate === undefined ? whole : fate.order.map((index) => whole[index]);
    for (const one of frames) {
      if (one === undefined) continue;
      if (fate !== undefined) await sleep(fate.delayMs);
      yield { kind: 'frame', frame: one };
    }
    if (fate?.isSilent === true) await new Promise(() => {});
  }

  function sleep(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      clock.schedule(clock.nowMs() + waitMs, resolve);
    });
  }

  const directory = {
    find: () => [],
    locate: () => null,
    noteLoad: () => {},
    noteAnswer: () => {},
    noteStarted: () => {},
    noteEnded: () => {},
    tickOf: () => 0,
  };
  const link = {
    dispatch: () => open(0),
    resume: (_target: unknown, request: agent.ResumeRequest) => open(request.offsetBytes),
    revoke: () => Promise.reject(new Error('not part of an attempt')),
    acknowledge: () => {},
  } as unknown as links.AgentLink;
  let heads = 0;
  const running = attempts.runAttempt(
    { clock, link, directory, reportUnreachable: () => {} },
    {
      target: { agentId: 'a', incarnation: 1, address: 'a:1' },
      dispatchId: DISPATCH_ID,
      deadlineMs: DEADLINE_MS,
      sink: {
        head: () => {
          heads += 1;
        },
        chunk: async (data) => void taken.push(data.toString()),
        hasBegun: () => taken.length > 0,
      },
      callerGone: new AbortController().signal,
      stop: attempts.NO_STOP,
      open: () => open(0),
    },
  );
  await clock.advance(DEADLINE_MS + PAUSES_MS);
  return { result: await running, text: taken.join(''), heads };
}

test('a caller gets its own whole answer, or a typed end', async () => {
  // Frames come late, twice, out of order, not at all, and with those of another request among them;
  // streams break and fall silent. Whatever reaches the caller is a beginning of its own answer, and
  // "ended" is said only of the whole.
  const property = fc.asyncProperty(fc.array(stream, { maxLength: 5 }), async (streams) => {
    const { result, text, heads } = await readAnswer(streams);
    assert.ok(WHOLE.startsWith(text), `got "${text}"`);
    if (result.kind === 'ended') {
      assert.is(text, WHOLE);
      assert.is(result.status, STATUS);
      assert.ok(heads > 0);
    } else {
      assert.ok(['lost', 'deadline-passed'].includes(result.kind), result.kind);
    }
  });
  await fc.assert(property, runs.parameters(CI_RUNS));
});

test.run();
