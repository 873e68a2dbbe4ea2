import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as answerPlays from '../../testing/answer-plays.js';
import type * as calls from '../../types/calls.js';

const test = suite('answers that end early');

const PLAY_COUNT = Number(process.env.ANSWER_PLAYS ?? 480);
const PLAYS_AT_ONCE = 24;
const FRAMINGS: readonly calls.Framing[] = ['length', 'chunked', 'until-close'];
/** More than the gateway holds back before it forwards a plain answer. */
const LARGE_BYTES = 300_000;

const play = (changes: Partial<answerPlays.AnswerPlay>): answerPlays.AnswerPlay => ({
  kind: 'stream',
  framing: 'until-close',
  httpVersion: '1.1',
  method: 'POST',
  status: 200,
  takenUpAfter: null,
  body: Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'),
  cut: 'stopped',
  cutAtBytes: 'id: 1\ndata: a\n\n'.length,
  ...changes,
});

/**
 * What the sender itself has ended between two events, or without events, is whole by the protocol. A caller of HTTP/1.0 can't be told
 * where an answer of unknown length ends, if its gateway is gone.
 */
function isUnprovable(
  { kind, framing, httpVersion, cut, body }: answerPlays.AnswerPlay,
  got: Buffer,
) {
  if (cut === 'upstream-closed' && framing === 'until-close') {
    return kind === 'plain' || got.subarray(-2).toString() === '\n\n';
  }
  const isLengthKnown = kind !== 'resumable' && framing === 'length';
  return cut === 'killed' && httpVersion === '1.0' && !isLengthKnown && body.length > 0;
}

// Guards against an answer without a length that a planned stop ends, and that looks complete.
test('an answer without a length that a stop cuts off does not look complete', async () => {
  for (const httpVersion of ['1.1', '1.0'] as const) {
    const { status, isComplete } = await answerPlays.playAnswer(play({ httpVersion }));
    assert.equal([status, isComplete], [200, false], httpVersion);
  }
});

// Guards against an answer without a length that looks complete when its gateway was killed.
test('an answer without a length does not look complete when its gateway is killed', async () => {
  for (const body of [play({}).body, Buffer.alloc(LARGE_BYTES * 2, 'x')]) {
    const kind = body.length > LARGE_BYTES ? 'plain' : 'stream';
    const cutAtBytes = kind === 'plain' ? LARGE_BYTES : play({}).cutAtBytes;
    const options = { kind, body, cutAtBytes, cut: 'killed' } as const;
    const { status, isComplete } = await answerPlays.playAnswer(play(options));
    assert.equal([status, isComplete], [200, false], kind);
  }
});

// Guards against callers of HTTP/1.0, who can't read chunks, losing the length that the upstream has stated.
test('a large answer keeps the length that its upstream has stated', async () => {
  const body = Buffer.alloc(LARGE_BYTES, 'x');
  const options = { kind: 'plain', framing: 'length', httpVersion: '1.0', cut: 'none' } as const;
  const received = await answerPlays.playAnswer(play({ ...options, body }));
  assert.equal([received.framing, received.isComplete], ['length', true]);
  assert.ok(received.body.equals(body));
});

const events = fc
  .array(fc.string({ unit: fc.constantFrom('a', 'b', ' '), maxLength: 30 }), {
    minLength: 1,
    maxLength: 6,
  })
  .map((texts) => texts.map((text, index) => `id: ${index + 1}\ndata: ${text}\n\n`).join(''))
  .map((text) => Buffer.from(text));
const plain = fc
  .oneof(
    { weight: 4, arbitrary: fc.integer({ min: 1, max: 2_000 }) },
    { weight: 1, arbitrary: fc.integer({ min: LARGE_BYTES, max: LARGE_BYTES * 2 }) },
  )
  .map((length) => Buffer.alloc(length, 'xyz'));

const plays = fc
  .record({
    kind: fc.constantFrom('plain' as const, 'stream' as const, 'resumable' as const),
    framing: fc.constantFrom(...FRAMINGS),
    httpVersion: fc.constantFrom('1.0' as const, '1.1' as const),
    cut: fc.constantFrom(...answerPlays.CUTS),
    cutPercent: fc.integer({ min: 0, max: 100 }),
    events,
    plain,
  })
  .map(({ kind, framing, httpVersion, cut, ...drawn }): answerPlays.AnswerPlay => {
    const body = kind === 'plain' ? drawn.plain : drawn.events;
    const cutAtBytes = Math.round((drawn.cutPercent / 100) * body.length);
    return play({ kind, framing, httpVersion, cut, body, cutAtBytes });
  });

/** Answers with few bytes or none, and those that have no body by the protocol. */
const shortPlays = fc
  .record({
    kind: fc.constantFrom('plain' as const, 'stream' as const, 'resumable' as const),
    framing: fc.constantFrom(...FRAMINGS),
    httpVersion: fc.constantFrom('1.0' as const, '1.1' as const),
    method: fc.constantFrom('POST' as const, 'POST' as const, 'HEAD' as const),
    status: fc.constantFrom(200 as const, 200 as const, 204 as const),
    cut: fc.constantFrom(...answerPlays.CUTS),
    eventCount: fc.integer({ min: 0, max: 2 }),
    takenUpAfter: fc.constantFrom(null, 0, 1, 2),
    cutAtBytes: fc.integer({ min: 0, max: 2 }),
  })
  .map(({ eventCount, ...drawn }) => {
    const texts = Array.from({ length: eventCount }, (_, index) => `id: ${index + 1}\ndata: a\n\n`);
    return play({ ...drawn, body: Buffer.from(texts.join('')) });
  });

