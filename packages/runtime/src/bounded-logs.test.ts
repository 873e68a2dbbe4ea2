import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as boundedLogs from './bounded-logs.js';

const test = suite('bounded logs');

// An overload refuses a thousand requests a second. The log keeps some lines of each event, says how many
// it dropped, and leaves other events alone.
test('a flood of one event is bounded, counted, and drowns no other', () => {
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
