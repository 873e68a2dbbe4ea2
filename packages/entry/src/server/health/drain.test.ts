import { logs } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as drains from './drain.js';

const test = suite('drain');

function createRig(timeoutMs = 60_000) {
  const clock = fakeClock.createFakeClock();
  const events: string[] = [];
  const open = { calls: 1, claims: 0 };
  const drained = drains.drain({
    clock,
    log: logs.createSilentLogger(),
    turnReadyOff: () => events.push('not ready'),
    leaveMembership: () => events.push('leaving'),
    connections: { closeUnused: async () => {}, isClosed: () => true },
    openCallCount: () => open.calls,
    pendingClaimCount: () => open.claims,
    timeoutMs,
  });
  void drained.then(() => events.push('drained'));
  return { clock, events, open };
}

test('readiness turns first, and the last request in flight is waited for', async () => {
  // The platform replaces an entry VM while a crew's entry is in flight. The balancer must stop
  // sending callers before anything ends, and the crew must get its confirmation.
  const { clock, events, open } = createRig();
  assert.equal(events, ['not ready', 'leaving']);
  await clock.advance(20_000);
  assert.equal(events, ['not ready', 'leaving']);
  open.calls = 0;
  await clock.advance(100);
  assert.equal(events, ['not ready', 'leaving', 'drained']);
});

test('without requests it still waits until the balancer has noticed', async () => {
  const { clock, events, open } = createRig();
  open.calls = 0;
  await clock.advance(drains.BALANCER_NOTICE_MS - 1);
  assert.is(events.includes('drained'), false);
  await clock.advance(100);
  assert.is(events.includes('drained'), true);
});

test('an outcome that is not written yet is waited for, up to the timeout', async () => {
  const { clock, events, open } = createRig(5_000);
  open.calls = 0;
  open.claims = 1;
  await clock.advance(4_000);
  assert.is(events.includes('drained'), false);
  await clock.advance(1_100);
  assert.is(events.includes('drained'), true);
});

test.run();
