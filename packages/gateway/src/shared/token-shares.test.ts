import { createRandom } from '@copperlever/runtime/randoms';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as scarcityFleet from '../testing/scarcity-fleet.js';
import type * as fleet from '../types/fleet.js';
import * as tokenShares from './token-shares.js';

const test = suite('token shares');

const TOKENS = 2_000;

function keyOf(organisation: string, weight = 1, rank = 1): tokenShares.ShareKey {
  return { group: 's m', organisation, weight, rank };
}

test('where no other organisation was refused, none yields, whatever its demand', () => {
  const shares = tokenShares.createTokenShares();
  for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
    assert.is(shares.yieldsTo(keyOf('large'), nowMs), null);
    shares.decided(keyOf('large'), TOKENS, false, nowMs);
    if (nowMs % 500 === 0) shares.decided(keyOf('small'), TOKENS, false, nowMs);
  }
  // An organisation does not yield to its own refusals either.
  shares.decided(keyOf('large'), TOKENS, true, 5_000);
  assert.is(shares.yieldsTo(keyOf('large'), 5_010), null);
});

/** For one second the small organisation is sent one request, and the large one twenty. */
function simulateLead(rank: number): tokenShares.TokenShares {
  const shares = tokenShares.createTokenShares();
  shares.decided(keyOf('small', 1, rank), TOKENS, false, 0);
  for (let nowMs = 0; nowMs < 1_000; nowMs += 50) {
    shares.decided(keyOf('large', 1, rank), TOKENS, false, nowMs);
  }
  return shares;
}

test('an organisation that is ahead yields to one that was refused recently, not the other way round', () => {
  const shares = simulateLead(1);
  shares.decided(keyOf('small'), TOKENS, true, 1_000);
  assert.is(shares.yieldsTo(keyOf('large'), 1_010)?.organisation, 'small');
  assert.is(shares.yieldsTo(keyOf('small'), 1_010), null);
  assert.is(shares.yieldsTo(keyOf('large'), 5_000), null);
});

test('a more urgent request does not yield to a less urgent one of another organisation', () => {
  const shares = simulateLead(0);
  shares.decided(keyOf('small', 1, 5), TOKENS, true, 1_000);
  assert.is(shares.yieldsTo(keyOf('large', 1, 0), 1_010), null);
  assert.not.equal(shares.yieldsTo(keyOf('large', 1, 5), 1_010), null);
});

/** An upstream that serves one request of about 2,000 tokens every 20 ms, with random demand beyond that. */
function contend(weights: Record<string, number>, requestsPerMs: number, seed: number) {
  const random = createRandom(seed);
  const shares = tokenShares.createTokenShares();
  const names = Object.keys(weights);
  const tokens = Object.fromEntries(names.map((name) => [name, 0]));
  const windows: Record<string, number>[] = [];
  let freeAtMs = 0;

  function request(name: string, nowMs: number): void {
    const asked = 500 + random.below(3_000);
    const key = keyOf(name, weights[name] ?? 1);
    const isRefused = freeAtMs > nowMs || shares.yieldsTo(key, nowMs) !== null;
    shares.decided(key, asked, isRefused, nowMs);
    if (isRefused) return;
    freeAtMs = nowMs + 20;
    tokens[name] = (tokens[name] ?? 0) + asked;
  }

  for (let nowMs = 0; nowMs < 60_000; nowMs += 1) {
    const requesting = names.filter(() => random.fraction() < requestsPerMs);
    requesting.forEach((name) => request(name, nowMs));
    if (nowMs % 100 === 0) windows.push({ ...tokens });
  }
  return { tokens, windows };
}

// The bound: while two organisations each ask for all they can get, their tokens over their weights differ by no more
// than four requests of mean size, plus one that is admitted at the bound.
test('contending organisations stay within the bound of each other over any period', () => {
  [1, 2, 3].forEach((seed) => {
    const weights = { a: 1, b: 1, c: 2 };
    const { windows } = contend(weights, 0.2, seed);
    const meanTokens = 2_000;
    const meanWeight = 4 / 3;
    const bound = 2 * (4 * meanTokens + 3_500 * meanWeight);
    const paid = (of: Record<string, number>, name: 'a' | 'b' | 'c') =>
      ((of[name] ?? 0) * meanWeight) / weights[name];
    let worst = 0;
    windows.slice(10).forEach((to, index) => {
      const from = windows[Math.max(0, index - 100)] as Record<string, number>;
      const [a, b, c] = (['a', 'b', 'c'] as const).map((name) => paid(to, name) - paid(from, name));
      const all = [a, b, c] as number[];
      worst = Math.max(worst, Math.max(...all) - Math.min(...all));
    });
    assert.ok(worst <= bound, `${worst} tokens of ${bound}`);
  });
});

