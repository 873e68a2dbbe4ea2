/**
 * Plays of upstreams that end by themselves one after the other, all requests with the same first part, with a bad part beside them or
 * without one; and what callers of sound requests see of it.
 */
import { randoms } from '@copperlever/runtime';

import * as crashFleets from './crash-fleet.js';

const SECOND_MS = 1_000;
/** Sound requests come from then on; before the series begins all that they share has been answered. */
const CALM_FROM_MS = 2 * SECOND_MS;
const CALM_UNTIL_MS = 7 * SECOND_MS;
const SERIES_FROM_MS = 12 * SECOND_MS;
/** A bad part first comes up to half as long before or after the series begins. */
const BAD_SPREAD_MS = 8 * SECOND_MS;
const AFTER_MS = 24 * SECOND_MS;
const TICK_MS = 50;
const FIRST_PART = 'part:first';
const COMMON_PART = 'part:common';
/** The first part of the requests for the model whose upstreams end. */
const MODEL_PART = 'part:m0';
const BAD_PART = 'part:bad1';

export type SeriesOptions = {
  seed: number;
  /** Of the requests that come while the bad part does; null without a bad part. */
  badShare: number | null;
  upstreamCount?: number;
  /** Upstreams have one model each, in turn; those of the first one end. */
  modelCount?: number;
  log?: crashFleets.CrashFleetOptions['log'];
};

type Sound = { atMs: number; outcome: crashFleets.Outcome };

export type SeriesPlay = {
  shown: string;
  /** How long sound requests were refused for something that was sound before, beyond the return of all upstreams. */
  refusedForMs: number;
  /** Sound requests that began, of those that came: before the series, and from twice the contact time after it on. */
  before: number;
  after: number;
  /** Bad requests that were sent later than the bound. */
  late: number;
};

function shareServed(sound: readonly Sound[]): number {
  const served = sound.filter(({ outcome }) => outcome === 'served');
  return sound.length === 0 ? 1 : served.length / sound.length;
}

type Settings = ReturnType<typeof settingsOf>;

function settingsOf(random: randoms.Random, options: SeriesOptions) {
  const pick = <Item>(items: readonly Item[]): Item => randoms.pick(random, items) as Item;
  const between = (from: number, to: number) => from + random.fraction() * (to - from);
  return {
    gatewayCount: pick([1, 2, 4]),
    upstreamCount: options.upstreamCount ?? pick([1, 2, 4, 12, 40]),
    perSecond: between(15, 50),
    beginMs: pick([
      [30, 300],
      [400, 900],
      [1_200, 1_600],
    ] as const),
    backMs: pick([
      [200, 600],
      [1_500, 3_000],
      [3_000, 10_000],
    ] as const),
    gapMs: between(100, 2_000),
    strikes: 1 + random.below(12),
    /** Of the upstreams that one strike ends; 0: one of them, each in turn. */
    strikeShare: pick([0, 0, 0.25, 1]),
    commonShare: pick([0.01, 0.1, 0.5, 1]),
  };
}

function strikeAll(fleet: crashFleets.CrashFleet, settings: Settings, modelCount: number): void {
  const { strikes, gapMs, strikeShare } = settings;
  const pool = fleet.upstreams.filter(({ position }) => position % modelCount === 0);
  Array.from({ length: strikes }, (_, strike) =>
    fleet.clock.schedule(SERIES_FROM_MS + strike * gapMs, () => {
      const inTurn = pool[strike % pool.length];
      const struck = pool.filter((one) =>
        strikeShare === 0 ? one === inTurn : fleet.random.fraction() < strikeShare,
      );
      struck.forEach(fleet.crash);
    }),
  );
}

