/**
 * Decides which trait of requests explains ends of upstreams, if one does: by proof, or without one where so many ended that waiting
 * would do more harm.
 *
 * Proof is what chance does not explain: that a trait was beside so many ends, as often as it is used, and that no answer with it has gone
 * on since the first of them, though answers without it have. Where all requests have a trait neither says anything.
 */
import type * as requestCensus from './request-census.js';
import * as requestTraits from './request-traits.js';

export type Suspect = ReadonlySet<string>;

/** The end of an upstream, as far as it is known. */
export type KnownEnd = {
  upstreamId: string;
  atMs: number;
  /** When this start of the upstream was first known; null if that is not known. */
  startedMs: number | null;
  suspects: Map<string, Suspect>;
  trialTrait: string | undefined;
};

/** What is held against a trait. */
export type Case = {
  trait: string;
  /** The ends beside which it was since it was last sound, those that are explained otherwise left out. */
  ends: readonly KnownEnd[];
  /** All ends since the first of them that nothing explains. */
  open: readonly KnownEnd[];
  /** The suspects with the trait. */
  suspects: readonly Suspect[];
  /** When an answer with it last went on, before the first of the ends; null if none is known. */
  soundMs: number | null;
  /** What all its suspects share, and has not been sound since. */
  sharedTraits: readonly string[];
};

export type Finding = {
  traits: requestTraits.TraitSet;
  crashCount: number;
  firstCrashMs: number;
  /** How unlikely chance is, as a natural logarithm. */
  score: number;
  /** Else it is only the best guess: it has to be tried. */
  isClear: boolean;
  /** Over a quarter of the requests have it, and nothing says that others are answered: refusing them may stop most of what is served. */
  isCommon: boolean;
  newStartCount: number;
  share: number;
};

/**
 * Why the strongest candidate is not found. `chance`: chance explains it well enough. `rivals`: others are as strong. `unsettled`:
 * answers have not had the time to go on. `common`: a guess that most requests have. `lately-sound`: it was answered shortly before,
 * and too few upstreams have ended under it anew.
 */
export type OpenReason = 'chance' | 'rivals' | 'unsettled' | 'common' | 'lately-sound';

/**
 * The strongest candidate, and what was made of it. `endCount`: with ends that count as one. `newStartCount`: of upstreams that had
 * started since the first. `share`: of the requests that have it.
 */
export type Judgement =
  | { kind: 'found'; finding: Finding }
  | {
      kind: 'open';
      reason: OpenReason;
      trait: string;
      crashCount: number;
      endCount: number;
      newStartCount: number;
      share: number;
      score: number;
      rivalCount: number;
    };

/**
 * Fewer may be chance: many requests are beside an end, and some of them are sent again and are beside the next. More would cost
 * another upstream: a part is to be refused before it has ended five.
 */
export const CRASHES_MIN = 4;
/** Upstreams that end within this time may have had one cause, such as the loss of a failure domain: they count once. */
export const TOGETHER_MS = 150;
/** Where upstreams end quickly one after the other, no answer with a sound trait may have gone on yet. */
export const SETTLED_AFTER_MS = 1_200;
/** One in twenty: chance must not explain easily what is tried. */
const GUESS_SCORE_MIN = 3;
/** One in 3,000, and more for each of the ends that it takes: nothing sound may be refused for ordinary ends. */
const CLEAR_SCORE_MIN = 8;
/** Refusing what more requests have does more harm than another end. */
const COMMON_SHARE = 0.25;
/** What was not answered lately, while others were, is hardly missed. */
const NEW_COMMON_SHARE = 0.75;
/** Unless so many ended without a sound answer in between: little is served any more that a guess could harm. */
const COMMON_GUESS_CRASHES_MIN = 8;
/** So many ends must not wait for a clear explanation, which may never come where all upstreams end. */
const UNCLEAR_CRASHES_MIN = 5;
/** What fewer different requests have is judged as those requests are. */
const REQUESTS_MIN = 3;
/** What speaks against a trait in each end without it: upstreams end for other reasons as well. */
const ABSENCE_COST = 1.5;
/** A rare trait is no proof by itself. */
const PRESENCE_MIN = 0.02;
/** What was answered so shortly before the first end hardly turned bad at that moment. */
const LATELY_SOUND_MS = 60_000;
/** Upstreams that end by themselves, several in a row, answer again once they have started; so many that do not show more than chance. */
const NEW_STARTS_MIN = 4;

