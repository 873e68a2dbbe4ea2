import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as answers from '../types/answers.js';
import * as answerLogs from './answer-log.js';

const test = suite('answer-log');

function chunk(offsetBytes: number, text: string): answers.AnswerPart {
  return { kind: 'chunk', offsetBytes, data: Buffer.from(text) };
}

async function textOf(parts: AsyncIterable<answers.AnswerPart>): Promise<string> {
  let text = '';
  for await (const part of parts) if (part.kind === 'chunk') text += part.data.toString();
  return text;
}

test('two readers, one from the middle, get the same answer as it comes', async () => {
  const log = answerLogs.createAnswerLog();
  const whole = textOf(log.read(0));
  log.append(chunk(0, 'lane'));
  const rest = textOf(log.read(2));
  log.append(chunk(4, ' 4'));
  log.append({ kind: 'end', sizeBytes: 6 });
  assert.equal([await whole, await rest], ['lane 4', 'ne 4']);
  assert.is(log.readerCount(), 0);
});

test('a reader that waits ends when its signal is aborted, and leaves nothing behind', async () => {
  const log = answerLogs.createAnswerLog();
  const controller = new AbortController();
  const reading = textOf(log.read(0, controller.signal));
  log.append(chunk(0, 'lane'));
  await Promise.resolve();
  controller.abort();
  assert.is(await reading, 'lane');
  assert.is(log.readerCount(), 0);
  log.append({ kind: 'end', sizeBytes: 4 });
});

test('nothing follows the closing part', async () => {
  const log = answerLogs.createAnswerLog();
  log.append({ kind: 'end', sizeBytes: 0 });
  log.append(chunk(0, 'late'));
  assert.is(await textOf(log.read(0)), '');
});

test.run();
