import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as inFlightModule from './in-flight.js';

const test = suite('in flight');

const MS_PER_TOKEN = 0.01;

/** Reading takes ten times as long for the model `slow`. */
function ahead(inFlight: inFlightModule.InFlight, priority: number, nowMs: number) {
  const readMs = (model: string, tokens: number) =>
    tokens * MS_PER_TOKEN * (model === 'slow' ? 10 : 1);
  return inFlight.ahead('u1', priority, nowMs, readMs);
}

const URGENT = { upstreamId: 'u1', model: 'm', priority: 0, promptTokens: 600 };
const USUAL = { upstreamId: 'u1', model: 'm', priority: 1, promptTokens: 1_500 };

// A copy is saturated with long drafts. Engines read short urgent prompts before them: predicted behind the whole
// queue, urgent requests would be refused although they are served in time.
test('only prompts as urgent or more are read before a request', () => {
  const inFlight = inFlightModule.createInFlight();
  for (let count = 0; count < 10; count += 1) inFlight.started(USUAL);
  inFlight.started(URGENT);
  assert.equal(ahead(inFlight, 0, 0), { inFlightCount: 11, urgentCount: 1, readMs: 6 });
  assert.equal(ahead(inFlight, 1, 0), { inFlightCount: 11, urgentCount: 11, readMs: 156 });
});

test('what has been read, or has ended, counts no more', () => {
  const inFlight = inFlightModule.createInFlight();
  const first = inFlight.started(URGENT);
  const second = inFlight.started(USUAL);
  first.promptRead();
  assert.equal(ahead(inFlight, 9, 0), { inFlightCount: 2, urgentCount: 2, readMs: 15 });
  first.ended();
  second.ended();
  assert.equal(ahead(inFlight, 9, 0), { inFlightCount: 0, urgentCount: 0, readMs: 0 });
  assert.equal(inFlight.ownLoads(), []);
});

test("others' loads count by priority as well, until they are old", () => {
  const inFlight = inFlightModule.createInFlight();
  const load = { upstreamId: 'u1', model: 'm', inFlightCount: 2, unreadPromptTokens: 3_000 };
  inFlight.heard('holder', [{ ...load, priority: 1 }], 1_000);
  assert.is(ahead(inFlight, 0, 1_500).readMs, 0);
  assert.is(ahead(inFlight, 1, 1_500).readMs, 30);
  inFlight.started(USUAL);
  const told = inFlight.allLoads(1_500);
  assert.equal(told, [{ ...load, priority: 1, inFlightCount: 3, unreadPromptTokens: 4_500 }]);
  // What is left is its own.
  assert.is(ahead(inFlight, 1, 9_000).inFlightCount, 1);
});

// The holder sums once for all askers. Were an asker's own requests left in the sum, it would see each of them twice
// and keep away from upstreams that are free.
test('an asker takes off what it has told itself', () => {
  const told = {
    upstreamId: 'u1',
    model: 'm',
    priority: 1,
    inFlightCount: 2,
    unreadPromptTokens: 9,
  };
  const other = { ...told, priority: 0 };
  const all = [{ ...told, inFlightCount: 5, unreadPromptTokens: 20 }, other];
  assert.equal(inFlightModule.withoutLoads(all, [told]), [
    { ...told, inFlightCount: 3, unreadPromptTokens: 11 },
    other,
  ]);
  assert.equal(inFlightModule.withoutLoads([told, other], [told]), [other]);
});

// Sums are kept as news comes in. An error that stayed behind would keep requests away from an upstream for good.
test('what was heard is replaced, and leaves nothing behind', () => {
  const inFlight = inFlightModule.createInFlight();
  const load = {
    upstreamId: 'u1',
    model: 'm',
    priority: 1,
    inFlightCount: 2,
    unreadPromptTokens: 9,
  };
  inFlight.heard('g1', [load, { ...load, upstreamId: 'u2' }], 1_000);
  inFlight.heard('g2', [load], 1_100);
  assert.is(inFlight.modelCount('u1', 'm', 1_200), 4);
  inFlight.heard('g1', [{ ...load, inFlightCount: 1, unreadPromptTokens: 0 }], 1_300);
  assert.is(inFlight.modelCount('u1', 'm', 1_400), 3);
  assert.is(inFlight.modelCount('u2', 'm', 1_400), 0);
  assert.is(inFlight.modelCount('u1', 'm', 2_700), 1);
  assert.equal(inFlight.allLoads(9_000), []);
});

// Models differ in pace by a factor of eight: the same tokens of another model take another time.
test('unread prompts count by the time that their models take', () => {
  const inFlight = inFlightModule.createInFlight();
  inFlight.started(USUAL);
  inFlight.started({ ...USUAL, model: 'slow', promptTokens: 1_000 });
  assert.equal(ahead(inFlight, 1, 0), { inFlightCount: 2, urgentCount: 2, readMs: 115 });
});

test.run();
