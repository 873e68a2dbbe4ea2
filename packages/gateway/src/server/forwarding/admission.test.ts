import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as calls from '../../types/calls.js';
import * as admissions from './admission.js';

const test = suite('admission');

function createCall(priority: number, organisation: string | null = null): calls.Call {
  return {
    service: 's',
    route: { latencyObjectiveMs: 500 },
    priority,
    organisation,
    facts: { model: 'm', tokenCount: null, promptTokens: 1_500, outputTokens: 300 },
  } as unknown as calls.Call;
}

function createFixture(isOrdered: boolean, isFair: boolean) {
  return admissions.createAdmission({
    clock: fakeClocks.createFakeClock(),
    ordersAdmission: () => isOrdered,
    sharesFairly: () => isFair,
    weightOf: () => 1,
  });
}

test('a less urgent request yields after a more urgent one was refused', () => {
  const admission = createFixture(true, false);
  assert.is(admission.yieldReason(createCall(1)), null);
  admission.decided(createCall(0), true);
  assert.is(admission.yieldReason(createCall(1)), 'more-urgent');
  assert.is(admission.yieldReason(createCall(0)), null);
});

test('an organisation far above its share yields to one that was refused, where shares are fair', () => {
  const fixtures = [createFixture(true, true), createFixture(true, false)];
  const reasons = fixtures.map((admission) => {
    admission.decided(createCall(1, 'small'), false);
    Array.from({ length: 10 }).forEach(() => admission.decided(createCall(1, 'large'), false));
    admission.decided(createCall(1, 'small'), true);
    assert.is(admission.yieldReason(createCall(1, 'small')), null);
    assert.is(admission.yieldReason(createCall(1)), null);
    return admission.yieldReason(createCall(1, 'large'));
  });
  assert.equal(reasons, ['organisation-behind', null]);
});

test('no request yields where admission is not ordered', () => {
  const admission = createFixture(false, true);
  admission.decided(createCall(0, 'small'), true);
  assert.is(admission.yieldReason(createCall(1, 'large')), null);
});

test.run();
