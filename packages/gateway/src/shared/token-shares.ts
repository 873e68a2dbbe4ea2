/**
 * Which organisation's requests are refused first where a model's copies cannot serve all. Load: an organisation below
 * its quota asks for several times its usual. Harm prevented: the others are refused as often as it is, because of a
 * demand that is not theirs. Each admitted request advances its organisation's virtual time by its tokens over the
 * organisation's weight, as in start-time fair queueing (Goyal, Vin, Cheng 1996) and in the virtual token counters of
 * Sheng et al. (OSDI 2024). A request gives way to an organisation that was refused lately and is behind its own by more
 * than a few requests. Where no other was refused, none gives way.
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

/** The organisation that is behind, and by how many tokens at the usual weight. */
export type Behind = { organisation: string; byTokens: number };

export type TokenShares = {
  /** A request was sent, or refused because its upstreams were overloaded. */
  decided: (of: ShareKey, tokens: number, isRefused: boolean, nowMs: number) => void;
  /** Whom a request gives way to; null where it need not. */
  givesWayTo: (of: ShareKey, nowMs: number) => Behind | null;
};

type Account = {
  weight: number;
  /** Virtual time at which its admitted requests are paid for. */
  finish: number;
  askedAtMs: number;
  refused: { rank: number; atMs: number } | null;
};

type Group = {
  /** Advances by the tokens of all over the organisations that ask. */
  virtualTime: number;
  meanTokens: number;
  accounts: Map<string, Account>;
};

/** An organisation that has asked for nothing for so long takes no part in the shares. */
const ACTIVE_MS = 3_000;
/**
 * An organisation that was refused takes what others leave for so long. At the size designed for, a gateway gets a
 * request of an organisation every two seconds.
 */
const VALID_MS = 2_000;
/** How far two organisations may be apart, in requests of usual size. */
const SLACK_REQUESTS = 4;
/** What an organisation had beyond its share while nobody was refused counts up to so many requests, */
const AHEAD_REQUESTS = 10;
/** and what it did not use of it up to so many. */
const LAG_REQUESTS = 1;
const MEAN_SMOOTHING = 0.05;

function isActive(account: Account, nowMs: number): boolean {
  return nowMs - account.askedAtMs <= ACTIVE_MS;
}

export function createTokenShares(): TokenShares {
  const groups = new Map<string, Group>();

  function forgetOld(nowMs: number): void {
    groups.forEach((group, name) => {
      group.accounts.forEach((account, organisation) => {
        if (!isActive(account, nowMs)) group.accounts.delete(organisation);
      });
      if (group.accounts.size === 0) groups.delete(name);
    });
  }

  function groupOf(name: string, tokens: number, nowMs: number): Group {
    const known = groups.get(name);
    if (known !== undefined) return known;
    forgetOld(nowMs);
    const group: Group = { virtualTime: 0, meanTokens: tokens, accounts: new Map() };
    groups.set(name, group);
    return group;
  }

  function activeOf(group: Group, nowMs: number): readonly Account[] {
    return [...group.accounts.values()].filter((account) => isActive(account, nowMs));
  }

  /** Where it stands: what lies further back is forgotten. */
  function standOf(group: Group, account: Account | undefined): number {
    const least = group.virtualTime - LAG_REQUESTS * group.meanTokens;
    return Math.max(account?.finish ?? least, least);
  }

  return {
    decided: ({ group: name, organisation, weight, rank }, tokens, isRefused, nowMs) => {
      const group = groupOf(name, tokens, nowMs);
      const before = group.accounts.get(organisation);
      const finish = standOf(group, before);
      const refused = isRefused ? { rank, atMs: nowMs } : (before?.refused ?? null);
      const account: Account = { weight, finish, askedAtMs: nowMs, refused };
      group.accounts.set(organisation, account);
      if (isRefused) return;
      group.meanTokens += MEAN_SMOOTHING * (tokens - group.meanTokens);
      const active = activeOf(group, nowMs);
      const meanWeight = active.reduce((sum, other) => sum + other.weight, 0) / active.length;
      group.virtualTime += tokens / active.length;
      const most = group.virtualTime + AHEAD_REQUESTS * group.meanTokens;
      account.finish = Math.min(finish + (tokens * meanWeight) / weight, most);
    },
    givesWayTo: ({ group: name, organisation, rank }, nowMs) => {
      const group = groups.get(name);
      if (group === undefined) return null;
      const own = standOf(group, group.accounts.get(organisation));
      const slack = SLACK_REQUESTS * group.meanTokens;
      let found: Behind | null = null;
      group.accounts.forEach((other, otherName) => {
        const { refused } = other;
        if (otherName === organisation || refused === null) return;
        if (refused.rank > rank || nowMs - refused.atMs > VALID_MS) return;
        const byTokens = own - standOf(group, other);
        if (byTokens > Math.max(slack, found?.byTokens ?? 0)) {
          found = { organisation: otherName, byTokens };
        }
      });
      return found;
    },
  };
}

/** Where an organisation's weight is not set, its quota of tokens says what it was granted; without one, the others'. */
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
