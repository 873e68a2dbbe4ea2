/**
 * Which requests are refused since they end upstreams. An entry names traits; a request with all of them is refused. Entries are
 * merged in any order, once or more often, with the same result at every gateway.
 *
 * After a while an entry is on trial: one gateway lets a single request through, having refused all others for longer first. If
 * its answer goes on, the entry is lifted; else it stands for the longer time. At most `TRIALS_MAX` requests are let through
 * over the life of an entry.
 */
import * as crypto from 'node:crypto';

import type * as crashEvidence from './crash-evidence.js';

export type QuarantineEntry = {
  /** In order. */
  traits: crashEvidence.TraitSet;
  /** Counts the decisions about these traits; a later one replaces an earlier one. */
  epoch: number;
  isLifted: boolean;
  /** Ends of upstreams that it was decided from. */
  crashCount: number;
  /** The gateway that decided, and when, on the local clock. */
  decidedBy: string;
  decidedAtMs: number;
  /** Refused until then, and then on trial. */
  untilMs: number;
};

export type Quarantine = {
  /** Returns whether it changed anything. */
  apply: (entry: QuarantineEntry, nowMs: number) => boolean;
  /** The entry for which a request with these traits is refused, on trial or not; null if it is not. */
  match: (
    traits: readonly string[],
    nowMs: number,
    /** The entry for which the request is let through on trial. */
    exceptKey?: string | null,
  ) => QuarantineEntry | null;
  /** Refused or lifted. */
  entries: (nowMs: number) => readonly QuarantineEntry[];
  /** The traits that are refused. */
  refusedSets: () => readonly crashEvidence.TraitSet[];
  find: (key: string) => QuarantineEntry | undefined;
  /** Equal at gateways with the same entries. */
  digest: () => string;
};

/** Long enough that callers stop sending, short enough to recover from a wrong decision or after the engine was fixed. */
const FIRST_REFUSAL_MS = 15 * 60_000;
export const TRIALS_MAX = 3;
/** A guess is tried as soon as all gateways refuse it and the requests under way have shown what they do. */
export const GUESS_MS = 3_000;
/** After a trial that showed nothing, since its caller left or it was turned away. */
export const UNDECIDED_MS = 2_000;
/** From the gateway that may try first to the next one, to which such a request may come sooner. */
const TRIAL_STEP_MS = 1_000;
/** After the last trial, and without any, it stands for a day. */
const LAST_REFUSAL_MS = 24 * 3_600_000;
/** Longer than a gateway that knows it as refused can be out of touch. */
const LIFTED_KEPT_MS = 3_600_000;
/** Decisions are rare; this is far more than a fleet can work with. */
const ENTRIES_MAX = 1_000;
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
  if (entry.epoch >= TRIALS_MAX || nowMs < entry.untilMs + rank * TRIAL_STEP_MS) return null;
  const epoch = entry.epoch + 1;
  return { ...entry, epoch, untilMs: nowMs + refusalMs(epoch) };
}

/** Each trial that fails doubles the time to the next one. */
export function refusalMs(epoch: number): number {
  return epoch < TRIALS_MAX ? FIRST_REFUSAL_MS * 2 ** epoch : LAST_REFUSAL_MS;
}

export function keyOf({ traits }: Pick<QuarantineEntry, 'traits'>): string {
  return traits.join(' ');
}

/** A later decision goes first; of the same, that it was lifted, and the earlier end, which no retelling delays. */
function merged(before: QuarantineEntry, told: QuarantineEntry): QuarantineEntry {
  if (told.epoch !== before.epoch) return told.epoch > before.epoch ? told : before;
  if (told.isLifted !== before.isLifted) return told.isLifted ? told : before;
  const untilMs = Math.min(before.untilMs, told.untilMs);
  return { ...before, untilMs, crashCount: Math.max(before.crashCount, told.crashCount) };
}

export function createQuarantine(): Quarantine {
  const byKey = new Map<string, QuarantineEntry>();
  /** Refused entries by their first trait. */
  let byTrait = new Map<string, QuarantineEntry[]>();
  let digest: string | null = null;

  function reindex(): void {
    digest = null;
    byTrait = new Map();
    byKey.forEach((entry) => {
      const [first] = entry.traits;
      if (entry.isLifted || first === undefined) return;
      byTrait.set(first, [...(byTrait.get(first) ?? []), entry]);
    });
  }

  function isOver({ isLifted, decidedAtMs, untilMs }: QuarantineEntry, nowMs: number): boolean {
    if (isLifted) return nowMs - decidedAtMs > LIFTED_KEPT_MS;
    return nowMs - untilMs > LAST_REFUSAL_MS;
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
      if (before === undefined && byKey.size >= ENTRIES_MAX) return false;
      const after = before === undefined ? told : merged(before, told);
      const isChanged = before?.epoch !== after.epoch || before.isLifted !== after.isLifted;
      byKey.set(key, after);
      reindex();
      return isChanged;
    },
    match: (traits, nowMs, exceptKey = null) => {
      if (byTrait.size === 0) return null;
      const own = new Set(traits);
      for (const trait of traits) {
        const found = byTrait
          .get(trait)
          ?.find(
            (entry) =>
              entry.traits.every((one) => own.has(one)) &&
              !isOver(entry, nowMs) &&
              keyOf(entry) !== exceptKey,
          );
        if (found !== undefined) return found;
      }
      return null;
    },
    entries: (nowMs) => {
      sweep(nowMs);
      return [...byKey.values()];
    },
    refusedSets: () => [...byTrait.values()].flat().map(({ traits }) => traits),
    find: (key) => byKey.get(key),
    digest: () => {
      if (digest !== null) return digest;
      const lines = [...byKey].map(([key, { epoch, isLifted }]) => `${key}\n${epoch}${isLifted}`);
      const text = lines.sort().join('\n');
      const hash = crypto.createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH);
      digest = lines.length === 0 ? '' : hash;
      return digest;
    },
  };
}
