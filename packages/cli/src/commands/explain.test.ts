import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../testing/fixture.js';
import * as explain from './explain.js';

const test = suite('explain');

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'copperlever-explain-'));
test.after(() => fs.rmSync(folder, { recursive: true }));

function writeLog(name: string, lines: readonly string[]): string {
  const file = path.join(folder, name);
  fs.writeFileSync(file, `${lines.join('\n')}\n`);
  return file;
}

test('the lines of all files are merged into one timeline', async () => {
  const time = 'time=2030-01-01T00:00:0';
  const first = writeLog('g1.log', [
    `${time}2.000Z level=warn event=request-failed daemonId=g1 requestId=r1 outcome=not-run`,
  ]);
  const second = writeLog('g2.log', [
    `${time}1.000Z level=info event=lease-taken daemonId=g2 term=4`,
    `${time}1.500Z level=info event=request-ended daemonId=g2 requestId=r2 outcome=answered`,
  ]);
  const { context, printed } = fixtures.createFixture();
  assert.is(await explain.explain(context, 'r1', [first, second]), 0);
  const { lines } = printed[0] as { lines: { line: { event: string } }[] };
  assert.equal(
    lines.map(({ line }) => line.event),
    ['lease-taken', 'request-failed'],
  );
});

test('an unknown request id and a missing file give different errors', async () => {
  const { context, errors } = fixtures.createFixture();
  assert.is(await explain.explain(context, 'r7', [writeLog('g3.log', [''])]), 1);
  assert.is(errors[0]?.kind, 'not-found');
  assert.is(await explain.explain(context, 'r7', [path.join(folder, 'none.log')]), 2);
  assert.is(errors[1]?.kind, 'log-unreadable');
});

test.run();
