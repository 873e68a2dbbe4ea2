/**
 * Finds what ends upstreams, from the ends that several gateways saw. Each end has suspects: requests whose answer had not begun,
 * or only just, when the upstream ended. Load: requests with one part of a prompt that crashes each upstream come at any gateway,
 * no two alike. Harm prevented: one upstream after the other ends until the service is down.
 *
 * A trait is found if chance does not explain what is seen of it: that it was beside so many ends, as often as it is used, and
 * that no answer with it has gone on since the first of them, though answers without it have.
 */
import type * as requestCensus from './request-census.js';
import * as requestEvidence from './request-evidence.js';
import * as requestTraits from './request-traits.js';

/** One upstream's end, as far as it is known; gateways add the suspects that they know. */
export type Crash = {
  upstreamId: string;
  atMs: number;
  /** The traits of each suspect. */
  suspects: readonly (readonly string[])[];
  /** The trait of the request that was there on trial. */
  trialTrait?: string | undefined;
};

/** Traits that explain ends only together: a request is suspected if it has all of them. */
export type TraitSet = readonly string[];

export type Finding = {
  traits: TraitSet;
  crashCount: number;
  firstCrashMs: number;
  /** How unlikely chance is, as a natural logarithm. */
  score: number;
  /** Else it is only the best guess: it has to be tried. */
  isClear: boolean;
};

/**
 * Why the strongest candidate is not found. `chance`: chance explains it well enough. `rivals`: others are as strong. `unsettled`:
 * answers have not had the time to go on. `common`: a guess that most requests have.
 */
export type OpenReason = 'chance' | 'rivals' | 'unsettled' | 'common';

/** The strongest candidate, and what was made of it. `endCount`: with ends that count as one. */
export type Judgement =
  | { kind: 'found'; finding: Finding }
  | {
      kind: 'open';
      reason: OpenReason;
      trait: string;
      crashCount: number;
      endCount: number;
      score: number;
      rivalCount: number;
    };

/** A trait that may be found, and since when its use matters. */
export type Candidate = { trait: string; sinceMs: number };

/** So many ends of upstreams under a request were known somewhere then. */
export type ToldEnds = { crashCount: number; atMs: number };

