import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as logLines from './log-lines.js';
import * as logs from './logs.js';

const test = suite('log lines');

const record = (fields: Record<string, unknown>) => ({
  time: new Date(1_500),
  level: 40,
  msg: 'request-failed',
  daemonId: 'g1',
  ...fields,
});

test('formatted lines parse back to the same values, for any content of the values', () => {
  fc.assert(
    fc.property(fc.string(), fc.integer(), (reason, tookMs) => {
      const line = logs.formatLine(record({ reason, tookMs }));
      assert.equal(logLines.parseLine(line), {
        timeMs: 1_500,
        level: 'warn',
        event: 'request-failed',
        daemonId: 'g1',
        fields: { reason, tookMs: String(tookMs) },
      });
    }),
    { seed: 7, numRuns: 500 },
  );
});

test("a log collector's prefix is skipped, and text that is not a log line gives null", () => {
  const line = logs.formatLine(record({ requestId: 'r1' }));
  assert.is(logLines.parseLine(`  12.5 g1 ${line}`)?.fields.requestId, 'r1');
  assert.is(logLines.parseLine('node: out of memory'), null);
  assert.is(logLines.parseLine('time=yesterday event=started'), null);
});

test.run();
