import { clocks, logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import * as stopTimes from '@copperlever/runtime/stop-times';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as answerTimes from '../../shared/answer-times.js';
import * as stops from '../health/stop.js';
import * as stopAdmissions from './stop-admission.js';
import * as unsentRequests from './unsent-requests.js';

const test = suite('late requests in a stop');

const PLAYS = Number(process.env.LATE_REQUEST_PLAYS ?? 150);
const STOP_AT_MS = 10_000;
const STOP_TIMEOUT_MS = 8_000;
const KNOWN_COUNT = 40;
/** How long answers of each kind take at most; nothing is known of the last one. */
const KINDS = { quick: 300, slow: 4_000, unknown: 2_000 };

/** A request whose body comes late, which waits, and whose first attempts may be turned away. */
type Late = {
  kind: keyof typeof KINDS;
  sentMs: number;
  bodyMs: number;
  waitMs: number;
  rejectedCount: number;
  answerShare: number;
  timeoutMs: number;
};

type Outcome = { ending: 'refused' | 'answered' | 'timeout' | 'may-have-run'; passedOnMs: number };

const late: fc.Arbitrary<Late> = fc.record({
  kind: fc.constantFrom('quick' as const, 'slow' as const, 'unknown' as const),
  sentMs: fc.integer({ min: STOP_AT_MS - 3_000, max: STOP_AT_MS + 7_000 }),
  bodyMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 6_000 })),
  waitMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 6_000 })),
  rejectedCount: fc.integer({ min: 0, max: 2 }),
  answerShare: fc.double({ min: 0.05, max: 1, noNaN: true }),
  timeoutMs: fc.integer({ min: 200, max: 20_000 }),
});

/** Plays a stop; `looks`: whether the gateway looks again after the head. */
async function play(requests: readonly Late[], looks: boolean) {
  const clock = fakeClocks.createFakeClock();
  const times = stopTimes.stopTimes(STOP_AT_MS, STOP_TIMEOUT_MS);
  const unsent = unsentRequests.createUnsentRequests();
  const known = answerTimes.createAnswerTimes();
  (['quick', 'slow'] as const).forEach((route) => {
    const record = () => known.record({ route, model: null }, KINDS[route]);
    Array.from({ length: KNOWN_COUNT }).forEach(record);
  });
  const admission = stopAdmissions.createStopAdmission({
    clock,
    log: logs.createSilentLogger(),
    stopTimes: () => (clock.nowMs() >= STOP_AT_MS ? times : null),
    answerTimes: known,
  });
  const sleep = (forMs: number) => clocks.sleepUntil(clock, clock.nowMs() + forMs);

  async function serve(one: Late): Promise<Outcome> {
    await clocks.sleepUntil(clock, one.sentMs);
    const deadlineMs = one.sentMs + one.timeoutMs;
    const request = { route: { name: one.kind }, facts: { model: null }, deadlineMs };
    const mustNot = () => !admission.mayPassOn(request as unknown as stopAdmissions.Request);
    const isTooLate = () => looks && mustNot();
    const refused: Outcome = { ending: 'refused', passedOnMs: -1 };
    if (mustNot()) return refused;
    const body = await unsentRequests.orStopping(unsent, sleep(one.bodyMs));
    if (body === 'stopping' || isTooLate()) return refused;
    const turn = await unsentRequests.orStopping(unsent, sleep(one.waitMs), isTooLate);
    if (turn === 'stopping') return refused;
    for (let count = 0; count < one.rejectedCount; count += 1) {
      if (isTooLate()) return refused;
      await sleep(50);
    }
    if (isTooLate()) return refused;
    if (clock.nowMs() >= deadlineMs) return refused;
    const passedOnMs = clock.nowMs();
    const ending = await new Promise<Outcome['ending']>((resolve) => {
      unsent.add(() => {}, { end: () => resolve('may-have-run') });
      void sleep(one.answerShare * KINDS[one.kind]).then(() => resolve('answered'));
      clock.schedule(deadlineMs, () => resolve('timeout'));
    });
    return { ending, passedOnMs };
  }

  const served = requests.map(serve);
  await clock.advance(STOP_AT_MS);
  stops.refuseWaiting({ clock, unsent, times });
  clock.schedule(times.endMs, unsent.endAll);
  await clock.advance(STOP_TIMEOUT_MS - 1);
  const silent = sleep(1).then(() => null);
  const outcomes = served.map((one) => Promise.race([one, silent]));
  await clock.advance(1);
  return { outcomes: await Promise.all(outcomes), times };
}

/** Requests that were passed on behind the notice of the balancer, and were not over at the end. */
async function cutLateCount(requests: readonly Late[], looks: boolean): Promise<number> {
  const { outcomes, times } = await play(requests, looks);
  if (looks) assert.ok(outcomes.every((outcome) => outcome !== null));
  return outcomes.filter(
    (one) => one?.ending === 'may-have-run' && one.passedOnMs >= times.takesAllUntilMs,
  ).length;
}

// Guards against late bodies, waits and other attempts that are passed on and cut off, and against requests without an answer.
test('what is passed on late in a stop is over before its end, and every request has an answer', async () => {
  let withoutLooks = 0;
  const checked = fc.asyncProperty(
    fc.array(late, { minLength: 20, maxLength: 40 }),
    async (requests) => {
      assert.is(await cutLateCount(requests, true), 0);
      withoutLooks += await cutLateCount(requests, false);
    },
  );
  await fc.assert(checked, { numRuns: PLAYS, seed: 78 });
  assert.ok(withoutLooks > PLAYS / 10, `${withoutLooks}`);
});

// Guards against refusals of what could have been served.
test('a quick request with a long deadline is served until shortly before the end', async () => {
  const quick = { kind: 'quick', bodyMs: 0, waitMs: 0, rejectedCount: 0 } as const;
  const sentMs = STOP_AT_MS + 6_000;
  const { outcomes } = await play([{ ...quick, sentMs, answerShare: 1, timeoutMs: 20_000 }], true);
  assert.is(outcomes[0]?.ending, 'answered');
});

test.run();
