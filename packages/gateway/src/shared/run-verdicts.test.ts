import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as calls from '../types/calls.js';
import * as runVerdicts from './run-verdicts.js';

const test = suite('run verdicts');

type Result = Parameters<typeof runVerdicts.afterAttempt>[1];

const lost: Result = { kind: 'lost', reason: 'connection', hasBegun: false, lastEventId: null };
const rejected: Result = { kind: 'rejected', isMisdirected: false, retryAfterMs: null };

function facts(
  kind: 'idempotent' | 'at-most-once' | 'stream',
  overrides: Partial<runVerdicts.RunFacts> = {},
): runVerdicts.RunFacts {
  return {
    route: { kind, isResumable: false, maxAttempts: 2 },
    ranCount: 1,
    sentCount: 1,
    hasBegun: false,
    upstreamId: 'u1',
    ...overrides,
  };
}

// The connection broke after the request was sent: the upstream may have run it. Sent again, an entry
// would stand twice in the books.
test('what may have run is repeated only where that is allowed', () => {
  assert.is(runVerdicts.afterAttempt(facts('idempotent'), lost).kind, 'retry');
  const ending: calls.Ending = { kind: 'failed', cause: 'upstream-lost', upstreamId: 'u1' };
  assert.equal(runVerdicts.afterAttempt(facts('at-most-once'), lost), { kind: 'end', ending });
  assert.equal(runVerdicts.afterAttempt(facts('stream'), lost), { kind: 'end', ending });
});

test('a stream goes on elsewhere only behind an event that the caller has whole', () => {
  const resumable = { route: { kind: 'stream', isResumable: true, maxAttempts: 2 } } as const;
  const begun = { ...lost, hasBegun: true } as const;
  const verdict = runVerdicts.afterAttempt(facts('stream', resumable), {
    ...begun,
    lastEventId: '7',
  });
  assert.equal(verdict, { kind: 'retry', isRepeat: true, resumeAfterId: '7' });
  const cut = runVerdicts.afterAttempt(facts('stream', resumable), begun);
  assert.is(cut.kind === 'end' && cut.ending.kind, 'cut');
});

// A stream broke off midway, and no other upstream has its model. The caller has some events already: a failure
// behind them would be a second answer on the same connection.
test('behind a part of an answer there is only the cut', () => {
  const begun = facts('stream', { hasBegun: true });
  const ending = runVerdicts.refusalOrFailure(begun, 'model-not-ready', 500);
  assert.equal(ending, { kind: 'cut', cause: 'upstream-lost', upstreamId: 'u1' });
});

// An idempotent request may have run at one upstream and is then rejected by the next. "Not run" would be
// false, however true it is of the last attempt.
test('"not run" is never said of what may have run', () => {
  const results: Result[] = [
    lost,
    rejected,
    { kind: 'not-sent', reason: '' },
    { kind: 'deadline', hasBegun: false },
  ];
  fc.assert(
    fc.property(
      fc.constantFrom(...results),
      fc.constantFrom<'idempotent' | 'at-most-once' | 'stream'>(
        'idempotent',
        'at-most-once',
        'stream',
      ),
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 1, max: 8 }),
      (result, kind, ranCount, sentCount) => {
        const verdict = runVerdicts.afterAttempt(facts(kind, { ranCount, sentCount }), result);
        if (verdict.kind === 'end') assert.is.not(verdict.ending.kind, 'not-run');
      },
    ),
    { seed: 11 },
  );
});

test('rejected sends are bounded, and end with when to come back', () => {
  const fresh = facts('at-most-once', { ranCount: 0, sentCount: 1 });
  assert.is(runVerdicts.afterAttempt(fresh, rejected).kind, 'retry');
  const spent = facts('at-most-once', { ranCount: 0, sentCount: 3 });
  const verdict = runVerdicts.afterAttempt(spent, rejected);
  assert.ok(verdict.kind === 'end' && verdict.ending.kind === 'not-run');
});

test.run();
