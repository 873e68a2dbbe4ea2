import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as inFlightModule from './in-flight.js';

const test = suite('in flight');

const URGENT = { upstreamId: 'u1', model: 'm', priority: 0, promptTokens: 600 };
const USUAL = { upstreamId: 'u1', model: 'm', priority: 1, promptTokens: 1_500 };

// A copy is saturated with long drafts. Engines read short urgent prompts before them: predicted behind the whole
// queue, urgent requests would be refused although they are served in time.
test('only prompts as urgent or more are read before a request', () => {
  const inFlight = inFlightModule.createInFlight();
  for (let count = 0; count < 10; count += 1) inFlight.started(USUAL);
  inFlight.started(URGENT);
  assert.equal(inFlight.total('u1', 0, 0), { inFlightCount: 11, unreadPromptTokens: 600 });
  assert.equal(inFlight.total('u1', 1, 0), { inFlightCount: 11, unreadPromptTokens: 15_600 });
});

test('what has been read, or has ended, counts no more', () => {
  const inFlight = inFlightModule.createInFlight();
  const first = inFlight.started(URGENT);
  const second = inFlight.started(USUAL);
  first.promptRead();
  assert.equal(inFlight.total('u1', 9, 0), { inFlightCount: 2, unreadPromptTokens: 1_500 });
  first.ended();
  second.ended();
  assert.equal(inFlight.total('u1', 9, 0), { inFlightCount: 0, unreadPromptTokens: 0 });
  assert.equal(inFlight.ownLoads(), []);
});

test("others' loads count by priority as well, until they are old", () => {
  const inFlight = inFlightModule.createInFlight();
  const load = { upstreamId: 'u1', model: 'm', inFlightCount: 2, unreadPromptTokens: 3_000 };
  inFlight.heard('holder', [{ ...load, priority: 1 }], 1_000);
  assert.is(inFlight.total('u1', 0, 1_500).unreadPromptTokens, 0);
  assert.is(inFlight.total('u1', 1, 1_500).unreadPromptTokens, 3_000);
  assert.is(inFlight.total('u1', 1, 9_000).inFlightCount, 0);
  inFlight.started(USUAL);
  const told = inFlight.loadsWithout('asker', 1_500);
  assert.equal(told, [{ ...load, priority: 1, inFlightCount: 3, unreadPromptTokens: 4_500 }]);
});

test.run();
