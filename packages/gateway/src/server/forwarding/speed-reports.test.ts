import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as logEvents from '../../types/log-events.js';
import * as speedReports from './speed-reports.js';

const test = suite('speed reports');

function createFixture() {
  const clock = fakeClocks.createFakeClock();
  const lines: string[] = [];
  const log: logEvents.GatewayLog = {
    ...logs.createSilentLogger(),
    info: (event, fields) => {
      lines.push(`${event} ${'upstreamId' in fields ? fields.upstreamId : ''}`);
    },
  };
  const reports = speedReports.createSpeedReports({ clock, log });
  const note = (upstreamId: string, transientFactor: number) =>
    reports.note(upstreamId, { latencyRatio: 1, transientFactor });
  return { clock, lines, note };
}

// Guards against a machine that slows down twice a second filling the log.
test('an upstream has at most one line in some seconds', async () => {
  const { clock, lines, note } = createFixture();
  for (let count = 0; count < 40; count += 1) {
    note('u1', count % 2 === 0 ? 2.5 : 1);
    await clock.advance(250);
  }
  assert.equal(lines, ['upstream-slow u1', 'upstream-usual u1']);
});

test('many upstreams that become slow at once cause a few lines a second', async () => {
  const { clock, lines, note } = createFixture();
  for (let index = 0; index < 700; index += 1) {
    note(`u${index}`, 2.5);
    await clock.advance(1);
  }
  assert.is(lines.length, 4);
});

test('a speed near the baseline is not logged', () => {
  const { lines, note } = createFixture();
  note('u1', 1.3);
  note('u1', 0.5);
  assert.equal(lines, []);
});

test.run();
