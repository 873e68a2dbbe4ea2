import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as serviceTimesModule from '../../shared/service-times.js';
import type * as logEvents from '../../types/log-events.js';
import * as serviceTimeReports from './service-time-reports.js';

const test = suite('service time reports');

function createFixture() {
  const clock = fakeClocks.createFakeClock();
  const paces = serviceTimesModule.createServiceTimeEstimator();
  const models: string[] = [];
  const log: logEvents.GatewayLog = {
    ...logs.createSilentLogger(),
    info: (event, fields) => {
      if (event === 'pace-learnt' && 'model' in fields) models.push(String(fields.model));
    },
  };
  const report = serviceTimeReports.createServiceTimeReports({ clock, log, paces });
  const answer = (firstPieceMs: number) => {
    const work = {
      uncachedTokens: 800,
      prefillAheadMs: 0,
      inFlightCount: 4,
      slotWaiterCount: 0,
      slots: 32,
    };
    paces.recordAnswer(
      { ...work, service: 's', model: 'm', firstChunkMs: firstPieceMs, tookMs: 1_500 },
      0,
    );
    report('s', 'm');
  };
  return { clock, models, answer };
}

// A busy model gets some twenty answers a second: a line for each would fill the logs without adding information.
test('service times are logged at first, and again once they have changed', async () => {
  const { clock, models, answer } = createFixture();
  for (let index = 0; index < 200; index += 1) answer(60);
  await clock.advance(6_000);
  for (let index = 0; index < 50; index += 1) answer(60);
  const settled = models.length;
  assert.ok(settled >= 1 && settled <= 2);
  await clock.advance(6_000);
  for (let index = 0; index < 400; index += 1) answer(300);
  await clock.advance(6_000);
  answer(300);
  assert.ok(models.length > settled);
});

test.run();
