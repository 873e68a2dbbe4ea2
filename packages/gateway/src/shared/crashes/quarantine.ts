/**
 * Which requests are refused, or suspected, since they end upstreams. An entry names traits; it is for requests with all of them.
 * Entries are merged in any order, once or more often, with the same result at every gateway.
 *
 * A suspected request is sent only alone: once in the fleet at a time, to an upstream with no other suspect. After a while a refused
 * one is on trial: one gateway lets a single request through in the same way, having refused all others for longer first. If its
 * answer goes on, the entry is lifted; else it stands for the longer time. At most `TRIALS_MAX` requests are let through over the
 * life of an entry.
 */
import * as crypto from 'node:crypto';

import type * as crashEvidence from './crash-evidence.js';
import * as requestTraits from './request-traits.js';

export type EntryState = 'suspected' | 'refused' | 'lifted';

export type QuarantineEntry = {
  /** In order. */
  traits: requestTraits.TraitSet;
  /** Counts the decisions about these traits; a later one replaces an earlier one. */
  epoch: number;
  state: EntryState;
  /** Requests that were let through, or came to an upstream after they were to be refused. */
  trialCount: number;
  /** Ends of upstreams that it was decided from. */
  crashCount: number;
  /** Over a quarter of the requests have these traits, and nothing says that others are answered: it is tried soon. */
  isCommon: boolean;
  /** The gateway that decided, and when, on the local clock. */
  decidedBy: string;
  decidedAtMs: number;
  /** Refused until then, and then on trial; or suspected until then. */
  untilMs: number;
};

export type Quarantine = {
  /** Returns whether it changed anything. */
  apply: (entry: QuarantineEntry, nowMs: number) => boolean;
  /** The entry that stands against a request with these traits, a refusal first; null if there is none. */
  match: (
    traits: readonly string[],
    nowMs: number,
    /** The entry for which the request is let through on trial. */
    exceptKey?: string | null,
  ) => QuarantineEntry | null;
  /** In any state. */
  entries: (nowMs: number) => readonly QuarantineEntry[];
  /** The traits that are refused. */
  refusedSets: () => readonly requestTraits.TraitSet[];
  find: (key: string) => QuarantineEntry | undefined;
  /** Equal at gateways with the same entries. */
  digest: () => string;
};

/** Long enough that callers stop sending, short enough to recover from a wrong decision or after the engine was fixed. */
const FIRST_REFUSAL_MS = 15 * 60_000;
/**
 * By the number of trials. A wrong decision stops a whole route: it is tried soon, and once more soon, since an ordinary end may meet
 * the first trial.
 */
const COMMON_REFUSALS_MS = [20_000, 10_000, FIRST_REFUSAL_MS];
export const TRIALS_MAX = 3;
/** A guess is tried as soon as all gateways refuse it and the requests under way have shown what they do. */
export const GUESS_MS = 3_000;
/** After a trial that showed nothing, since its caller left or it was turned away. */
export const UNDECIDED_MS = 2_000;
/** From the gateway that may try first to the next one, to which such a request may come sooner. */
const TRIAL_STEP_MS = 1_000;
/** A suspected request is tried as soon as it comes again; one that never does is forgotten. */
export const SUSPECTED_MS = 60_000;
/** After the last trial, and without any, it stands for a day. */
const LAST_REFUSAL_MS = 24 * 3_600_000;
/** Longer than a gateway that knows it as refused can be out of touch. */
const LIFTED_KEPT_MS = 3_600_000;
/** Decisions are rare; this is far more than a fleet can work with. Suspicions leave room for refusals. */
const ENTRIES_MAX: Record<EntryState, number> = { suspected: 500, refused: 1_000, lifted: 1_000 };
const DIGEST_LENGTH = 16;

/**
 * The entry as it stands while one request is tried; null if none may be. `rank`: this gateway's place among those that may try,
 * from 0.
 */
export function onTrial(
  entry: QuarantineEntry,
  rank: number,
  nowMs: number,
): QuarantineEntry | null {
  if (entry.state !== 'refused' || entry.trialCount >= TRIALS_MAX) return null;
  if (nowMs < entry.untilMs + rank * TRIAL_STEP_MS) return null;
  const trialCount = entry.trialCount + 1;
  const untilMs = nowMs + refusalMs(trialCount, entry.isCommon);
  return { ...entry, epoch: entry.epoch + 1, trialCount, untilMs };
}

/** A request that goes on ending upstreams is not tried again for a day; a part of prompts has more callers to be refused for it. */
export function afterFailedTrial(entry: QuarantineEntry, nowMs: number): QuarantineEntry {
  const isWholeRequest = entry.traits.some((trait) => requestTraits.toFingerprint(trait) !== null);
  if (!isWholeRequest) return entry;
  const untilMs = nowMs + LAST_REFUSAL_MS;
  return { ...entry, epoch: entry.epoch + 1, trialCount: TRIALS_MAX, untilMs };
}

