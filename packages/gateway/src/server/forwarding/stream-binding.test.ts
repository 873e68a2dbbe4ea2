import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as streamCalls from '../../testing/stream-calls.js';
import type * as calls from '../../types/calls.js';
import type * as resumedStreams from '../streams/resumed-streams.js';
import * as runs from './run.js';
import * as streamBindings from './stream-binding.js';

const test = suite('binding of streams');

async function bind(match: resumedStreams.Match) {
  const run = runs.createRun();
  const bindStream = streamBindings.createStreamBinding({
    streams: { match: async () => match },
    refuse: (_call, _run, cause, retryAfterMs): calls.Ending => ({
      kind: 'not-run',
      cause,
      retryAfterMs,
    }),
  });
  const bound = await bindStream(streamCalls.resumptionOf('r2', 'r1'), run);
  return { ...bound, boundVersion: run.boundVersion };
}

test('a stream is bound to the service and version that began it', async () => {
  const bound = await bind({ kind: 'bound', service: 'pool', version: 'v1' });
  assert.is(bound.call.service, 'pool');
  assert.is(bound.boundVersion, 'v1');
  assert.is(bound.ending, null);
});

// Guards against a stream that goes on at a service to which its route does not lead any more.
test('a stream whose route leads to another service by now is refused, not run', async () => {
  const { ending } = await bind({ kind: 'bound', service: 'elsewhere', version: 'v1' });
  assert.equal(ending, {
    kind: 'not-run',
    cause: 'version-gone',
    retryAfterMs: streamBindings.VERSION_GONE_RETRY_MS,
  });
});

test('a stream of an unknown version is refused with the time to come back', async () => {
  const { ending, boundVersion } = await bind({ kind: 'unknown', retryAfterMs: 500 });
  assert.equal(ending, { kind: 'not-run', cause: 'stream-unknown', retryAfterMs: 500 });
  assert.is(boundVersion, null);
});

test.run();
