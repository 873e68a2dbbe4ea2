import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as crashEvidence from './crash-evidence.js';

const test = suite('crash evidence');

const SECOND_MS = 1_000;

/** The ends of `u1`, `u2`, …, one a second, each with the given suspects: traits joined by spaces. */
function endsOf(...ends: readonly string[][]): crashEvidence.Crash[] {
  return ends.map((suspects, index) => ({
    upstreamId: `u${index + 1}`,
    atMs: (index + 1) * SECOND_MS,
    suspects: suspects.map((traits) => traits.split(' ')),
  }));
}

function evidenceOf(ends: readonly crashEvidence.Crash[]): crashEvidence.CrashEvidence {
  const evidence = crashEvidence.createCrashEvidence();
  ends.forEach((end) => evidence.add(end));
  return evidence;
}

function findIn(
  evidence: crashEvidence.CrashEvidence,
  known: readonly crashEvidence.TraitSet[] = [],
  nowMs = 10 * SECOND_MS,
): string | null {
  return evidence.find(known, nowMs)?.traits.join(' ') ?? null;
}

// Guards against evidence that only repeats of one request add up.
test('a part that different requests share is found at the third end', () => {
  const ends = endsOf(['r1 a bad', 'r2 a x'], ['r3 a bad'], ['r4 a bad', 'r5 a y']);
  const evidence = evidenceOf(ends.slice(0, 2));
  evidence.noteSound('a', 2_500);
  assert.is(findIn(evidence), null);
  ends.slice(2).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence), 'bad');
});

// Guards against a request that crashes each upstream and comes again, and against refusals of one that was beside two ends.
test('a request that comes again is found at the third end, and one beside two ends is not', () => {
  const ends = endsOf(['culprit', 'bystander'], ['culprit', 'bystander'], ['culprit']);
  const evidence = evidenceOf(ends.slice(0, 2));
  assert.is(findIn(evidence), null);
  ends.slice(2).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence), 'culprit');
  assert.is(findIn(evidence, [['culprit']]), null);
});

// Guards against refusals of all that share a first part while nothing is answered any more.
test('where a shared part was not sound since, only requests with the rare part as well are found', () => {
  const evidence = evidenceOf(
    endsOf(['r1 a bad', 'r2 a x'], ['r3 a bad', 'r4 a y'], ['r5 a bad', 'r6 a z']),
  );
  assert.is(findIn(evidence), 'a bad');
  assert.is(findIn(evidence, [['a', 'bad']]), null);
});

// Guards against a set that holds a chance companion, and lets the culprit through wherever that is missing.
test('what was found is narrowed down by a request that has only a part of it', () => {
  const ends = endsOf(['r1 b bad'], ['r2 b bad'], ['r3 b bad'], ['r4 c bad']);
  const evidence = evidenceOf(ends.slice(0, 3));
  assert.is(findIn(evidence), 'b bad');
  ends.slice(3).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence, [['b', 'bad']]), 'bad');
});

// Guards against repeats of one request hiding the part that others have too.
test('after the repeats of one request its part is found with the first other request', () => {
  const ends = endsOf(['r1 bad'], ['r1 bad'], ['r1 bad'], ['r2 bad']);
  const evidence = evidenceOf(ends.slice(0, 3));
  assert.is(findIn(evidence), 'bad r1');
  ends.slice(3).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence, [['bad', 'r1']]), 'bad');
});

// Guards against the loss of a failure domain being taken for as many witnesses.
test('upstreams that end at one moment count once', () => {
  const evidence = crashEvidence.createCrashEvidence();
  Array.from({ length: 20 }, (_, index) =>
    evidence.add({ upstreamId: `u${index}`, atMs: index, suspects: [[`r${index}`, 'a']] }),
  );
  assert.is(evidence.crashCount('a'), 1);
  assert.is(findIn(evidence), null);
});

// Guards against a part that everybody uses being found in the first moments of an outage.
test('a part that is in many suspects is found only after a while without a sound answer', () => {
  const crowd = (end: number) => Array.from({ length: 8 }, (_, index) => `r${end}.${index} a`);
  const evidence = evidenceOf(endsOf(crowd(1), crowd(2), crowd(3)));
  const firstMs = SECOND_MS;
  assert.is(findIn(evidence, [], firstMs + crashEvidence.COMMON_AFTER_MS - 1), null);
  assert.is(findIn(evidence, [], firstMs + crashEvidence.COMMON_AFTER_MS), 'a');
  evidence.noteSound('a', 1_500);
  assert.is(findIn(evidence), null);
});

// Guards against trust in what was sound before the software of the upstreams changed.
test('a part that was sound for long and ends upstreams from now on is found', () => {
  const evidence = evidenceOf(endsOf(['r1 p'], ['r2 p'], ['r3 p']));
  evidence.noteSound('p', 900);
  assert.is(findIn(evidence), 'p');
});

// Guards against one culprit hiding another.
test('two parts that end upstreams are found one after the other', () => {
  const evidence = evidenceOf(
    endsOf(['r1 p'], ['r2 q'], ['r3 p'], ['r4 q'], ['r5 p'], ['r6 q', 'r7 x']),
  );
  const first = findIn(evidence);
  const second = findIn(evidence, [[first ?? '']]);
  assert.equal([first, second].sort(), ['p', 'q']);
  assert.is(findIn(evidence, [['p'], ['q']]), null);
});

// Guards against an end that was none.
test('an end that is withdrawn does not count', () => {
  const evidence = evidenceOf(endsOf(['r1 p'], ['r2 p'], ['r3 p']));
  evidence.withdraw('u2');
  assert.is(findIn(evidence), null);
});

// Guards against gateways that come to other results since reports reach them in another order, or twice.
test('reports give the same result in any order, in parts and twice', () => {
  const ends = endsOf(['r1 a p', 'r2 a x'], ['r3 a p', 'r4 b'], ['r5 a p'], ['r6 b y'], ['r7 b y']);
  const parts = ends.flatMap((end) => end.suspects.map((one) => ({ ...end, suspects: [one] })));
  const expected = findIn(evidenceOf(ends));
  fc.assert(
    fc.property(
      fc.shuffledSubarray([...parts, ...parts], { minLength: parts.length * 2 }),
      (reports) => findIn(evidenceOf(reports)) === expected,
    ),
    { seed: 47, numRuns: 200 },
  );
});

// Guards against memory and time that callers fill with ids.
test('millions of different ids keep memory and time bounded', () => {
  const evidence = crashEvidence.createCrashEvidence();
  const suspects = (end: number) =>
    Array.from({ length: 100 }, (_, index) => [`r${end}.${index}`, `p${end}.${index}`, 'a']);
  const startedMs = performance.now();
  for (let end = 0; end < 1_000; end += 1) {
    evidence.add({ upstreamId: `u${end}`, atMs: end * 200, suspects: suspects(end) });
  }
  assert.ok(evidence.crashCount('a') <= 500);
  findIn(evidence);
  assert.ok(performance.now() - startedMs < 20_000);
});

test.run();