function describe({ body, ...rest }: answerPlays.AnswerPlay): string {
  return JSON.stringify({ ...rest, bodyBytes: body.length });
}

// Guards against a part of an answer that a caller takes for the whole, whichever way it ends and however it is framed.
test('whatever ends an answer early, the part never looks complete', async () => {
  const drawn = fc.sample(plays, { numRuns: PLAY_COUNT, seed: 60 });
  const counts = new Map<string, number>();
  const wrong: string[] = [];
  const playOne = async (one: answerPlays.AnswerPlay) => {
    const { status, body, isComplete } = await answerPlays.playAnswer(one);
    const isWhole = body.equals(one.body);
    const hasEnded = one.cutAtBytes === one.body.length && one.cut !== 'none';
    const isSuccess = status === 200 && isComplete;
    const isUnproved = isSuccess && !isWhole && isUnprovable(one, body);
    const outcome = isSuccess ? 'whole' : 'seen to end early';
    const key = `${one.cut}${hasEnded ? ' at the end' : ''} ${isUnproved ? 'unprovable' : outcome}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
    if (isSuccess && !isWhole && !isUnproved) wrong.push(describe(one));
    if (one.cut === 'none' && !isSuccess) wrong.push(`not served: ${describe(one)}`);
  };
  const left = [...drawn];
  const worker = async () => {
    for (let one = left.pop(); one !== undefined; one = left.pop()) await playOne(one);
  };
  await Promise.all(Array.from({ length: PLAYS_AT_ONCE }, worker));
  const counted = [...counts].sort().map(([key, count]) => `${key} ${count}`);
  process.stdout.write(`${drawn.length} answers: ${counted.join(', ')}\n`);
  assert.equal(wrong.slice(0, 5), []);
  for (const cut of answerPlays.CUTS) {
    const playedCount = drawn.filter((one) => one.cut === cut).length;
    assert.ok(playedCount >= PLAY_COUNT / 20, `${cut}: ${playedCount}`);
  }
});

// Guards against a success of the gateway's own making, in place of an answer that has no body or breaks off before it.
test('no success comes without the signature of its upstream, however short the answer is', async () => {
  const drawn = fc.sample(shortPlays, { numRuns: PLAY_COUNT, seed: 68 });
  const counts = new Map<string, number>();
  const wrong: string[] = [];
  const playOne = async (one: answerPlays.AnswerPlay) => {
    const { status, isSigned } = await answerPlays.playAnswer(one);
    const isSuccess = status >= 200 && status < 300;
    const outcome = isSuccess ? 'success' : `${status}`;
    counts.set(`${one.cut} ${outcome}`, (counts.get(`${one.cut} ${outcome}`) ?? 0) + 1);
    if (isSuccess && !isSigned) wrong.push(describe(one));
    const isEndKnown = one.framing !== 'until-close' || one.method === 'HEAD' || one.status === 204;
    if (one.cut === 'none' && isEndKnown && status !== one.status) {
      wrong.push(`not served: ${describe(one)}`);
    }
  };
  const left = [...drawn];
  const worker = async () => {
    for (let one = left.pop(); one !== undefined; one = left.pop()) await playOne(one);
  };
  await Promise.all(Array.from({ length: PLAYS_AT_ONCE }, worker));
  const counted = [...counts].sort().map(([key, count]) => `${key} ${count}`);
  process.stdout.write(`${drawn.length} short answers: ${counted.join(', ')}\n`);
  assert.equal([wrong.length, ...wrong.slice(0, 5)], [0]);
});

// Guards against an empty answer without a head, in place of the whole answer to a stream that has nothing left to send.
test('a stream that is taken up after its last event ends with the head of its upstream', async () => {
  for (const framing of ['length', 'chunked'] as const) {
    const one = play({ kind: 'resumable', framing, cut: 'none', takenUpAfter: 2 });
    const { status, isSigned, isComplete, body } = await answerPlays.playAnswer(one);
    assert.equal([status, isSigned, isComplete, body.length], [200, true, true, 0], framing);
  }
});

// Guards against a length of 0 in answers to HEAD and a length in answers that can't have one.
test('an answer without a body keeps the length that its upstream has stated, and gets none of its own', async () => {
  const body = Buffer.alloc(300, 'x');
  const options = { kind: 'plain', framing: 'length', cut: 'none', body } as const;
  assert.is((await answerPlays.playAnswer(play({ ...options, method: 'HEAD' }))).statedBytes, 300);
  const noContent = play({ ...options, framing: 'chunked', status: 204 });
  assert.is((await answerPlays.playAnswer(noContent)).statedBytes, null);
});

test.run();
