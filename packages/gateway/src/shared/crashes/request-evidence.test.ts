import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as requestEvidence from './request-evidence.js';

const test = suite('request evidence');

const SECOND_MS = 1_000;

function endAt(
  atMs: number,
  changes: Partial<requestEvidence.RequestEnd> = {},
): requestEvidence.RequestEnd {
  const calm = { isOtherTrial: false, hasRival: false, isExplained: false };
  return { atMs, isTrial: false, suspectCount: 1, ...calm, ...changes };
}

function stateOf(
  ends: readonly requestEvidence.RequestEnd[],
  otherEndsMs: readonly number[] = [],
  unknownCount = 0,
): requestEvidence.RequestJudgement['state'] {
  return requestEvidence.judge(ends, otherEndsMs, unknownCount).state;
}

// Guards against a verdict that waits for more ends than the promise allows.
test('a request is refused at the third end in a row, however close in time, if it was sent between them', () => {
  const ends = [endAt(0), endAt(40, { isTrial: true }), endAt(80, { isTrial: true })];
  assert.is(stateOf(ends.slice(0, 1)), 'suspected');
  assert.is(stateOf(ends.slice(0, 2)), 'suspected');
  assert.is(stateOf(ends), 'refused');
});

// Guards against the loss of a failure domain being taken for as many tests of one request.
test('ends at one moment show little', () => {
  const ends = [endAt(0), endAt(20), endAt(40), endAt(60)];
  assert.is(stateOf(ends), 'suspected');
});

// Guards against requests being sent alone that were beside one end with tens of others.
test('one of many beside a single end is free, and beside two it is not', () => {
  const many = { suspectCount: 20 };
  assert.is(stateOf([endAt(0, many)]), 'free');
  assert.is(stateOf([endAt(0, many), endAt(SECOND_MS, many)]), 'suspected');
});

// Guards against refusals in a series of ends that have other causes.
test('ends count half while other upstreams end without the request', () => {
  const ends = [0, 1, 2].map((second) => endAt(second * SECOND_MS, { isTrial: second > 0 }));
  assert.is(stateOf(ends, [500]), 'suspected');
  const more = [3, 4].map((second) => endAt(second * SECOND_MS, { isTrial: true }));
  assert.is(stateOf([...ends, ...more], [500, 2_500]), 'refused');
});

// Guards against refusals of a sound request that each time was beside a bad one, or beside what is refused already.
test('ends that something else explains as well are no proof', () => {
  const times = [0, 5, 10].map((second) => second * SECOND_MS);
  const beside = (changes: Partial<requestEvidence.RequestEnd>) =>
    stateOf(times.map((atMs) => endAt(atMs, { isTrial: true, ...changes })));
  assert.is(beside({}), 'refused');
  assert.is(beside({ hasRival: true }), 'suspected');
  assert.is(beside({ isExplained: true }), 'suspected');
  assert.is(beside({ isTrial: false, isOtherTrial: true }), 'suspected');
});

// Guards against counting anew after the gateways that saw the first ends have started again.
test('ends that only others know of count too', () => {
  assert.is(stateOf([endAt(0, { isTrial: true })], [], 2), 'refused');
  assert.is(stateOf([], [], 1), 'suspected');
});

// Guards against a request that goes on ending upstreams without ever being proved to.
test('a request is refused at the fifth end in any case', () => {
  const ends = [0, 5, 10, 15].map((second) => endAt(second * SECOND_MS, { hasRival: true }));
  assert.is(stateOf(ends), 'suspected');
  assert.is(stateOf([...ends, endAt(20 * SECOND_MS, { hasRival: true })]), 'refused');
});

test.run();
