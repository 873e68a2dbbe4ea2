/** Random plays of upstreams that end: some by bad parts of prompts, others with their domain, by darkness or by chance. */
import { randoms } from '@copperlever/runtime';

import * as crashFleets from './crash-fleet.js';

const SECOND_MS = 1_000;
const PLAY_MS = 40 * SECOND_MS;
const DISTURBED_UNTIL_MS = 34 * SECOND_MS;
/** More by hand: `CRASH_PLAYS=200`. */
const PLAYS = Number(process.env.CRASH_PLAYS ?? 24);
type Fleet = crashFleets.CrashFleet;

function someOf<Item>(fleet: Fleet, items: readonly Item[], share: number): Item[] {
  return items.filter(() => fleet.random.fraction() < share);
}

/** Each strikes at one moment. */
const DISTURBANCES: readonly ((fleet: Fleet) => void)[] = [
  (fleet) => someOf(fleet, fleet.upstreams, 0.15).forEach(fleet.crash),
  (fleet) => fleet.upstreams.filter(({ domain }) => domain === 0).forEach(fleet.crash),
  (fleet) => fleet.upstreams.filter(({ domain }) => domain === 1).forEach(fleet.darken),
  (fleet) => someOf(fleet, fleet.upstreams, 0.3).forEach(fleet.darken),
  (fleet) => someOf(fleet, fleet.upstreams, 0.4).forEach(fleet.leave),
  (fleet) => fleet.upstreams.forEach((upstream) => fleet.breakAnswers(upstream, 0.3)),
  (fleet) => someOf(fleet, [...fleet.nodes.keys()], 0.3).forEach((id) => void fleet.restart(id)),
  (fleet) => [...fleet.nodes.keys()].forEach((id) => void fleet.restart(id)),
  (fleet) => {
    const cut = someOf(fleet, [...fleet.nodes.keys()], 0.3);
    cut.forEach((id) => fleet.isolated.add(id));
    fleet.clock.schedule(fleet.clock.nowMs() + 4 * SECOND_MS, () => fleet.isolated.clear());
  },
  (fleet) => {
    fleet.store.setFault(fleet.random.fraction() < 0.5 ? 'down' : 'lose-answers');
    fleet.clock.schedule(fleet.clock.nowMs() + 5 * SECOND_MS, () => fleet.store.setFault('none'));
  },
];

/** Strikes come in series and overlap. */
function disturb(fleet: Fleet, gapMs: number): void {
  if (fleet.clock.nowMs() > DISTURBED_UNTIL_MS) return;
  const disturbance = randoms.pick(fleet.random, DISTURBANCES);
  const strikes = 1 + fleet.random.below(4);
  for (let strike = 0; strike < strikes; strike += 1) {
    const atMs = fleet.clock.nowMs() + strike * 1_000 * fleet.random.fraction();
    fleet.clock.schedule(atMs, () => disturbance?.(fleet));
  }
  const pauseMs = gapMs * (0.5 + fleet.random.fraction());
  fleet.clock.schedule(fleet.clock.nowMs() + pauseMs, () => disturb(fleet, gapMs));
}

export type Play = {
  seed: number;
  badParts: readonly string[];
  gapMs: number | null;
  log?: crashFleets.CrashFleetOptions['log'];
};

export async function play({ seed, badParts, gapMs, log }: Play): Promise<Fleet> {
  const random = randoms.createRandom(seed);
  const fleet = crashFleets.createCrashFleet({
    gatewayCount: 2 + random.below(5),
    upstreamCount: 4 + random.below(9),
    seed,
    log,
  });
  await fleet.clock.advance(2 * SECOND_MS);
  fleet.flow(30 + random.below(40), PLAY_MS);
  if (gapMs !== null) disturb(fleet, gapMs);
  badParts.forEach((badPart) => {
    const atMs = (4 + 10 * random.fraction()) * SECOND_MS;
    const perSecond = 0.5 + 9 * random.fraction();
    fleet.clock.schedule(atMs, () => fleet.flow(perSecond, PLAY_MS, badPart));
  });
  await fleet.clock.advance(PLAY_MS);
  fleet.stop();
  return fleet;
}

export function describe(fleet: Fleet, seed: number): string {
  const { crashes, bad, badRefused, sound, soundRefused } = fleet.counts;
  return `seed ${seed}: ${crashes} ended, bad ${badRefused}/${bad} and sound ${soundRefused}/${sound} refused, ${fleet.lateCount()} late`;
}

/** Seeds of as many plays as are asked for, without those that stand in a test of their own. */
export function seedsFrom(first: number, except: readonly number[] = []): number[] {
  const seeds = Array.from({ length: PLAYS }, (_, index) => first + index);
  return seeds.filter((seed) => !except.includes(seed));
}