export type CrashEvidence = {
  /** Adds a report, in any order, once or more often. Returns whether it told anything new. */
  add: (crash: Crash) => boolean;
  /** The upstream has not ended after all. */
  withdraw: (upstreamId: string) => void;
  /** An answer with the trait began then, and went on. */
  noteSound: (trait: string, beganMs: number) => void;
  /** The ends beside which it was since it was last sound, those close together as one. */
  crashCount: (trait: string) => number;
  /** The same, each for itself. */
  endCount: (trait: string) => number;
  hasCrashSince: (trait: string, sinceMs: number) => boolean;
  latestCrashMs: (trait: string) => number | null;
  hasEnded: (upstreamId: string) => boolean;
  /** The traits of whole requests beside ends since then. */
  requestsSince: (sinceMs: number) => readonly string[];
  /** Judges a whole request by its trait; `known`: sets that are refused already. */
  judgeRequest: (
    trait: string,
    told: ToldEnds | null,
    known: readonly TraitSet[],
  ) => requestEvidence.RequestJudgement;
  /** What may explain ends that no set of `known`, which is refused already, explains. */
  candidates: (known: readonly TraitSet[]) => readonly Candidate[];
  /** The clearest explanation; null without a candidate. `usageOf`: the use of a candidate by all gateways. */
  judge: (
    known: readonly TraitSet[],
    usageOf: (candidate: Candidate) => requestCensus.Usage,
    nowMs: number,
  ) => Judgement | null;
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
/** Refusing a guess that many requests have would do more harm than another end. */
const GUESS_SHARE_MAX = 0.25;
/** Unless so many ended without a sound answer in between: little is served any more that a guess could harm. */
const COMMON_GUESS_CRASHES_MIN = 8;
/** So many ends must not wait for a clear explanation, which may never come where all upstreams end. */
const UNCLEAR_CRASHES_MIN = 5;
/** What speaks against a trait in each end without it: upstreams end for other reasons as well. */
const ABSENCE_COST = 1.5;
/** A rare trait is no proof by itself. */
const PRESENCE_MIN = 0.02;
/** Requests that end an upstream only now and then must be found too. */
const KEPT_MS = 6 * 3_600_000;
const CRASHES_MAX = 500;
const SUSPECTS_MAX = 500;

type Suspect = ReadonlySet<string>;

type Known = {
  upstreamId: string;
  atMs: number;
  suspects: Map<string, Suspect>;
  trialTrait: string | undefined;
};

/** The ends that count against a trait, those since the first of them that nothing explains, and the suspects with the trait. */
type Case = {
  trait: string;
  crashes: Known[];
  open: Known[];
  count: number;
  suspects: Suspect[];
  /** Of all requests that have the trait, and how unlikely chance is. */
  share: number;
  score: number;
};

/** A set that is refused already, and the ends that it explains. */
type Explanation = { traits: Suspect; crashes: ReadonlySet<Known>; count: number };

/** Of ends close together one is left. */
function apart(crashes: readonly Known[]): Known[] {
  let lastMs = -Infinity;
  return [...crashes]
    .sort((left, right) => left.atMs - right.atMs)
    .filter(({ atMs }) => {
      if (atMs - lastMs < TOGETHER_MS) return false;
      lastMs = atMs;
      return true;
    });
}

function hasSuspectWith({ suspects }: Known, traits: TraitSet): boolean {
  return [...suspects.values()].some((suspect) => traits.every((trait) => suspect.has(trait)));
}

function firstMs({ crashes }: Pick<Case, 'crashes'>): number {
  return Math.min(...crashes.map(({ atMs }) => atMs));
}

/** Most ends first, then the least likely by chance; all gateways have to come to the same order. */
function byStrength(left: Case, right: Case): number {
  const difference = right.count - left.count || right.score - left.score;
  if (difference !== 0) return difference;
  return left.trait < right.trait ? -1 : 1;
}

/** Whether a trait is in all suspects with the other, so that the evidence can't tell them apart. */
function isCompanion(left: Case, right: Case): boolean {
  return left.suspects.every((suspect) => suspect.has(right.trait));
}

/**
 * How unlikely it is that chance put the trait beside these ends and let none of its answers go on, as a natural logarithm: a
 * suspect has the trait as often as requests have it, and so have answers that go on.
 */
function scoreOf(
  { trait, crashes, open }: Pick<Case, 'trait' | 'crashes' | 'open'>,
  { sentCount, sentTotal, soundTotal }: requestCensus.Usage,
): Pick<Case, 'share' | 'score'> {
  const share = Math.min(1, sentCount / Math.max(1, sentTotal));
  const presence = apart(open).reduce((sum, crash) => {
    if (!crashes.includes(crash)) return sum - ABSENCE_COST;
    const chance = 1 - (1 - share) ** crash.suspects.size;
    return sum - Math.log(Math.max(PRESENCE_MIN, chance));
  }, 0);
  const isAlone = open.every(({ suspects }) =>
    [...suspects.values()].every((one) => one.has(trait)),
  );
  // Nothing to compare with, and nobody else to harm.
  const score = isAlone ? Math.max(CLEAR_SCORE_MIN, presence) : presence + share * soundTotal;
  return { share, score };
}

export function createCrashEvidence(): CrashEvidence {
  const crashes = new Map<string, Known>();
  /** The ends with a trait among their suspects. */
  const byTrait = new Map<string, Set<Known>>();
  const soundMs = new Map<string, number>();

  function index(crash: Known, traits: Suspect): void {
    traits.forEach((trait) => {
      const found = byTrait.get(trait) ?? new Set<Known>();
      found.add(crash);
      byTrait.set(trait, found);
    });
  }

  function drop(upstreamId: string): void {
    const crash = crashes.get(upstreamId);
    if (crash === undefined) return;
    crashes.delete(upstreamId);
    crash.suspects.forEach((traits) => {
      traits.forEach((trait) => {
        const found = byTrait.get(trait);
        found?.delete(crash);
        if (found?.size !== 0) return;
        byTrait.delete(trait);
        soundMs.delete(trait);
      });
    });
  }

  function dropOld(nowMs: number): void {
    const byAge = [...crashes.values()].sort((left, right) => left.atMs - right.atMs);
    byAge.forEach(({ upstreamId, atMs }, position) => {
      const isSurplus = byAge.length - position > CRASHES_MAX;
      if (isSurplus || nowMs - atMs > KEPT_MS) drop(upstreamId);
    });
  }

  /** Since it was last sound. */
  function crashesWith(trait: string): Known[] {
    const soundAtMs = soundMs.get(trait) ?? -Infinity;
    return [...(byTrait.get(trait) ?? [])].filter(({ atMs }) => atMs > soundAtMs);
  }

  /** Whether other suspects of the end have a trait that is beside as many ends, and that the request has not. */
  function hasRival({ suspects }: Known, trait: string, count: number): boolean {
    const all = [...suspects.values()];
    const own = new Set(all.filter((one) => one.has(trait)).flatMap((one) => [...one]));
    return all.some((one) =>
      [...one].some((other) => !own.has(other) && crashesWith(other).length >= count),
    );
  }

  function explanationsBy(known: readonly TraitSet[]): Explanation[] {
    return known.map((traits) => {
      const explained = [...crashes.values()].filter((crash) => hasSuspectWith(crash, traits));
      const count = apart(explained).length;
      return { traits: new Set(traits), crashes: new Set(explained), count };
    });
  }

  /**
   * An end that a known set explains does not count against other traits, unless these explain more ends than the set. Members of
   * the set go on counting, since it may be narrowed down.
   */
  function caseOf(trait: string, explanations: readonly Explanation[]): Case | null {
    const all = crashesWith(trait);
    const total = apart(all).length;
    const better = explanations.filter(({ count, traits }) => count >= total && !traits.has(trait));
    const isExplained = (crash: Known) => better.some((one) => one.crashes.has(crash));
    const counted = all.filter((crash) => !isExplained(crash));
    const isNew = counted.some((crash) => !explanations.some((one) => one.crashes.has(crash)));
    const count = apart(counted).length;
    if (!isNew) return null;
    const sinceMs = firstMs({ crashes: counted });
    const open = [...crashes.values()].filter(
      (crash) => crash.atMs >= sinceMs && !isExplained(crash),
    );
    const suspects = counted.flatMap((crash) =>
      [...crash.suspects.values()].filter((traits) => traits.has(trait)),
    );
    return { trait, crashes: counted, open, count, suspects, share: 0, score: 0 };
  }

  function casesOf(known: readonly TraitSet[]): Case[] {
    const explanations = explanationsBy(known);
    const single = new Set(known.filter((set) => set.length === 1).flat());
    return (
      [...byTrait]
        .filter(([trait, found]) => found.size >= CRASHES_MIN && !single.has(trait))
        // Whole requests are judged by their attempts.
        .filter(([trait]) => requestTraits.toFingerprint(trait) === null)
        .flatMap(([trait]) => caseOf(trait, explanations) ?? [])
        .filter(({ count }) => count >= CRASHES_MIN)
    );
  }

  /** What all suspects with the trait share, except what has been sound since. */
  function sharedTraits(one: Case): string[] {
    const sinceMs = firstMs(one);
    const isOpen = (trait: string) => (soundMs.get(trait) ?? -Infinity) < sinceMs;
    const [first = new Set<string>()] = one.suspects;
    return [...first].filter(
      (trait) => isOpen(trait) && one.suspects.every((suspect) => suspect.has(trait)),
    );
  }

  function toFinding(one: Case, isClear: boolean): Finding {
    const { count: crashCount, score } = one;
    const firstCrashMs = firstMs(one);
    return { traits: sharedTraits(one).sort(), crashCount, firstCrashMs, score, isClear };
  }

  function toOpen(best: Case, rivalCount: number, reason: OpenReason): Judgement {
    const { trait, count: crashCount, crashes: ends, score } = best;
    return { kind: 'open', reason, trait, crashCount, endCount: ends.length, score, rivalCount };
  }

  return {
    add: ({ upstreamId, atMs, suspects, trialTrait }) => {
      const before = crashes.get(upstreamId);
      const none = { suspects: new Map<string, Suspect>(), trialTrait: undefined };
      const crash: Known = before ?? { upstreamId, atMs, ...none };
      crash.trialTrait ??= trialTrait;
      const sizeBefore = crash.suspects.size;
      crash.atMs = Math.min(crash.atMs, atMs);
      crashes.set(upstreamId, crash);
      suspects.forEach((traits) => {
        const key = traits.join(' ');
        if (crash.suspects.has(key) || crash.suspects.size >= SUSPECTS_MAX) return;
        const suspect = new Set(traits);
        crash.suspects.set(key, suspect);
        index(crash, suspect);
      });
      if (before === undefined) dropOld(atMs);
      return before === undefined || crash.suspects.size > sizeBefore;
    },
    withdraw: drop,
    noteSound: (trait, beganMs) => {
      if (!byTrait.has(trait)) return;
      soundMs.set(trait, Math.max(beganMs, soundMs.get(trait) ?? -Infinity));
    },
    crashCount: (trait) => apart(crashesWith(trait)).length,
    endCount: (trait) => crashesWith(trait).length,
    latestCrashMs: (trait) => {
      const times = [...(byTrait.get(trait) ?? [])].map(({ atMs }) => atMs);
      return times.length === 0 ? null : Math.max(...times);
    },
    hasEnded: (upstreamId) => crashes.has(upstreamId),
    requestsSince: (sinceMs) => {
      const late = [...crashes.values()].filter(({ atMs }) => atMs >= sinceMs);
      const traits = late.flatMap(({ suspects }) =>
        [...suspects.values()].flatMap((one) => [...one]),
      );
      return [...new Set(traits)].filter((trait) => requestTraits.toFingerprint(trait) !== null);
    },
    judgeRequest: (trait, told, known) => {
      const beside = byTrait.get(trait);
      if (beside === undefined && told === null) return requestEvidence.NOTHING;
      const toldBy = told?.atMs ?? -Infinity;
      const knownCount = [...(beside ?? [])].filter(({ atMs }) => atMs <= toldBy).length;
      const sets = known.filter((set) => !set.includes(trait));
      const own = crashesWith(trait);
      const ends = own.map((crash) => ({
        atMs: crash.atMs,
        isTrial: crash.trialTrait === trait,
        isOtherTrial: crash.trialTrait !== undefined && crash.trialTrait !== trait,
        suspectCount: crash.suspects.size,
        hasRival: hasRival(crash, trait, own.length),
        isExplained: sets.some((set) => hasSuspectWith(crash, set)),
      }));
      const others = [...crashes.values()].filter((crash) => beside?.has(crash) !== true);
      return requestEvidence.judge(
        ends,
        others.map(({ atMs }) => atMs),
        Math.max(0, (told?.crashCount ?? 0) - knownCount),
      );
    },
    hasCrashSince: (trait, sinceMs) => crashesWith(trait).some(({ atMs }) => atMs >= sinceMs),
    candidates: (known) =>
      casesOf(known).map((one) => ({ trait: one.trait, sinceMs: firstMs(one) })),
    judge: (known, usageOf, nowMs) => {
      const [best, ...others] = casesOf(known)
        .map((one) => ({
          ...one,
          ...scoreOf(one, usageOf({ trait: one.trait, sinceMs: firstMs(one) })),
        }))
        .sort(byStrength);
      if (best === undefined) return null;
      const isSettled = (one: Case) => nowMs - firstMs(one) >= SETTLED_AFTER_MS;
      // Where ends follow each other quickly chance companions are beside as many; the next end tells them apart.
      const rivals = others.filter((one) => one.count >= best.count && !isCompanion(best, one));
      const isClear = best.score >= CLEAR_SCORE_MIN && rivals.length === 0 && isSettled(best);
      if (isClear) return { kind: 'found', finding: toFinding(best, true) };
      const open = (reason: OpenReason) => toOpen(best, rivals.length, reason);
      const isLikely = best.score >= GUESS_SCORE_MIN && rivals.length === 0;
      if (!isLikely && best.count < UNCLEAR_CRASHES_MIN) {
        return open(rivals.length > 0 ? 'rivals' : 'chance');
      }
      const isHarmless = ({ share, count }: Case) =>
        share <= GUESS_SHARE_MAX || count >= COMMON_GUESS_CRASHES_MIN;
      const harmless = [best, ...rivals].filter(isHarmless);
      const guess = harmless.find(isSettled);
      if (guess === undefined) return open(harmless.length === 0 ? 'common' : 'unsettled');
      return { kind: 'found', finding: toFinding(guess, false) };
    },
  };
}
