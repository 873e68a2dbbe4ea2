import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as answerPlays from '../../testing/answer-plays.js';

const test = suite('answers that end early');

/** More than the gateway holds back before it forwards a plain answer. */
const LARGE_BYTES = 300_000;

const play = (changes: Partial<answerPlays.AnswerPlay>): answerPlays.AnswerPlay => ({
  kind: 'stream',
  framing: 'until-close',
  httpVersion: '1.1',
  body: Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'),
  cut: 'stopped',
  cutAtBytes: 'id: 1\ndata: a\n\n'.length,
  ...changes,
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

test.run();
