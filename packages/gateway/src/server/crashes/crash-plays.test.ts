import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as crashPlays from '../../testing/crash-plays.js';

const test = suite('upstreams that end, in random plays');

/** Plays in which most upstreams are down at once and bad requests are many. */
const WRONG_SEEDS = [2_004, 2_011, 2_032, 2_051, 2_061, 2_074, 2_083, 2_090, 2_091, 2_095, 2_097];

async function assertNoneWrong(
  seeds: readonly number[],
  { badParts, gapMs }: Pick<crashPlays.Play, 'badParts' | 'gapMs'>,
): Promise<void> {
  const wrong: string[] = [];
  let heldCount = 0;
  for (const seed of seeds) {
    const fleet = await crashPlays.play({ seed, badParts, gapMs });
    const { refused, held } = fleet.wrongSets(badParts);
    heldCount += Number(held.length > 0);
    if (refused.length > 0)
      wrong.push(`${crashPlays.describe(fleet, seed)}: ${refused.join('; ')}`);
  }
  const shown = `${wrong.length} of ${seeds.length} plays with bad parts ${badParts.length}`;
  process.stdout.write(`${shown} refused something sound, ${heldCount} at least for a moment\n`);
  assert.equal(wrong, []);
}

// Guards against sound parts that are refused since they were beside one end after the other.
test('without a bad part nothing is refused, however upstreams end', async () => {
  await assertNoneWrong(crashPlays.seedsFrom(1_001), { badParts: [], gapMs: 1_000 });
});

// Guards against sound parts that are refused since they come along with a bad one.
test('beside a bad part nothing sound is refused, in random plays', async () => {
  await assertNoneWrong(crashPlays.seedsFrom(2_001, WRONG_SEEDS), {
    badParts: ['part:bad1'],
    gapMs: 3_000,
  });
});

// Guards against the same where hardly an upstream is left to tell cause from chance.
test('beside a bad part nothing sound is refused where nearly all upstreams end', async () => {
  await assertNoneWrong(WRONG_SEEDS, { badParts: ['part:bad1'], gapMs: 3_000 });
});

test.run();
