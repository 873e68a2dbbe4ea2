import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as inFlightModule from './in-flight.js';

const test = suite('in flight');

const MS_PER_TOKEN = 0.01;

/** Prefill takes ten times as long for the model `slow`. */
function loadAhead(inFlight: inFlightModule.InFlight, priority: number, nowMs: number) {
  const prefillMs = (model: string, tokens: number) =>
    tokens * MS_PER_TOKEN * (model === 'slow' ? 10 : 1);
  return inFlight.loadAhead('u1', priority, nowMs, prefillMs);
}

const URGENT = { upstreamId: 'u1', model: 'm', priority: 0, promptTokens: 600 };
const STANDARD = { upstreamId: 'u1', model: 'm', priority: 1, promptTokens: 1_500 };

// A copy is saturated with long drafts. Engines prefill short urgent prompts before them: if these were predicted
// behind the whole queue, urgent requests would be refused although they are served in time.
test('only prompts that are at least as urgent are prefilled before a request', () => {
  const inFlight = inFlightModule.createInFlight();
  for (let count = 0; count < 10; count += 1) inFlight.start(STANDARD);
  inFlight.start(URGENT);
  assert.equal(loadAhead(inFlight, 0, 0), { inFlightCount: 11, urgentCount: 1, prefillMs: 6 });
  assert.equal(loadAhead(inFlight, 1, 0), { inFlightCount: 11, urgentCount: 11, prefillMs: 156 });
});

test('prefilled prompts and ended requests no longer count', () => {
  const inFlight = inFlightModule.createInFlight();
  const first = inFlight.start(URGENT);
  const second = inFlight.start(STANDARD);
  first.promptPrefilled();
  assert.equal(loadAhead(inFlight, 9, 0), { inFlightCount: 2, urgentCount: 2, prefillMs: 15 });
  first.end();
  second.end();
  assert.equal(loadAhead(inFlight, 9, 0), { inFlightCount: 0, urgentCount: 0, prefillMs: 0 });
  assert.equal(inFlight.localLoads(), []);
});

test('remote loads count by priority as well, until they expire', () => {
  const inFlight = inFlightModule.createInFlight();
  const load = { upstreamId: 'u1', model: 'm', inFlightCount: 2, unreadPromptTokens: 3_000 };
  inFlight.applyRemoteLoads('holder', [{ ...load, priority: 1 }], 1_000);
  assert.is(loadAhead(inFlight, 0, 1_500).prefillMs, 0);
  assert.is(loadAhead(inFlight, 1, 1_500).prefillMs, 30);
  inFlight.start(STANDARD);
  const reported = inFlight.allLoads(1_500);
  assert.equal(reported, [{ ...load, priority: 1, inFlightCount: 3, unreadPromptTokens: 4_500 }]);
  // Only this gateway's own load is left.
  assert.is(loadAhead(inFlight, 1, 9_000).inFlightCount, 1);
});

// The holder sums once for all requesters. If a requester's own requests stayed in the sum, it would count each of them
// twice and avoid upstreams that are free.
test('a requester subtracts what it has reported itself', () => {
  const reported = {
    upstreamId: 'u1',
    model: 'm',
    priority: 1,
    inFlightCount: 2,
    unreadPromptTokens: 9,
  };
  const other = { ...reported, priority: 0 };
  const all = [{ ...reported, inFlightCount: 5, unreadPromptTokens: 20 }, other];
  assert.equal(inFlightModule.withoutLoads(all, [reported]), [
    { ...reported, inFlightCount: 3, unreadPromptTokens: 11 },
    other,
  ]);
  assert.equal(inFlightModule.withoutLoads([reported, other], [reported]), [other]);
});

// Sums are updated as reports arrive. An error that persisted would keep requests away from an upstream for good.
test('a remote report replaces the earlier one completely', () => {
  const inFlight = inFlightModule.createInFlight();
  const load = {
    upstreamId: 'u1',
    model: 'm',
    priority: 1,
    inFlightCount: 2,
    unreadPromptTokens: 9,
  };
  inFlight.applyRemoteLoads('g1', [load, { ...load, upstreamId: 'u2' }], 1_000);
  inFlight.applyRemoteLoads('g2', [load], 1_100);
  assert.is(inFlight.modelCount('u1', 'm', 1_200), 4);
  inFlight.applyRemoteLoads('g1', [{ ...load, inFlightCount: 1, unreadPromptTokens: 0 }], 1_300);
  assert.is(inFlight.modelCount('u1', 'm', 1_400), 3);
  assert.is(inFlight.modelCount('u2', 'm', 1_400), 0);
  assert.is(inFlight.modelCount('u1', 'm', 2_700), 1);
  assert.equal(inFlight.allLoads(9_000), []);
});

// Service times of models differ by a factor of eight: the same tokens of another model take another time.
test('pending prompts count by the prefill time of their models', () => {
  const inFlight = inFlightModule.createInFlight();
  inFlight.start(STANDARD);
  inFlight.start({ ...STANDARD, model: 'slow', promptTokens: 1_000 });
  assert.equal(loadAhead(inFlight, 1, 0), { inFlightCount: 2, urgentCount: 2, prefillMs: 115 });
});

test.run();