type Weighed = Case & {
  /** Ends close together as one. */
  count: number;
  newStartCount: number;
  wasLatelySound: boolean;
  /** It was not, and others were. */
  isNew: boolean;
  /** Of all requests that have the trait, and how unlikely chance is. */
  share: number;
  score: number;
};

/** Of ends close together one is left. */
export function apart(ends: readonly KnownEnd[]): KnownEnd[] {
  let lastMs = -Infinity;
  return [...ends]
    .sort((left, right) => left.atMs - right.atMs)
    .filter(({ atMs }) => {
      if (atMs - lastMs < TOGETHER_MS) return false;
      lastMs = atMs;
      return true;
    });
}

export function firstMs({ ends }: Pick<Case, 'ends'>): number {
  return Math.min(...ends.map(({ atMs }) => atMs));
}

export function isLatelySound({ ends, soundMs }: Pick<Case, 'ends' | 'soundMs'>): boolean {
  return soundMs !== null && firstMs({ ends }) - soundMs <= LATELY_SOUND_MS;
}

/**
 * How unlikely it is that chance put the trait beside these ends and let none of its answers go on, as a natural logarithm: a
 * suspect has the trait as often as requests have it, and so have answers that go on.
 */
function scoreOf(
  { trait, ends, open }: Case,
  share: number,
  soundTotal: number,
  wasLatelySound: boolean,
): number {
  const presence = apart(open).reduce((sum, end) => {
    if (!ends.includes(end)) return sum - ABSENCE_COST;
    const chance = 1 - (1 - share) ** end.suspects.size;
    return sum - Math.log(Math.max(PRESENCE_MIN, chance));
  }, 0);
  const isAlone = open.every(({ suspects }) =>
    [...suspects.values()].every((one) => one.has(trait)),
  );
  // Nothing to compare with, nothing that speaks for it, and nobody else to harm.
  if (isAlone && !wasLatelySound) return Math.max(CLEAR_SCORE_MIN, presence);
  return presence + share * soundTotal;
}

function weigh(
  one: Case,
  { sentCount, sentTotal, soundTotal }: requestCensus.Usage,
  isAnyLatelySound: boolean,
): Weighed {
  const sinceMs = firstMs(one);
  const isNewStart = ({ startedMs }: KnownEnd) => startedMs !== null && startedMs > sinceMs;
  const wasLatelySound = isLatelySound(one);
  const share = Math.min(1, sentCount / Math.max(1, sentTotal));
  return {
    ...one,
    count: apart(one.ends).length,
    newStartCount: apart(one.ends.filter(isNewStart)).length,
    wasLatelySound,
    isNew: !wasLatelySound && isAnyLatelySound,
    share,
    score: scoreOf(one, share, soundTotal, wasLatelySound),
  };
}

/**
 * What nobody has shown to be sound goes first: ordinary ends beside those of a bad part count against all that is used. Then most ends,
 * then the least likely by chance; all gateways have to come to the same order.
 */
function byStrength(left: Weighed, right: Weighed): number {
  const byHistory = Number(left.wasLatelySound) - Number(right.wasLatelySound);
  const difference = byHistory || right.count - left.count || right.score - left.score;
  if (difference !== 0) return difference;
  return left.trait < right.trait ? -1 : 1;
}

