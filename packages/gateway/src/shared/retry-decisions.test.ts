import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as calls from '../types/calls.js';
import * as retryDecisions from './retry-decisions.js';

const test = suite('retry decisions');

type Result = Parameters<typeof retryDecisions.decideAfterAttempt>[1];

const lost: Result = { kind: 'lost', reason: 'connection', hasBegun: false, lastEventId: null };
const rejected: Result = { kind: 'rejected', isMisdirected: false, retryAfterMs: null };

function facts(
  kind: 'idempotent' | 'at-most-once' | 'stream',
  overrides: Partial<retryDecisions.RequestFacts> = {},
): retryDecisions.RequestFacts {
  return {
    route: { kind, isResumable: false, maxAttempts: 2 },
    possiblyRunCount: 1,
    sentCount: 1,
    hasBegun: false,
    upstreamId: 'u1',
    ...overrides,
  };
}

// The connection broke after the request was sent, so the upstream may have run it. Sent again, an entry would be
// stored twice.
test('a request that may have run is repeated only where that is allowed', () => {
  assert.is(retryDecisions.decideAfterAttempt(facts('idempotent'), lost).kind, 'retry');
  const ending: calls.Ending = { kind: 'failed', cause: 'upstream-lost', upstreamId: 'u1' };
  assert.equal(retryDecisions.decideAfterAttempt(facts('at-most-once'), lost), {
    kind: 'end',
    ending,
  });
  assert.equal(retryDecisions.decideAfterAttempt(facts('stream'), lost), { kind: 'end', ending });
});

test('a stream resumes elsewhere only after an event that the caller has received completely', () => {
  const resumable = { route: { kind: 'stream', isResumable: true, maxAttempts: 2 } } as const;
  const begunStream = { ...lost, hasBegun: true } as const;
  const decision = retryDecisions.decideAfterAttempt(facts('stream', resumable), {
    ...begunStream,
    lastEventId: '7',
  });
  assert.equal(decision, { kind: 'retry', isRepeat: true, resumeAfterId: '7' });
  const cut = retryDecisions.decideAfterAttempt(facts('stream', resumable), begunStream);
  assert.is(cut.kind === 'end' && cut.ending.kind, 'cut');
});

// A stream broke off midway, and no other upstream has its model. The caller has received some events already: a
// failure after them would be a second answer on the same connection.
test('after a part of an answer the only possible end is `cut`', () => {
  const begunStream = facts('stream', { hasBegun: true });
  const ending = retryDecisions.refusalOrFailure(begunStream, 'model-not-ready', 500);
  assert.equal(ending, { kind: 'cut', cause: 'upstream-lost', upstreamId: 'u1' });
});

// An idempotent request may have run at one upstream and is then rejected by the next. "Not run" would be true of the
// last attempt but false of the request.
test('a request that may have run never ends as "not run"', () => {
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
      (result, kind, possiblyRunCount, sentCount) => {
        const decision = retryDecisions.decideAfterAttempt(
          facts(kind, { possiblyRunCount, sentCount }),
          result,
        );
        if (decision.kind === 'end') assert.is.not(decision.ending.kind, 'not-run');
      },
    ),
    { seed: 11 },
  );
});

const failure: Result = {
  kind: 'held-failure',
  isSigned: false,
  answer: { status: 500, headers: [], body: Buffer.alloc(0), statedBytes: 0 },
};

// Guards against a second run of an entry after any way in which an attempt can end, whoever has ended it.
test('what may have run and may not run again is never sent again', () => {
  const results: Result[] = [lost, failure, rejected, { kind: 'not-sent', reason: '' }];
  fc.assert(
    fc.property(
      fc.constantFrom(...results),
      fc.boolean(),
      fc.constantFrom<'idempotent' | 'at-most-once' | 'stream'>(
        'idempotent',
        'at-most-once',
        'stream',
      ),
      fc.boolean(),
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 0, max: 4 }),
      (drawn, isSigned, kind, isResumable, maxAttempts, possiblyRunCount, rejectedCount) => {
        const result = drawn.kind === 'held-failure' ? { ...drawn, isSigned } : drawn;
        const route = { kind, isResumable, maxAttempts };
        const sentCount = possiblyRunCount + rejectedCount;
        const decision = retryDecisions.decideAfterAttempt(
          facts(kind, { route, possiblyRunCount, sentCount }),
          result,
        );
        const mayRunAgain = kind === 'idempotent' || (kind === 'stream' && isResumable);
        const isAllowed = mayRunAgain && possiblyRunCount < maxAttempts;
        if (decision.kind === 'retry') assert.ok(isAllowed);
      },
    ),
    { seed: 68, numRuns: 2_000 },
  );
});

test('rejected sends are bounded, and the final refusal gives a time to come back', () => {
  const firstRejection = facts('at-most-once', { possiblyRunCount: 0, sentCount: 1 });
  assert.is(retryDecisions.decideAfterAttempt(firstRejection, rejected).kind, 'retry');
  const thirdRejection = facts('at-most-once', { possiblyRunCount: 0, sentCount: 3 });
  const decision = retryDecisions.decideAfterAttempt(thirdRejection, rejected);
  assert.ok(decision.kind === 'end' && decision.ending.kind === 'not-run');
});

test.run();
