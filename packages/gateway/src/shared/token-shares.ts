/**
 * Decides which organisation's requests are refused first where a model's copies cannot serve all. If an organisation
 * below its quota sends several times its usual demand, the others would otherwise be refused as often as it is. Each
 * admitted request advances its organisation's virtual time by its tokens over the organisation's weight, as in
 * start-time fair queueing (Goyal, Vin, Cheng 1996) and in the virtual token counters of Sheng et al. (OSDI 2024). A
 * request yields to an organisation that was refused recently and lags behind its own by more than a few requests.
 * Where no other organisation was refused, no request yields.
 */
import type * as fleet from '../types/fleet.js';

export type ShareKey = {
  /** Requests of the same group go to the same upstreams. */
  group: string;
  organisation: string;
  weight: number;
  /** 0 is the most urgent. */
  rank: number;
};

/** The organisation that lags behind, and by how many tokens at the mean weight. */
export type LaggingOrganisation = { organisation: string; byTokens: number };

export type TokenShares = {
  /** Records that a request was sent, or refused because its upstreams were overloaded. */
  decided: (of: ShareKey, tokens: number, isRefused: boolean, nowMs: number) => void;
  /** The organisation that a request yields to; null if there is none. */
  yieldsTo: (of: ShareKey, nowMs: number) => LaggingOrganisation | null;
};

type Tally = {
  weight: number;
  /** Virtual finish time of its admitted requests. */
  finish: number;
  requestedAtMs: number;
  refused: { rank: number; atMs: number } | null;
};

type Group = {
  /** Advances by the tokens of all requests over the number of active organisations. */
  virtualTime: number;
  meanTokens: number;
  tallies: Map<string, Tally>;
};

/** An organisation without a request for so long takes no part in the shares. */
const ACTIVE_MS = 3_000;
/**
 * How long others yield to an organisation that was refused. At the size designed for, a gateway gets a request of an
 * organisation every two seconds.
 */
const REFUSAL_VALID_MS = 2_000;
/** How far two organisations may be apart, in requests of mean size. */
const MARGIN_REQUESTS = 4;
/**
 * Limits how far an organisation gets ahead by its use beyond its share while no other was refused, in requests.
 */
const MAX_AHEAD_REQUESTS = 10;
/** Limits how far an organisation lags by leaving its share unused, in requests. */
const MAX_LAG_REQUESTS = 1;
const MEAN_SMOOTHING = 0.05;

function isActive(tally: Tally, nowMs: number): boolean {
  return nowMs - tally.requestedAtMs <= ACTIVE_MS;
}

export function createTokenShares(): TokenShares {
  const groups = new Map<string, Group>();

  function forgetOld(nowMs: number): void {
    groups.forEach((group, name) => {
      group.tallies.forEach((tally, organisation) => {
        if (!isActive(tally, nowMs)) group.tallies.delete(organisation);
      });
      if (group.tallies.size === 0) groups.delete(name);
    });
  }

  function groupOf(name: string, tokens: number, nowMs: number): Group {
    const known = groups.get(name);
    if (known !== undefined) return known;
    forgetOld(nowMs);
    const group: Group = { virtualTime: 0, meanTokens: tokens, tallies: new Map() };
    groups.set(name, group);
    return group;
  }

  function activeOf(group: Group, nowMs: number): readonly Tally[] {
    return [...group.tallies.values()].filter((tally) => isActive(tally, nowMs));
  }

  /** The virtual start time of its next request, with a limited lag. */
  function virtualStartOf(group: Group, tally: Tally | undefined): number {
    const least = group.virtualTime - MAX_LAG_REQUESTS * group.meanTokens;
    return Math.max(tally?.finish ?? least, least);
  }

  return {
    decided: ({ group: name, organisation, weight, rank }, tokens, isRefused, nowMs) => {
      const group = groupOf(name, tokens, nowMs);
      const before = group.tallies.get(organisation);
      const finish = virtualStartOf(group, before);
      const refused = isRefused ? { rank, atMs: nowMs } : (before?.refused ?? null);
      const tally: Tally = { weight, finish, requestedAtMs: nowMs, refused };
      group.tallies.set(organisation, tally);
      if (isRefused) return;
      group.meanTokens += MEAN_SMOOTHING * (tokens - group.meanTokens);
      const active = activeOf(group, nowMs);
      const meanWeight = active.reduce((sum, other) => sum + other.weight, 0) / active.length;
      group.virtualTime += tokens / active.length;
      const most = group.virtualTime + MAX_AHEAD_REQUESTS * group.meanTokens;
      tally.finish = Math.min(finish + (tokens * meanWeight) / weight, most);
    },
    yieldsTo: ({ group: name, organisation, rank }, nowMs) => {
      const group = groups.get(name);
      if (group === undefined) return null;
      const ownStart = virtualStartOf(group, group.tallies.get(organisation));
      const margin = MARGIN_REQUESTS * group.meanTokens;
      let found: LaggingOrganisation | null = null;
      group.tallies.forEach((other, otherName) => {
        const { refused } = other;
        if (otherName === organisation || refused === null) return;
        if (refused.rank > rank || nowMs - refused.atMs > REFUSAL_VALID_MS) return;
        const byTokens = ownStart - virtualStartOf(group, other);
        if (byTokens > Math.max(margin, found?.byTokens ?? 0)) {
          found = { organisation: otherName, byTokens };
        }
      });
      return found;
    },
  };
}

/**
 * The configured weight, else the organisation's quota as tokens per second, else the mean of the other quotas.
 */
export function weightOf(
  name: string,
  organisations: readonly fleet.Organisation[],
  weights: Readonly<Record<string, number>>,
): number {
  const set = weights[name];
  if (set !== undefined) return set;
  const own = organisations.find((organisation) => organisation.name === name)?.quota;
  if (own != null) return tokensPerSecond(own);
  const known = organisations.flatMap(({ quota }) =>
    quota === null ? [] : tokensPerSecond(quota),
  );
  if (known.length === 0) return 1;
  return known.reduce((sum, value) => sum + value, 0) / known.length;
}

function tokensPerSecond({ unit, perSecond, plainTokens }: fleet.Quota): number {
  return Math.max(1, unit === 'tokens' ? perSecond : perSecond * Math.max(1, plainTokens));
}
