import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as boundedLogs from './bounded-logs.js';

const test = suite('bounded logs');

// In an overload a gateway refuses a thousand requests a second. The log keeps a limited number of lines for each
// event, reports how many it dropped, and does not limit one event because of another.
test('a flood of one event is limited and counted, and other events are still logged', () => {
  const written: string[] = [];
  const write = (event: string, fields?: { count?: unknown }) => {
    written.push(fields?.count === undefined ? event : `${event} ${String(fields.count)}`);
  };
  const state = { nowMs: 0 };
  const log = boundedLogs.createBoundedLogger(
    { info: write, warn: write, error: write },
    { nowMs: () => state.nowMs },
    { infoPerSecond: 10, warnPerSecond: 40 },
  );
  for (let count = 0; count < 1_000; count += 1) log.info('request-ended');
  log.warn('store-lost');
  assert.is(written.filter((event) => event === 'request-ended').length, 10);
  assert.ok(written.includes('store-lost'));
  state.nowMs = 1_000;
  log.info('request-ended');
  assert.ok(written.includes('lines-dropped 990'));
});

test.run();
