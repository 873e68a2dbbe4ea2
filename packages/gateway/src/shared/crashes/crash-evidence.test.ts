import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as crashEvidence from './crash-evidence.js';
import * as crashJudgement from './crash-judgement.js';
import type * as requestCensus from './request-census.js';
import type * as requestTraits from './request-traits.js';

const test = suite('crash evidence');

const SECOND_MS = 1_000;
/** One request in a hundred has a trait, and most answers go on. */
const RARE: requestCensus.Usage = { sentCount: 5, sentTotal: 500, soundTotal: 400 };
/** One in three has it, while all upstreams end. */
const COMMON_IN_OUTAGE: requestCensus.Usage = { sentCount: 20, sentTotal: 60, soundTotal: 0 };

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

type Known = readonly requestTraits.TraitSet[];

function findIn(
  evidence: crashEvidence.CrashEvidence,
  known: Known = [],
  usage: (trait: string) => requestCensus.Usage = () => RARE,
  nowMs = 20 * SECOND_MS,
): string | null {
  const judged = evidence.judge(known, ({ trait }) => usage(trait), nowMs);
  if (judged?.kind !== 'found') return null;
  const { traits, isClear } = judged.finding;
  return `${traits.join(' ')}${isClear ? '' : ' ?'}`;
}

// Guards against evidence that only repeats of one request add up.
test('a part that different requests share is found at the fourth end', () => {
  const ends = endsOf(['r1 a bad', 'r2 a x'], ['r3 a bad'], ['r4 a bad', 'r5 a y'], ['r6 a bad']);
  const evidence = evidenceOf(ends.slice(0, 3));
  evidence.noteSound('a', 2_500);
  assert.is(findIn(evidence), null);
  ends.slice(3).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence), 'bad');
});

// Guards against a request that crashes each upstream and comes again, and against refusals of one that was beside two or three ends.
test('a request that comes again is found at the fourth end, and one beside three ends is not', () => {
  const both = ['culprit', 'bystander'];
  const ends = endsOf(both, both, both, ['culprit']);
  const evidence = evidenceOf(ends.slice(0, 3));
  assert.is(findIn(evidence), null);
  ends.slice(3).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence), 'culprit');
  assert.is(findIn(evidence, [['culprit']]), null);
});

// Guards against refusals of all that share a first part while nothing is answered any more.
test('where a shared part was not sound since, only requests with the rare part as well are found', () => {
  const evidence = evidenceOf(
    endsOf(['r1 a bad', 'r2 a x'], ['r3 a bad', 'r4 a y'], ['r5 a bad', 'r6 a z'], ['r7 a bad']),
  );
  const usage = (trait: string) => (trait === 'a' ? COMMON_IN_OUTAGE : RARE);
  assert.is(findIn(evidence, [], usage), 'a bad');
  assert.is(findIn(evidence, [['a', 'bad']], usage), null);
});

// Guards against a set that holds a chance companion, and lets the culprit through wherever that is missing.
test('what was found is narrowed down by a request that has only a part of it', () => {
  const ends = endsOf(['r1 b bad'], ['r2 b bad'], ['r3 b bad'], ['r4 b bad'], ['r5 c bad']);
  const evidence = evidenceOf(ends.slice(0, 4));
  assert.is(findIn(evidence), 'b bad');
  ends.slice(4).forEach((end) => evidence.add(end));
  assert.is(findIn(evidence, [['b', 'bad']]), 'bad');
});

