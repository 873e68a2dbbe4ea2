/** Where copies are, as last reported by the lease holder; if its reports are too old, as in the platform's list. */
import type * as fleet from '../../types/fleet.js';
import type * as placementTypes from '../../types/placement.js';

export type PlacedCopy = { model: string; adapters: readonly string[]; isClosing: boolean };

export type LoadingCopy = { service: string; model: string; readyAtMs: number };

export type PlacedUpstream = {
  copies: readonly PlacedCopy[];
  /** Until when the upstream is loading a model and accepts no adapter loads. */
  blockedUntilMs: number;
  /** The model that is being loaded there. */
  arrival: LoadingCopy | null;
};

/** Changes to the placement since the version that the requester has. */
export type PlacementUpdate = {
  term: number;
  version: number;
  /** The update lists all upstreams; an upstream that is not listed is gone. */
  isWhole: boolean;
  upstreams: ReadonlyMap<string, PlacedUpstream>;
  removedIds: readonly string[];
};

export type PlacementView = {
  apply: (news: PlacementUpdate) => void;
  /** A message of the holder was received, so its last report is still valid. */
  confirm: (nowMs: number) => void;
  copyAt: (
    upstream: fleet.UpstreamRecord,
    model: string,
    adapter: string | null,
    nowMs: number,
  ) => placementTypes.CopyState;
  markAbsent: (upstreamId: string, model: string, adapter: string | null, nowMs: number) => void;
  markAdapterLoaded: (upstreamId: string, model: string, adapter: string) => void;
  blockedForMs: (upstreamId: string, nowMs: number) => number;
  /** The copy of the model that will be loaded next, among these upstreams. */
  nextLoadingCopy: (
    service: string,
    model: string,
    isAmong?: (upstreamId: string) => boolean,
  ) => LoadingCopy | null;
  version: () => { term: number; version: number };
  /** Time since a message of the holder was received. */
  ageMs: (nowMs: number) => number;
};

/**
 * After this time without a message of the holder, the platform's list is the better source, although it is two
 * heartbeats old.
 */
const VALID_MS = 2_000;
/**
 * How long an answer of an upstream that it lacks a model or adapter overrides both sources, until these have caught
 * up.
 */
const ABSENT_VALID_MS = 1_500;

export function createPlacementView(): PlacementView {
  let known = { term: 0, version: 0 };
  const upstreams = new Map<string, PlacedUpstream>();
  let confirmedMs = -Infinity;
  const absentUntilMs = new Map<string, number>();
  /** Adapters loaded since the last update, by upstream. */
  const addedAdapters = new Map<string, Set<string>>();

  const keyOf = (upstreamId: string, model: string, adapter: string | null) =>
    `${upstreamId} ${model}/${adapter ?? ''}`;

  function placedCopy(
    upstream: fleet.UpstreamRecord,
    model: string,
    nowMs: number,
  ): PlacedCopy | undefined {
    const placed = upstreams.get(upstream.upstreamId);
    if (placed !== undefined && nowMs - confirmedMs < VALID_MS) {
      return placed.copies.find((copy) => copy.model === model);
    }
    const resident = upstream.models.find(({ name }) => name === model);
    if (resident === undefined) return undefined;
    return { model, adapters: resident.adapters, isClosing: false };
  }

  function isAbsent(upstreamId: string, model: string, adapter: string | null, nowMs: number) {
    return (absentUntilMs.get(keyOf(upstreamId, model, adapter)) ?? 0) > nowMs;
  }

  function blockedUntilMs(upstreamId: string, nowMs: number): number {
    if (nowMs - confirmedMs >= VALID_MS) return 0;
    return upstreams.get(upstreamId)?.blockedUntilMs ?? 0;
  }

  return {
    blockedForMs: (upstreamId, nowMs) => Math.max(0, blockedUntilMs(upstreamId, nowMs) - nowMs),
    apply: (next) => {
      const isSameTerm = next.term === known.term;
      const isNewer = next.term > known.term || (isSameTerm && next.version > known.version);
      // An incremental update of a new term cannot be applied to the state of the previous term.
      if (!isNewer || (!isSameTerm && !next.isWhole)) return;
      known = { term: next.term, version: next.version };
      if (next.isWhole) {
        upstreams.clear();
        addedAdapters.clear();
      }
      next.upstreams.forEach((placed, upstreamId) => {
        upstreams.set(upstreamId, placed);
        addedAdapters.delete(upstreamId);
      });
      next.removedIds.forEach((upstreamId) => {
        upstreams.delete(upstreamId);
        addedAdapters.delete(upstreamId);
      });
    },
    confirm: (nowMs) => {
      confirmedMs = nowMs;
    },
    copyAt: (upstream, model, adapter, nowMs) => {
      const { upstreamId } = upstream;
      const copy = placedCopy(upstream, model, nowMs);
      if (copy === undefined || copy.isClosing) return 'none';
      if (isAbsent(upstreamId, model, null, nowMs)) return 'none';
      if (adapter === null) return 'ready';
      if (isAbsent(upstreamId, model, adapter, nowMs)) return 'no-adapter';
      const has =
        copy.adapters.includes(adapter) ||
        addedAdapters.get(upstreamId)?.has(`${model}/${adapter}`) === true;
      if (has) return 'ready';
      return blockedUntilMs(upstreamId, nowMs) > nowMs ? 'blocked' : 'no-adapter';
    },
    markAbsent: (upstreamId, model, adapter, nowMs) => {
      const key = keyOf(upstreamId, model, adapter);
      addedAdapters.get(upstreamId)?.delete(`${model}/${adapter ?? ''}`);
      absentUntilMs.set(key, nowMs + ABSENT_VALID_MS);
      for (const [other, untilMs] of absentUntilMs) {
        if (untilMs <= nowMs) absentUntilMs.delete(other);
      }
    },
    markAdapterLoaded: (upstreamId, model, adapter) => {
      absentUntilMs.delete(keyOf(upstreamId, model, adapter));
      const added = addedAdapters.get(upstreamId) ?? new Set();
      addedAdapters.set(upstreamId, added.add(`${model}/${adapter}`));
    },
    nextLoadingCopy: (service, model, isAmong = () => true) =>
      [...upstreams]
        .flatMap(([upstreamId, { arrival }]) => (isAmong(upstreamId) ? (arrival ?? []) : []))
        .filter((entry) => entry.service === service && entry.model === model)
        .sort((left, right) => left.readyAtMs - right.readyAtMs)[0] ?? null,
    version: () => known,
    ageMs: (nowMs) => nowMs - confirmedMs,
  };
}
