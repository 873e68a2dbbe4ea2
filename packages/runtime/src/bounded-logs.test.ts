import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as boundedLogs from './bounded-logs.js';

const test = suite('bounded logs');

function createLog(bounds: boundedLogs.LogBounds) {
  const written: string[] = [];
  const write = (event: string, fields?: { count?: unknown }) => {
    written.push(fields?.count === undefined ? event : `${event} ${String(fields.count)}`);
  };
  const state = { nowMs: 0 };
  const log = boundedLogs.createBoundedLogger(
    { info: write, warn: write, error: write },
    { nowMs: () => state.nowMs },
    bounds,
  );
  return { log, written, state };
}

const BOUNDS = { infoPerSecond: 10, warnPerSecond: 40, errorPerSecond: 40 };

// In an overload a gateway refuses a thousand requests a second. The log keeps a limited number of lines for each
// event, reports how many it dropped, and does not limit one event because of another.
test('a flood of one event is limited and counted, and other events are still logged', () => {
  const { log, written, state } = createLog(BOUNDS);
  for (let count = 0; count < 1_000; count += 1) log.info('request-ended');
  log.warn('store-lost');
  assert.is(written.filter((event) => event === 'request-ended').length, 10);
  assert.ok(written.includes('store-lost'));
  state.nowMs = 1_000;
  log.info('request-ended');
  assert.ok(written.includes('lines-dropped 990'));
});

// Guards against a fault that each request meets, whose lines take the processor time of the requests.
test('a flood of errors is limited and counted, and its first ones are kept', () => {
  const { log, written, state } = createLog(BOUNDS);
  for (let count = 0; count < 1_000; count += 1) log.error('request-broken', { count });
  log.error('record-unreadable');
  assert.is(written.filter((line) => line.startsWith('request-broken')).length, 40);
  assert.ok(written.includes('request-broken 0'));
  assert.ok(written.includes('record-unreadable'));
  state.nowMs = 1_000;
  log.error('request-broken');
  assert.ok(written.includes('lines-dropped 960'));
});

test.run();