// Guards against repeats of one request hiding the part that others have too.
test('after the repeats of one request its part is found with the first other request', () => {
  const ends = endsOf(['r1 bad'], ['r1 bad'], ['r1 bad'], ['r1 bad'], ['r2 bad']);
  const evidence = evidenceOf(ends.slice(0, 4));
  assert.is(findIn(evidence), 'bad r1');
  ends.slice(4).forEach((end) => evidence.add(end));
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

// Guards against a decision in the first moments of a series of ends, before anything can have been answered.
test('ends that follow each other quickly are looked at again after a while', () => {
  const ends = endsOf(['r1 p'], ['r2 p'], ['r3 p'], ['r4 p']).map((end, index) => ({
    ...end,
    atMs: index * 200,
  }));
  const evidence = evidenceOf(ends);
  assert.is(
    findIn(evidence, [], () => RARE, crashJudgement.SETTLED_AFTER_MS - 1),
    null,
  );
  assert.is(
    findIn(evidence, [], () => RARE, crashJudgement.SETTLED_AFTER_MS),
    'p',
  );
});

// Guards against a part that everybody uses being refused since it is beside every end.
test('a part that chance puts beside ends, as often as it is used, is not refused', () => {
  const crowd = (end: number) => Array.from({ length: 6 }, (_, index) => `r${end}.${index} a`);
  const others = ['x b', 'y c', 'z b'];
  const ends = [1, 2, 3, 4].map((end) => [...crowd(end), ...others.map((one) => `q${end}${one}`)]);
  const evidence = evidenceOf(endsOf(...ends));
  const usage = () => COMMON_IN_OUTAGE;
  assert.is(findIn(evidence, [], usage), null);
  const more = evidenceOf(endsOf(...ends, ['r5 a']));
  assert.is(findIn(more, [], usage), null);
  // With so many sound answers, chance would have let some with it go on.
  assert.is(
    findIn(more, [], () => ({ ...COMMON_IN_OUTAGE, soundTotal: 60 })),
    'a',
  );
});

// Guards against a part that nearly all requests have, which goes on ending upstreams while nothing else is sent to compare with.
test('a part that most requests have is tried once it was beside very many ends', () => {
  const ends = Array.from({ length: 8 }, (_, index) => [`r${index} bad`]);
  const evidence = evidenceOf(endsOf(['r0 bad', 'q0 x'], ...ends.slice(1)));
  const usage = () => ({ sentCount: 40, sentTotal: 45, soundTotal: 2 });
  assert.is(findIn(evidence, [], usage), 'bad ?');
  assert.is(findIn(evidenceOf(endsOf(['r0 bad', 'q0 x'], ...ends.slice(1, 7))), [], usage), null);
});

/** All requests have it, and nothing is answered meanwhile. */
const ALL_IN_OUTAGE: requestCensus.Usage = { sentCount: 60, sentTotal: 60, soundTotal: 0 };

// Guards against all requests being refused since upstreams that ended by themselves took some of them along.
test('a part that all requests have, and that was answered until the first end, is not refused', () => {
  const ends = Array.from({ length: 12 }, (_, index) => [`r${index} a`, `q${index} a`]);
  for (const count of [4, 5, 8, 12]) {
    const evidence = evidenceOf(endsOf(...ends.slice(0, count)));
    evidence.noteSound('a', 500);
    assert.is(
      findIn(evidence, [], () => ALL_IN_OUTAGE),
      null,
    );
  }
});

// Guards against a part that turned bad while all requests have it, and ends each upstream that starts.
test('a part that all requests have is tried once upstreams go on ending as they start', () => {
  const evidence = crashEvidence.createCrashEvidence();
  endsOf(...Array.from({ length: 8 }, (_, index) => [`r${index} a`, `q${index} a`])).forEach(
    (end, index) => evidence.add({ ...end, startedMs: index < 4 ? 0 : end.atMs - 300 }),
  );
  evidence.noteSound('a', 500);
  assert.is(
    findIn(evidence, [], () => ALL_IN_OUTAGE),
    'a ?',
  );
});

// Guards against a bad part that hides behind what all requests have, which was beside ordinary ends too.
test('a part that was never sound goes before one that all have and that was beside more ends', () => {
  const ordinary = [['r1 a', 'r2 a x'], ['r3 a'], ['r4 a y'], ['r5 a']];
  const bad = [['q1 a bad'], ['q2 a bad', 'r6 a x'], ['q3 a bad'], ['q4 a bad'], ['q5 a bad']];
  const evidence = evidenceOf(endsOf(...ordinary, ...bad));
  evidence.noteSound('a', 500);
  const usage = (trait: string) =>
    trait === 'a' ? ALL_IN_OUTAGE : { ...ALL_IN_OUTAGE, sentCount: 25 };
  assert.is(findIn(evidence, [], usage), 'a bad ?');
});

// Guards against the part of one sound request that is sent again and again beside a bad one.
test('a part is not judged by the repeats of one request', () => {
  const ends = [1, 2, 3, 4].map(() => ['request:f1 s', 'request:f2 t']);
  const others = ends.map((end, index) => [...end, `request:b${index} bad`]);
  assert.is(findIn(evidenceOf(endsOf(...ends))), null);
  assert.is(findIn(evidenceOf(endsOf(...others))), 'bad');
});

// Guards against trust in what was sound before the software of the upstreams changed.
test('a part that was sound for long and ends upstreams from now on is found', () => {
  const evidence = evidenceOf(endsOf(['r1 p'], ['r2 p'], ['r3 p'], ['r4 p']));
  evidence.noteSound('p', 900);
  assert.is(findIn(evidence), 'p');
  evidence.noteSound('p', 1_500);
  assert.is(findIn(evidence), null);
});

// Guards against one culprit hiding another.
test('two parts that end upstreams are found one after the other', () => {
  const ends = ['p', 'q', 'p', 'q', 'p', 'q', 'p', 'q', 'p'].map((bad, index) => [
    `r${index} ${bad}`,
  ]);
  const evidence = evidenceOf(endsOf(...ends));
  assert.is(findIn(evidence), 'p');
  assert.is(findIn(evidence, [['p']]), 'q');
  assert.is(findIn(evidence, [['p'], ['q']]), null);
});

// Guards against a wrong decision that hides what really ends upstreams.
test('what explains more ends than what is refused is found although that explains some of them', () => {
  const both = (index: number) => [`r${index} wrong`, `s${index} bad`];
  const ends = endsOf(both(1), both(2), both(3), both(4), ['s5 bad'], ['s6 bad']);
  assert.is(findIn(evidenceOf(ends.slice(0, 4)), [['wrong']]), null);
  assert.is(findIn(evidenceOf(ends), [['wrong']]), 'bad');
});

// Guards against an end that was none.
test('an end that is withdrawn does not count', () => {
  const evidence = evidenceOf(endsOf(['r1 p'], ['r2 p'], ['r3 p'], ['r4 p']));
  evidence.withdraw('u2');
  assert.is(findIn(evidence), null);
});

// Guards against gateways that come to other results since reports reach them in another order, or twice.
test('reports give the same result in any order, in parts and twice', () => {
  const ends = endsOf(
    ['r1 a p', 'r2 a x'],
    ['r3 a p', 'r4 b'],
    ['r5 a p', 'r0 b'],
    ['r6 b y', 'r8 p'],
    ['r7 b y'],
  );
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
