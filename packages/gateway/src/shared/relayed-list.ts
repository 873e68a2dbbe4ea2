/**
 * The age of this gateway's list of upstreams, and whether the lease holder relays it, so that this gateway need not
 * watch the platform's store itself. With dozens of gateways, and upstreams whose entries change with every order
 * they take, each change would wake a paid call of every gateway. Each reply of the holder states how long ago the
 * store confirmed its list; once that is too long ago, the gateway asks the store itself.
 */
import type * as listBudgets from './list-budget.js';

export type RelayedList = {
  /** The store confirmed this gateway's list as of `asOfMs`, by an answer to this gateway. */
  noteConfirmed: (asOfMs: number) => void;
  /** Applies a reply of the holder. */
  applyReply: (reply: HolderReply) => void;
  isRelayed: (nowMs: number) => boolean;
  /** This gateway's list is not the holder's though it should be: the store is to be asked. */
  distrust: () => void;
  /** Time since the store confirmed the list, directly or through the holder; null if it never did. */
  ageMs: (nowMs: number) => number | null;
  /** The same by the store's answers to this gateway alone, which is what other gateways may rely on. */
  directAgeMs: (nowMs: number) => number | null;
  /** The version of the holder's list up to which this gateway has all changes. */
  version: () => ListVersion;
};

/** Versions count within one `incarnation` of a holder. 0 belongs to none. */
export type ListVersion = { incarnation: number; version: number };

export type HolderReply = {
  /**
   * When the store confirmed the holder's list, on this gateway's clock; null if the holder does not know.
   */
  asOfMs: number | null;
  /**
   * The version of the holder's list that this gateway has with this reply; null if the reply had no list.
   */
  listVersion: ListVersion | null;
};

const NO_VERSION: ListVersion = { incarnation: 0, version: 0 };

export function createRelayedList({
  maxRelayedAgeMs: askAtAgeMs,
}: Pick<listBudgets.ListBudget, 'maxRelayedAgeMs'>): RelayedList {
  let basis = NO_VERSION;
  let directAsOfMs: number | null = null;
  let relayedAsOfMs: number | null = null;

  function since(asOfMs: number | null, nowMs: number): number | null {
    return asOfMs === null ? null : nowMs - asOfMs;
  }

  return {
    noteConfirmed: (asOfMs) => {
      directAsOfMs = Math.max(directAsOfMs ?? -Infinity, asOfMs);
    },
    applyReply: (reply) => {
      basis = reply.listVersion ?? basis;
      if (reply.listVersion === null || reply.asOfMs === null) relayedAsOfMs = null;
      else relayedAsOfMs = Math.max(relayedAsOfMs ?? -Infinity, reply.asOfMs);
    },
    distrust: () => {
      relayedAsOfMs = null;
    },
    isRelayed: (nowMs) => relayedAsOfMs !== null && nowMs - relayedAsOfMs < askAtAgeMs,
    ageMs: (nowMs) => {
      const known = [directAsOfMs, relayedAsOfMs].filter((asOfMs) => asOfMs !== null);
      return known.length === 0 ? null : nowMs - Math.max(...known);
    },
    directAgeMs: (nowMs) => since(directAsOfMs, nowMs),
    version: () => basis,
  };
}
