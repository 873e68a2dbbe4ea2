import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as lossTables from '../shared/loss-tables.js';
import * as fixtures from '../testing/fixture.js';
import * as losses from './losses.js';

const test = suite('losses');

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'copperlever-losses-'));
test.after(() => fs.rmSync(folder, { recursive: true }));

const time = (second: string) => `time=2030-01-01T00:00:${second}Z level=info`;

const LINES = [
  `${time('00.000')} event=change-started daemonId=g1 upstreamId=u1 load=m1 loadFrom=disk`,
  `${time('01.000')} event=request-not-placed daemonId=g1 requestId=r1 cause=overloaded withModelCount=1`,
  `${time('01.000')} event=request-ended daemonId=g1 requestId=r1 outcome=not-run cause=overloaded`,
  `${time('01.500')} event=request-ended daemonId=g1 requestId=r2 outcome=not-run cause=model-not-ready`,
  `${time('02.000')} event=change-ended daemonId=g1 upstreamId=u1 load=m1 isDone=true tookMs=2000`,
  `${time('03.000')} event=attempt-ended daemonId=g1 requestId=r3 upstreamId=u1 predictedMs=100 firstPieceMs=50 tookMs=2000`,
  `${time('03.000')} event=attempt-ended daemonId=g1 requestId=r4 upstreamId=u2 predictedMs=30 firstPieceMs=20 tookMs=20`,
];

async function tablesOf(lines: readonly string[]): Promise<lossTables.LossTables> {
  const file = path.join(folder, 'g1.log');
  fs.writeFileSync(file, `${lines.join('\n')}\n`);
  const { context, printed } = fixtures.createFixture();
  assert.is(await losses.showLosses(context, [file]), 0);
  return printed[0] as lossTables.LossTables;
}

test('refusals are counted by cause, by second and by number of available copies', async () => {
  const tables = await tablesOf(LINES);
  assert.equal(tables.causes, [
    { cause: 'overloaded', count: 1, byCopies: { 1: 1 } },
    { cause: 'model-not-ready', count: 1, byCopies: { '?': 1 } },
  ]);
  assert.equal(tables.bySecond, [{ second: 1, counts: { overloaded: 1, 'model-not-ready': 1 } }]);
});

test('first chunks of streams are compared with their predictions; plain calls are left out', async () => {
  const tables = await tablesOf(LINES);
  assert.is(tables.predictions.length, 1);
  assert.is(tables.predictions[0]?.belowMs, 150);
  assert.is(tables.predictions[0]?.medianRatio, 0.5);
});

test('copy changes and upstream loads are tabulated', async () => {
  const tables = await tablesOf(LINES);
  assert.equal(tables.changes, [
    { loadFrom: 'disk', doneCount: 1, failedCount: 0, medianMs: 2_000 },
  ]);
  assert.equal(
    tables.loads.filter(({ busiest }) => busiest > 0).map(({ second }) => second),
    [1, 2],
  );
  assert.ok(lossTables.formatTables(tables).length > 8);
});

test('a missing file is an error', async () => {
  const { context } = fixtures.createFixture();
  assert.is(await losses.showLosses(context, [path.join(folder, 'none.log')]), 2);
});

test.run();
