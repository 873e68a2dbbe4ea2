import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as silences from './silences.js';
import * as upstreamBeliefs from './upstream-beliefs.js';

const test = suite('silences');

const PERIOD_MS = 100;
const PREDICTED_MS = 80;
/** Callers leave after it, and the platform lists a dark upstream for longer. */
const PATIENCE_MS = 2_000;
const LISTED_MS = 3_600;

/** Sends a request every tenth of a second to an upstream that has gone dark, until it is avoided or not listed. */
function sentToDark(): { sentCount: number; toldMs: number | null } {
  const beliefs = upstreamBeliefs.createUpstreamBeliefs();
  const pending: silences.PendingAttempt[] = [];
  let sentCount = 0;
  let toldMs: number | null = null;
  beliefs.heard('u1', -1);
  for (let nowMs = 0; nowMs < LISTED_MS; nowMs += PERIOD_MS) {
    pending
      .filter(
        (attempt) => silences.silentAtMs(attempt) <= nowMs && attempt.sentMs > nowMs - PATIENCE_MS,
      )
      .filter((attempt) =>
        silences.isSilent({ ...attempt, lastHeardMs: beliefs.lastHeardMs('u1') }),
      )
      .forEach(() => beliefs.ended('u1', { kind: 'silent' }, nowMs));
    if (toldMs === null && beliefs.avoidedIds(nowMs).length > 0) toldMs = nowMs;
    const isAvoided = upstreamBeliefs.isAvoided(beliefs.belief('u1', nowMs));
    if (isAvoided) continue;
    sentCount += 1;
    pending.push({ sentMs: nowMs, predictedMs: PREDICTED_MS, lastHeardMs: null });
  }
  return { sentCount, toldMs };
}

// An upstream loses power. Callers of streams leave it after two seconds without a word, which says nothing of it, and
// the platform lists it for over three: without a look at what is overdue it gets requests all the while.
test('an upstream that has gone dark gets no more than what comes before its first answer is overdue', () => {
  const { sentCount, toldMs } = sentToDark();
  assert.ok(sentCount <= 8, `${sentCount}`);
  assert.ok(toldMs !== null && toldMs < PATIENCE_MS, `${toldMs}`);
});

// A loaded engine reads for long, and events of other answers come from it meanwhile.
test('an upstream that anything comes from is not silent, and trusted at once when something does', () => {
  const sent = { sentMs: 1_000, predictedMs: 300, lastHeardMs: null };
  assert.is(silences.silentAtMs(sent), 1_900);
  assert.ok(silences.isSilent({ ...sent, lastHeardMs: 900 }));
  assert.not(silences.isSilent({ ...sent, lastHeardMs: 1_500 }));
  const beliefs = upstreamBeliefs.createUpstreamBeliefs();
  assert.is(beliefs.ended('u1', { kind: 'silent' }, 2_000)?.kind, 'avoided');
  assert.equal(beliefs.avoidedIds(2_100), []);
  assert.equal(beliefs.avoidedIds(2_800), ['u1']);
  assert.is(beliefs.heard('u1', 2_900)?.kind, 'trusted');
  assert.is(beliefs.belief('u1', 2_900).avoidUntilMs, 0);
  assert.equal(beliefs.avoidedIds(2_900), []);
  assert.is(beliefs.heard('u1', 3_000), null);
});

// It has broken connections as well: a piece of one answer does not make up for these.
test('what was broken before stays so when something is heard', () => {
  const beliefs = upstreamBeliefs.createUpstreamBeliefs();
  beliefs.ended('u1', { kind: 'broken' }, 1_000);
  beliefs.ended('u1', { kind: 'broken' }, 1_100);
  assert.is(beliefs.heard('u1', 1_200), null);
  assert.ok(upstreamBeliefs.isAvoided(beliefs.belief('u1', 1_200)));
});

test.run();
