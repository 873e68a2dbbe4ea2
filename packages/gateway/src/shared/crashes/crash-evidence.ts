/**
 * Finds what ends upstreams, from the ends that several gateways saw. Each end has suspects: requests whose answer had not begun,
 * or only just, when the upstream ended. Load: requests with one part of a prompt that crashes each upstream come at any gateway,
 * no two alike. Harm prevented: one upstream after the other ends until the service is down.
 *
 * A trait is found if chance does not explain what is seen of it: that it was beside so many ends, as often as it is used, and
 * that no answer with it has gone on since the first of them, though answers without it have.
 */
import * as crashJudgement from './crash-judgement.js';
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
  /** When this start of the upstream was first known; left out if that is not known. */
  startedMs?: number | undefined;
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
    known: readonly requestTraits.TraitSet[],
  ) => requestEvidence.RequestJudgement;
  /** What may explain ends that no set of `known`, which is refused already, explains. */
  candidates: (known: readonly requestTraits.TraitSet[]) => readonly Candidate[];
  /** The clearest explanation; null without a candidate. `usageOf`: the use of a candidate by all gateways. */
  judge: (
    known: readonly requestTraits.TraitSet[],
    usageOf: (candidate: Candidate) => requestCensus.Usage,
    nowMs: number,
  ) => crashJudgement.Judgement | null;
};

/** Requests that end an upstream only now and then must be found too. */
const KEPT_MS = 6 * 3_600_000;
const CRASHES_MAX = 500;
const SUSPECTS_MAX = 500;

type Known = crashJudgement.KnownEnd;

/** A set that is refused already, and the ends that it explains. */
type Explanation = { traits: crashJudgement.Suspect; crashes: ReadonlySet<Known>; count: number };

function hasSuspectWith({ suspects }: Known, traits: requestTraits.TraitSet): boolean {
  return [...suspects.values()].some((suspect) => traits.every((trait) => suspect.has(trait)));
}

export function createCrashEvidence(): CrashEvidence {
  const crashes = new Map<string, Known>();
  /** The ends with a trait among their suspects. */
  const byTrait = new Map<string, Set<Known>>();
  const soundMs = new Map<string, number>();

  function index(crash: Known, traits: crashJudgement.Suspect): void {
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

  function explanationsBy(known: readonly requestTraits.TraitSet[]): Explanation[] {
    return known.map((traits) => {
      const explained = [...crashes.values()].filter((crash) => hasSuspectWith(crash, traits));
      const count = crashJudgement.apart(explained).length;
      return { traits: new Set(traits), crashes: new Set(explained), count };
    });
  }

  /** What all these suspects share, except what has been sound since. */
  function sharedTraits(suspects: readonly crashJudgement.Suspect[], sinceMs: number): string[] {
    const [first = new Set<string>()] = suspects;
    const isOpen = (trait: string) => (soundMs.get(trait) ?? -Infinity) < sinceMs;
    return [...first].filter(
      (trait) => isOpen(trait) && suspects.every((suspect) => suspect.has(trait)),
    );
  }

  /**
   * An end that a known set explains does not count against other traits, unless these explain more ends than the set, and were not
   * answered shortly before. Members of the set go on counting, since it may be narrowed down.
   */
  function caseOf(trait: string, explanations: readonly Explanation[]): crashJudgement.Case | null {
    const all = crashesWith(trait);
    if (all.length === 0) return null;
    const total = crashJudgement.apart(all).length;
    const soundAtMs = soundMs.get(trait) ?? null;
    const wasSound = crashJudgement.isLatelySound({ ends: all, soundMs: soundAtMs });
    const better = explanations.filter(
      ({ count, traits }) => (wasSound || count >= total) && !traits.has(trait),
    );
    const isExplained = (crash: Known) => better.some((one) => one.crashes.has(crash));
    const counted = all.filter((crash) => !isExplained(crash));
    const isNew = counted.some((crash) => !explanations.some((one) => one.crashes.has(crash)));
    if (!isNew) return null;
    const sinceMs = crashJudgement.firstMs({ ends: counted });
    const open = [...crashes.values()].filter(
      (crash) => crash.atMs >= sinceMs && !isExplained(crash),
    );
    const suspects = counted.flatMap((crash) =>
      [...crash.suspects.values()].filter((traits) => traits.has(trait)),
    );
    return {
      trait,
      ends: counted,
      open,
      suspects,
      soundMs: soundAtMs,
      sharedTraits: sharedTraits(suspects, sinceMs),
    };
  }

  function casesOf(known: readonly requestTraits.TraitSet[]): crashJudgement.Case[] {
    const explanations = explanationsBy(known);
    const single = new Set(known.filter((set) => set.length === 1).flat());
    return (
      [...byTrait]
        .filter(([trait, found]) => found.size >= crashJudgement.CRASHES_MIN && !single.has(trait))
        // Whole requests are judged by their attempts.
        .filter(([trait]) => requestTraits.toFingerprint(trait) === null)
        .flatMap(([trait]) => caseOf(trait, explanations) ?? [])
        .filter(({ ends }) => crashJudgement.apart(ends).length >= crashJudgement.CRASHES_MIN)
    );
  }

  return {
    add: ({ upstreamId, atMs, suspects, trialTrait, startedMs = null }) => {
      const before = crashes.get(upstreamId);
      const crash: Known = before ?? {
        upstreamId,
        atMs,
        startedMs,
        suspects: new Map(),
        trialTrait,
      };
      crash.trialTrait ??= trialTrait;
      crash.startedMs ??= startedMs;
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
    crashCount: (trait) => crashJudgement.apart(crashesWith(trait)).length,
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
      casesOf(known).map((one) => ({ trait: one.trait, sinceMs: crashJudgement.firstMs(one) })),
    judge: (known, usageOf, nowMs) =>
      crashJudgement.judge(
        casesOf(known),
        (one) => usageOf({ trait: one.trait, sinceMs: crashJudgement.firstMs(one) }),
        nowMs,
      ),
  };
}
