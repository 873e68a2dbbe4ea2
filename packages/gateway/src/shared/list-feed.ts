/**
 * How old this gateway's list of upstreams is, and whether it gets it from the holder of the lease, so that it need not
 * watch the platform's store itself. Load: dozens of gateways, and upstreams whose entries change with every order they
 * take. Harm prevented: each change wakes a call of every gateway, and each call is paid for. With each answer the holder
 * tells how long ago the store vouched for its list; once that is too long ago, the gateway asks the store itself.
 */
import type * as listBudgets from './list-budget.js';

export type ListFeed = {
  /** The store vouched for this gateway's list as of then, by an answer to this gateway. */
  vouched: (asOfMs: number) => void;
  /** An answer of the holder has come. */
  heard: (answer: HolderAnswer) => void;
  isFed: (nowMs: number) => boolean;
  /** Since the store vouched for the list, by whichever way; null if it never has. */
  ageMs: (nowMs: number) => number | null;
  /** The same by its own answers alone, which is what others may rely on. */
  ownAgeMs: (nowMs: number) => number | null;
  /** Up to which change of the holder's list this gateway has all. */
  basis: () => ListBasis;
};

/** Changes are counted by one life of a holder, its `incarnation`; 0 is nobody's. */
export type ListBasis = { incarnation: number; version: number };

export type HolderAnswer = {
  /** When the store vouched for the holder's list, on this gateway's clock; null where the holder cannot say. */
  asOfMs: number | null;
  /** What this gateway has of the holder's list with this answer; null where it came without. */
  basis: ListBasis | null;
};

const NO_BASIS: ListBasis = { incarnation: 0, version: 0 };

export function createListFeed({
  askAtAgeMs,
}: Pick<listBudgets.ListBudget, 'askAtAgeMs'>): ListFeed {
  let basis = NO_BASIS;
  let ownAsOfMs: number | null = null;
  let toldAsOfMs: number | null = null;

  function since(asOfMs: number | null, nowMs: number): number | null {
    return asOfMs === null ? null : nowMs - asOfMs;
  }

  return {
    vouched: (asOfMs) => {
      ownAsOfMs = Math.max(ownAsOfMs ?? -Infinity, asOfMs);
    },
    heard: (answer) => {
      basis = answer.basis ?? basis;
      if (answer.basis === null || answer.asOfMs === null) toldAsOfMs = null;
      else toldAsOfMs = Math.max(toldAsOfMs ?? -Infinity, answer.asOfMs);
    },
    isFed: (nowMs) => toldAsOfMs !== null && nowMs - toldAsOfMs < askAtAgeMs,
    ageMs: (nowMs) => {
      const known = [ownAsOfMs, toldAsOfMs].filter((asOfMs) => asOfMs !== null);
      return known.length === 0 ? null : nowMs - Math.max(...known);
    },
    ownAgeMs: (nowMs) => since(ownAsOfMs, nowMs),
    basis: () => basis,
  };
}