/** Each trial that fails doubles the time to the next one. */
export function refusalMs(trialCount: number, isCommon: boolean): number {
  if (trialCount >= TRIALS_MAX) return LAST_REFUSAL_MS;
  const commonMs = COMMON_REFUSALS_MS[trialCount] ?? LAST_REFUSAL_MS;
  return isCommon ? commonMs : FIRST_REFUSAL_MS * 2 ** trialCount;
}

export function keyOf({ traits }: Pick<QuarantineEntry, 'traits'>): string {
  return traits.join(' ');
}

const STATE_RANKS: Record<EntryState, number> = { suspected: 0, refused: 1, lifted: 2 };

/** The ends that an entry which stands was decided from. */
export function toldEnds(entry: QuarantineEntry | undefined): crashEvidence.ToldEnds | null {
  if (entry === undefined || entry.state === 'lifted') return null;
  return { crashCount: entry.crashCount, atMs: entry.decidedAtMs };
}

/** Whether `entry` replaces `other`, about the same traits. */
export function isLater(entry: QuarantineEntry, other: QuarantineEntry): boolean {
  if (entry.epoch !== other.epoch) return entry.epoch > other.epoch;
  return STATE_RANKS[entry.state] > STATE_RANKS[other.state];
}

/** A later decision goes first; of the same, the later state, and the earlier end, which no retelling delays. */
function merged(before: QuarantineEntry, told: QuarantineEntry): QuarantineEntry {
  if (isLater(told, before)) return told;
  if (isLater(before, told)) return before;
  return {
    ...before,
    untilMs: Math.min(before.untilMs, told.untilMs),
    trialCount: Math.max(before.trialCount, told.trialCount),
    crashCount: Math.max(before.crashCount, told.crashCount),
  };
}

export function createQuarantine(): Quarantine {
  const byKey = new Map<string, QuarantineEntry>();
  /** Entries that are not lifted, by their first trait. */
  let byTrait = new Map<string, QuarantineEntry[]>();
  let digest: string | null = null;

  function reindex(): void {
    digest = null;
    byTrait = new Map();
    byKey.forEach((entry) => {
      const [first] = entry.traits;
      if (entry.state === 'lifted' || first === undefined) return;
      byTrait.set(first, [...(byTrait.get(first) ?? []), entry]);
    });
  }

  function isOver({ state, decidedAtMs, untilMs }: QuarantineEntry, nowMs: number): boolean {
    switch (state) {
      case 'suspected':
        return nowMs > untilMs;
      case 'refused':
        return nowMs - untilMs > LAST_REFUSAL_MS;
      case 'lifted':
        return nowMs - decidedAtMs > LIFTED_KEPT_MS;
    }
  }

  function sweep(nowMs: number): void {
    const over = [...byKey].filter(([, entry]) => isOver(entry, nowMs));
    over.forEach(([key]) => byKey.delete(key));
    if (over.length > 0) reindex();
  }

  return {
    apply: (told, nowMs) => {
      sweep(nowMs);
      const key = keyOf(told);
      const before = byKey.get(key);
      if (told.traits.length === 0 || isOver(told, nowMs)) return false;
      if (before === undefined && byKey.size >= ENTRIES_MAX[told.state]) return false;
      const after = before === undefined ? told : merged(before, told);
      const isChanged = before?.epoch !== after.epoch || before.state !== after.state;
      byKey.set(key, after);
      reindex();
      return isChanged;
    },
    match: (traits, nowMs, exceptKey = null) => {
      if (byTrait.size === 0) return null;
      const own = new Set(traits);
      const found = traits.flatMap((trait) =>
        (byTrait.get(trait) ?? []).filter(
          (entry) =>
            entry.traits.every((one) => own.has(one)) &&
            !isOver(entry, nowMs) &&
            keyOf(entry) !== exceptKey,
        ),
      );
      return found.find(({ state }) => state === 'refused') ?? found[0] ?? null;
    },
    entries: (nowMs) => {
      sweep(nowMs);
      return [...byKey.values()];
    },
    refusedSets: () =>
      [...byTrait.values()]
        .flat()
        .filter(({ state }) => state === 'refused')
        .map(({ traits }) => traits),
    find: (key) => byKey.get(key),
    digest: () => {
      if (digest !== null) return digest;
      const lines = [...byKey].map(([key, { epoch, state }]) => `${key}\n${epoch}${state}`);
      const text = lines.sort().join('\n');
      const hash = crypto.createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH);
      digest = lines.length === 0 ? '' : hash;
      return digest;
    },
  };
}