/** Asks for `perSecond` sound requests and records what became of each. */
function askSound(fleet: crashFleets.CrashFleet, perSecond: number, untilMs: number) {
  const sound: Sound[] = [];
  const refused: { atMs: number; traits: readonly string[] }[] = [];
  const next = () => {
    const atMs = fleet.clock.nowMs();
    if (atMs >= untilMs) return;
    const request = fleet.createRequest(null);
    void fleet.arrive(request).then(({ outcome }) => {
      sound.push({ atMs, outcome });
      const entries = [...fleet.nodes.values()].flatMap(
        ({ quarantine }) => quarantine.match(request.traits, fleet.clock.nowMs()) ?? [],
      );
      const entry = entries.find(({ state }) => state === 'refused');
      if (outcome === 'refused' && entry !== undefined) refused.push({ atMs, ...entry });
    });
    const pauseMs = (-Math.log(1 - fleet.random.fraction()) * SECOND_MS) / perSecond;
    fleet.clock.schedule(atMs + pauseMs, next);
  };
  next();
  return { sound, refused };
}

/** When the pool was last not whole. */
function watchAway(fleet: crashFleets.CrashFleet, untilMs: number) {
  const away = { latestMs: 0 };
  const look = () => {
    const nowMs = fleet.clock.nowMs();
    if (fleet.upstreams.some(({ state }) => state !== 'up')) away.latestMs = nowMs;
    if (nowMs < untilMs) fleet.clock.schedule(nowMs + TICK_MS, look);
  };
  look();
  return away;
}

export async function play(options: SeriesOptions): Promise<SeriesPlay> {
  const random = randoms.createRandom(options.seed);
  const settings = settingsOf(random, options);
  const { gatewayCount, upstreamCount, beginMs, backMs, perSecond, gapMs, strikes } = settings;
  const fleet = crashFleets.createCrashFleet({
    gatewayCount,
    upstreamCount,
    seed: options.seed,
    beginMs,
    backMs,
    answerMs: [600, 2_000],
    firstParts: [FIRST_PART],
    commonPart: { part: COMMON_PART, share: settings.commonShare },
    modelCount: options.modelCount ?? 1,
    log: options.log,
  });
  const seriesEndMs = SERIES_FROM_MS + (strikes - 1) * gapMs;
  const untilMs = seriesEndMs + backMs[1] + AFTER_MS;
  await fleet.clock.advance(CALM_FROM_MS);
  const { sound, refused } = askSound(fleet, perSecond, untilMs);
  strikeAll(fleet, settings, options.modelCount ?? 1);
  const away = watchAway(fleet, untilMs);
  const { badShare } = options;
  if (badShare !== null) {
    const badPerSecond = (perSecond * badShare) / (1 - badShare);
    const badFromMs = SERIES_FROM_MS + (random.fraction() - 0.5) * BAD_SPREAD_MS;
    fleet.clock.schedule(badFromMs, () => fleet.flow(badPerSecond, untilMs, BAD_PART));
  }
  await fleet.clock.advance(untilMs + backMs[1] + beginMs[1] + 5 * SECOND_MS);
  fleet.stop();

  const isKnownSound = (trait: string) =>
    trait === FIRST_PART || trait === COMMON_PART || trait === MODEL_PART;
  const wrong = refused.filter(({ traits }) => traits.every(isKnownSound));
  const refusedForMs = Math.max(0, ...wrong.map(({ atMs }) => atMs - away.latestMs));
  const badEndsMs = fleet.crashesMs.get(BAD_PART) ?? [];
  const lastEndMs = Math.max(away.latestMs, seriesEndMs, badEndsMs.slice(0, 5).at(-1) ?? 0);
  const judgedFromMs = lastEndMs + 2 * crashFleets.CONTACT_MS;
  const before = shareServed(sound.filter(({ atMs }) => atMs < CALM_UNTIL_MS));
  const after = shareServed(sound.filter(({ atMs }) => atMs >= judgedFromMs));
  const late = fleet.lateCount();
  const setting = JSON.stringify(settings);
  const figures = `${fleet.counts.crashes} ended, refused ${wrong.length} sound, for ${Math.round(refusedForMs)} ms too long`;
  const shown = `seed ${options.seed}: ${figures}, begun ${before.toFixed(2)} before and ${after.toFixed(2)} after, ${late} late, ${setting}`;
  return { shown, refusedForMs, before, after, late };
}
