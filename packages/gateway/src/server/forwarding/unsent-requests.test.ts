import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as answers from './answers.js';
import * as unsentRequests from './unsent-requests.js';

const test = suite('unsent requests');

// Guards against a request that begins to wait just after the others were refused, and is cut off.
test('what is added after the refusal is refused at once, and what has ended is not refused', async () => {
  const unsent = unsentRequests.createUnsentRequests();
  const refused: string[] = [];
  unsent.add(() => refused.push('waiting'));
  unsent.add(() => refused.push('ended'))();
  assert.is(await unsentRequests.orStopping(unsent, Promise.resolve('done')), 'done');
  const pending = unsentRequests.orStopping(unsent, new Promise(() => {}));
  unsent.refuseAll();
  unsent.refuseAll();
  unsent.add(() => refused.push('late'));
  assert.equal(refused, ['waiting', 'late']);
  assert.is(await pending, 'stopping');
  const late = unsentRequests.orStopping(unsent, new Promise(() => {}));
  assert.is(await late, 'stopping');
});

// Guards against a wait that begins after its request was withdrawn, and does not end.
test('to all that works on a withdrawn request its caller is gone', () => {
  const sink = { isCallerGone: () => false, onCallerGone: () => {} };
  const withdrawable = unsentRequests.createWithdrawableSink(sink as unknown as answers.AnswerSink);
  const woken: string[] = [];
  withdrawable.onCallerGone(() => woken.push('first wait'));
  withdrawable.onCallerGone(null);
  withdrawable.onCallerGone(() => woken.push('second wait'));
  assert.is(withdrawable.isCallerGone(), false);
  withdrawable.withdraw();
  withdrawable.onCallerGone(() => woken.push('third wait'));
  assert.equal(woken, ['second wait', 'third wait']);
  assert.is(withdrawable.isCallerGone(), true);
});

test.run();
