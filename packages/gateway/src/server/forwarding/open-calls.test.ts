import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as calls from '../../types/calls.js';
import type * as logEvents from '../../types/log-events.js';
import * as openCallsModule from './open-calls.js';

const test = suite('open calls');

function callOf(requestId: string): calls.Call {
  const facts = { model: 'm1', adapter: null };
  return { requestId, route: { name: 'drafts' }, facts, arrivedAtMs: 400 } as unknown as calls.Call;
}

// A planned stop can reach its time limit while requests are still being answered. Their callers see a broken connection, and
// without a line the logs would not contain the ids of these requests.
test('a request that is cut off by a stop is logged', () => {
  const lines: [string, unknown][] = [];
  const write = (event: string, fields: unknown) => lines.push([event, fields]);
  const log = { info: write, warn: write, error: write } as unknown as logEvents.GatewayLog;
  const openCalls = openCallsModule.createOpenCalls({ nowMs: () => 7_400 }, log);
  const [first, second] = [callOf('r1'), callOf('r2')];
  openCalls.add(first);
  openCalls.add(second);
  openCalls.remove(first);
  assert.is(openCalls.count(), 1);
  openCalls.logCut();
  const [line] = lines;
  assert.is(line?.[0], 'request-failed');
  const { requestId, outcome, cause, tookMs } = line?.[1] as logEvents.LogEvents['request-failed'];
  assert.equal(
    { requestId, outcome, cause, tookMs },
    {
      requestId: 'r2',
      outcome: 'cut',
      cause: 'stopping',
      tookMs: 7_000,
    },
  );
});

test.run();