test('capacity that others do not use goes to the organisations with demand', () => {
  const alone = contend({ a: 1 }, 0.2, 4);
  const both = contend({ a: 1, b: 1 }, 0.2, 4);
  const total = (both.tokens.a ?? 0) + (both.tokens.b ?? 0);
  assert.ok(
    total > 0.85 * (alone.tokens.a ?? 0),
    JSON.stringify({ alone: alone.tokens, both: both.tokens }),
  );
});

test('only organisations with recent requests are kept in memory', () => {
  const shares = tokenShares.createTokenShares();
  for (let index = 0; index < 100; index += 1) {
    shares.decided(keyOf(`o${index}`), TOKENS, false, 0);
  }
  shares.decided({ ...keyOf('o1'), group: 's other' }, TOKENS, false, 60_000);
  shares.decided(keyOf('late'), TOKENS, true, 60_000);
  // Nothing is left to yield to of organisations whose last request was a minute ago.
  assert.is(shares.yieldsTo(keyOf('o1'), 60_000), null);
});

test('a weight is read from the settings, else from the quota, else from the quotas of the others', () => {
  const organisation = (name: string, quota: fleet.Quota | null): fleet.Organisation => ({
    name,
    apiKeys: [],
    priority: null,
    quota,
  });
  const quota = (unit: fleet.Quota['unit'], perSecond: number): fleet.Quota => ({
    unit,
    perSecond,
    burst: 1,
    plainTokens: 100,
  });
  const organisations = [
    organisation('a', quota('tokens', 5_000)),
    organisation('b', quota('requests', 10)),
    organisation('c', null),
  ];
  assert.is(tokenShares.weightOf('a', organisations, {}), 5_000);
  assert.is(tokenShares.weightOf('a', organisations, { a: 7 }), 7);
  assert.is(tokenShares.weightOf('b', organisations, {}), 1_000);
  assert.is(tokenShares.weightOf('c', organisations, {}), 3_000);
  assert.is(tokenShares.weightOf('c', [], {}), 1);
});

const ORGANISATIONS = 8;
const SURGE = { fromMs: 20_000, toMs: 50_000, factor: 4 };

/**
 * One of eight organisations sends four times its usual demand. Returns shares of refused requests from one second
 * into the surge.
 */
function simulateSurge(sharesFairly: boolean, factor: number) {
  const refused = { surging: 0, others: 0 };
  const asked = { surging: 0, others: 0 };
  [1, 2, 3, 4].forEach((seed) => {
    const { decisions } = scarcityFleet.playScarcity(
      {
        gatewayCount: 4,
        upstreamCount: 4,
        slots: 48,
        classes: scarcityFleet.threeClasses(1_700, 300),
        organisations: Array.from({ length: ORGANISATIONS }, (_, index) => ({
          name: `o${index}`,
          share: 1 / ORGANISATIONS,
          demandAt: (atMs: number) =>
            index === 0 && atMs >= SURGE.fromMs && atMs < SURGE.toMs ? factor : 1,
        })),
        demandAt: scarcityFleet.wavesAndBursts,
        lengthMs: 60_000,
        holdsBatch: true,
        spreadsReturns: true,
        ordersClasses: true,
        sharesFairly,
      },
      seed,
    );
    decisions.forEach(({ atMs, organisation, isRefused }) => {
      if (atMs < SURGE.fromMs + 1_000 || atMs > SURGE.toMs) return;
      const of = organisation === 'o0' ? 'surging' : 'others';
      asked[of] += 1;
      if (isRefused) refused[of] += 1;
    });
  });
  const admitted = asked.surging + asked.others - refused.surging - refused.others;
  return {
    surging: refused.surging / asked.surging,
    others: refused.others / asked.others,
    admitted,
  };
}

// An organisation below its quota sends four times its usual demand, and without fair shares the others are refused
// as often as it is.
test('an organisation that surges below its quota is refused more, and the others less', () => {
  const before = simulateSurge(false, SURGE.factor);
  const after = simulateSurge(true, SURGE.factor);
  const details = JSON.stringify({ before, after, usual: simulateSurge(true, 1) });
  assert.ok(after.others < 0.85 * before.others, details);
  assert.ok(after.surging > 1.5 * after.others, details);
  assert.ok(after.admitted > 0.97 * before.admitted, details);
});

test.run();
