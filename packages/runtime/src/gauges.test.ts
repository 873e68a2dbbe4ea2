import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as gauges from './gauges.js';

const test = suite('gauges');

test('each source is reported at once and at intervals, until the stop', async () => {
  const clock = fakeClock.createFakeClock();
  const reported: string[] = [];
  const metrics = { gauge: (name: string, value: number) => reported.push(`${name}=${value}`) };
  let value = 1;
  const sources = [{ name: 'entry.members', read: () => value }];
  const part = gauges.startGauges({ clock, metrics, sources });
  value = 2;
  await clock.advance(gauges.GAUGE_PERIOD_MS);
  await part.stop();
  await clock.advance(gauges.GAUGE_PERIOD_MS);
  assert.equal(reported, ['entry.members=1', 'entry.members=2']);
});

test('a source that throws breaks the part, so that its supervisor hears of it', async () => {
  const clock = fakeClock.createFakeClock();
  const sources = [
    {
      name: 'entry.members',
      read: () => {
        throw new Error('no members');
      },
    },
  ];
  const part = gauges.startGauges({ clock, metrics: { gauge: () => {} }, sources });
  assert.is((await part.failed).message, 'no members');
});

test.run();