/** Requests that differ, each counted once however often it was sent again. */
function requestCount(suspects: readonly Suspect[]): number {
  const own = suspects.map(
    (suspect) =>
      [...suspect].find((trait) => requestTraits.toFingerprint(trait) !== null) ?? suspect,
  );
  return new Set(own).size;
}

/** Whether a trait is in all suspects with the other, so that the evidence can't tell them apart. */
function isCompanion(left: Case, right: Case): boolean {
  return left.suspects.every((suspect) => suspect.has(right.trait));
}

/** Whether so few requests have it, or so many upstreams ended, that a guess may be refused without proof. */
function isGuess({ share, count, newStartCount, wasLatelySound, isNew }: Weighed): boolean {
  const areMany = count >= COMMON_GUESS_CRASHES_MIN;
  if (wasLatelySound) return areMany && newStartCount >= NEW_STARTS_MIN;
  return areMany || share <= (isNew ? NEW_COMMON_SHARE : COMMON_SHARE);
}

/**
 * Why the trait can't be found, whatever else is known; null if it can be. One that can't must not hide another that was beside fewer
 * ends: what all requests have is beside each.
 */
function obstacleOf(one: Weighed): 'common' | 'lately-sound' | null {
  if (one.score >= CLEAR_SCORE_MIN || isGuess(one)) return null;
  return one.wasLatelySound ? 'lately-sound' : 'common';
}

function toFinding(one: Weighed, isClear: boolean): Judgement {
  const { count: crashCount, newStartCount, share, score, isNew } = one;
  const traits = [...one.sharedTraits].sort();
  const isCommon = share > COMMON_SHARE && !isNew;
  const firstCrashMs = firstMs(one);
  const evidence = { crashCount, firstCrashMs, newStartCount, share, score };
  return { kind: 'found', finding: { traits, isClear, isCommon, ...evidence } };
}

function toOpen(one: Weighed, rivalCount: number, reason: OpenReason): Judgement {
  const { trait, count: crashCount, ends, newStartCount, share, score } = one;
  const endCount = ends.length;
  return {
    kind: 'open',
    reason,
    trait,
    crashCount,
    endCount,
    newStartCount,
    share,
    score,
    rivalCount,
  };
}

/** The clearest explanation; null without a case. `usageOf`: the use of a trait by all gateways since the first of its ends. */
export function judge(
  cases: readonly Case[],
  usageOf: (one: Case) => requestCensus.Usage,
  nowMs: number,
): Judgement | null {
  const isAnyLatelySound = cases.some(isLatelySound);
  const weighed = cases
    .filter(({ suspects }) => requestCount(suspects) >= REQUESTS_MIN)
    .map((one) => weigh(one, usageOf(one), isAnyLatelySound))
    .sort(byStrength);
  const [strongest] = weighed;
  if (strongest === undefined) return null;
  const [best, ...others] = weighed.filter((one) => obstacleOf(one) === null);
  if (best === undefined) return toOpen(strongest, 0, obstacleOf(strongest) ?? 'chance');
  const isSettled = (one: Case) => nowMs - firstMs(one) >= SETTLED_AFTER_MS;
  // Where ends follow each other quickly chance companions are beside as many; the next end tells them apart.
  const rivals = others.filter((one) => one.count >= best.count && !isCompanion(best, one));
  const isClear = best.score >= CLEAR_SCORE_MIN && rivals.length === 0 && isSettled(best);
  if (isClear) return toFinding(best, true);
  const isLikely = best.score >= GUESS_SCORE_MIN && rivals.length === 0;
  if (!isLikely && best.count < UNCLEAR_CRASHES_MIN) {
    return toOpen(best, rivals.length, rivals.length > 0 ? 'rivals' : 'chance');
  }
  const guesses = [best, ...rivals].filter(isGuess);
  const guess = guesses.find(isSettled);
  if (guess !== undefined) return toFinding(guess, false);
  return toOpen(best, rivals.length, guesses.length === 0 ? 'common' : 'unsettled');
}
