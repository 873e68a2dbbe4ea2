/**
 * Finds what ends upstreams, from the ends that several gateways saw. Each end has suspects: requests whose answer had not begun,
 * or only just, when the upstream ended. A trait that is among the suspects of several ends, and with which no answer has gone on
 * since the first of them, is what these requests have in common. Load: requests with one part of a prompt that crashes each
 * upstream come at any gateway, no two alike. Harm prevented: one upstream after the other ends until the service is down.
 */

/** One upstream's end, as far as it is known; gateways add the suspects that they know. */
export type Crash = {
  upstreamId: string;
  atMs: number;
  /** The traits of each suspect. */
  suspects: readonly (readonly string[])[];
};

/** Traits that explain ends only together: a request is suspected if it has all of them. */
export type TraitSet = readonly string[];

export type Finding = {
  traits: TraitSet;
  crashCount: number;
  firstCrashMs: number;
};

export type CrashEvidence = {
  /** Adds a report, in any order, once or more often. Returns whether it told anything new. */
  add: (crash: Crash) => boolean;
  /** The upstream has not ended after all. */
  withdraw: (upstreamId: string) => void;
  /** An answer with the trait began then, and went on. */
  noteSound: (trait: string, beganMs: number) => void;
  /** The ends beside which it was since it was last sound. */
  crashCount: (trait: string) => number;
  /** What best explains the ends that no set of `known` explains; `known` is refused already. */
  find: (known: readonly TraitSet[], nowMs: number) => Finding | null;
  /** Traits of suspects in ends that are not explained, which were in at least `countMin` ends. */
  candidates: (known: readonly TraitSet[], countMin: number) => readonly string[];
};

/** Two ends beside the same request may be chance; a request that ends upstreams is allowed a third. */
export const CRASHES_MIN = 3;
/** Upstreams that end within this time may have had one cause, such as the loss of a failure domain: they count once. */
export const TOGETHER_MS = 150;
/** A part that few use is in one or two suspects of each end; one that many use is in many, whatever the cause. */
const RARE_SUSPECTS_MAX = 3;
/** With a trait that many use, an answer goes on within this time unless the trait prevents it. */
export const COMMON_AFTER_MS = 2_500;
/** Requests that end an upstream only now and then must be found too. */
const KEPT_MS = 6 * 3_600_000;
const CRASHES_MAX = 500;
const SUSPECTS_MAX = 500;

type Suspect = ReadonlySet<string>;

type Known = { upstreamId: string; atMs: number; suspects: Map<string, Suspect> };

/** The ends that count against a trait, and the suspects with it. */
type Case = { trait: string; crashes: Known[]; count: number; suspects: Suspect[] };

/** Ends close together count once. */
function countApart(crashes: readonly Known[]): number {
  let count = 0;
  let lastMs = -Infinity;
  const times = crashes.map(({ atMs }) => atMs).sort((left, right) => left - right);
  times.forEach((atMs) => {
    if (atMs - lastMs < TOGETHER_MS) return;
    lastMs = atMs;
    count += 1;
  });
  return count;
}

function isExplained({ suspects }: Known, known: readonly TraitSet[]): boolean {
  const all = [...suspects.values()];
  return known.some((set) => all.some((suspect) => set.every((trait) => suspect.has(trait))));
}

function firstMs({ crashes }: Case): number {
  return Math.min(...crashes.map(({ atMs }) => atMs));
}

function isRare({ suspects, crashes }: Case): boolean {
  return suspects.length <= RARE_SUSPECTS_MAX * crashes.length;
}

/** Most ends first, then fewest suspects; all gateways have to come to the same order. */
function byStrength(left: Case, right: Case): number {
  const difference = right.count - left.count || left.suspects.length - right.suspects.length;
  if (difference !== 0) return difference;
  return left.trait < right.trait ? -1 : 1;
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

  /** An end that is explained counts only against members of a known set, which may be narrowed down further. */
  function caseOf(trait: string, known: readonly TraitSet[], explained: ReadonlySet<Known>): Case {
    const isMember = known.some((set) => set.includes(trait));
    const soundAtMs = soundMs.get(trait) ?? -Infinity;
    const counted = [...(byTrait.get(trait) ?? [])].filter(
      (crash) => crash.atMs > soundAtMs && (isMember || !explained.has(crash)),
    );
    const suspects = counted.flatMap((crash) =>
      [...crash.suspects.values()].filter((traits) => traits.has(trait)),
    );
    return { trait, crashes: counted, count: countApart(counted), suspects };
  }

  function casesOf(known: readonly TraitSet[], countMin: number): Case[] {
    const explained = new Set([...crashes.values()].filter((crash) => isExplained(crash, known)));
    return [...byTrait]
      .filter(([, found]) => found.size >= countMin)
      .map(([trait]) => caseOf(trait, known, explained))
      .filter((one) => one.count >= countMin && one.crashes.some((crash) => !explained.has(crash)));
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

  return {
    add: ({ upstreamId, atMs, suspects }) => {
      const before = crashes.get(upstreamId);
      const crash = before ?? { upstreamId, atMs, suspects: new Map<string, Suspect>() };
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
    crashCount: (trait) => caseOf(trait, [], new Set()).count,
    find: (known, nowMs) => {
      const [strongest] = casesOf(known, CRASHES_MIN)
        .filter((one) => isRare(one) || nowMs - firstMs(one) >= COMMON_AFTER_MS)
        .sort(byStrength);
      if (strongest === undefined) return null;
      return {
        traits: sharedTraits(strongest).sort(),
        crashCount: strongest.count,
        firstCrashMs: firstMs(strongest),
      };
    },
    candidates: (known, countMin) => casesOf(known, countMin).map(({ trait }) => trait),
  };
}
