import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as problems from './problems.js';

const test = suite('problems');

test('a refusal becomes problem details with its outcome and one type per cause', () => {
  const refusal = { kind: 'not-run', cause: 'queue-full', retryAtMs: 10, detail: 'full' } as const;
  assert.equal(problems.toProblem(refusal, 'r-1'), {
    type: 'urn:copperlever:problem:queue-full',
    title: 'The request did not run.',
    status: 429,
    detail: 'full',
    outcome: 'not-run',
    requestId: 'r-1',
  });
});

test('Retry-After is rounded up to whole seconds and is at least one', () => {
  const at = (retryAtMs: number | null) =>
    problems.retryAfterSeconds(
      { kind: 'not-run', cause: 'queue-full', retryAtMs, detail: '' },
      1_000,
    );
  assert.equal([at(null), at(500), at(1_001), at(3_500)], [null, 1, 1, 3]);
});

test.run();
