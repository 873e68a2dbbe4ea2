/**
 * Whether this gateway gets the list of upstreams from the holder of the lease, and need not watch the platform's
 * store itself. Load: dozens of gateways, and upstreams whose entries change with every order they take. Harm
 * prevented: each change wakes a call of every gateway, and each call is paid for. The holder tells with each answer
 * that its own watch is answered; once that is not heard, the gateway watches the store itself.
 */
export type ListFeed = {
  /** An answer of the holder has come. */
  heard: (answer: HolderAnswer, nowMs: number) => void;
  isFed: (nowMs: number) => boolean;
  /** Up to which change of the holder's list this gateway has all. */
  basis: () => ListBasis;
};

/** Changes are counted by one life of a holder, its `incarnation`; 0 is nobody's. */
export type ListBasis = { incarnation: number; version: number };

export type HolderAnswer = {
  isListLive: boolean;
  /** What this gateway has of the holder's list with this answer; null where it came without. */
  basis: ListBasis | null;
};

/**
 * The part of the time in which an upstream that leaves may still get work: several exchanges, so that one that is
 * lost or late starts no watch, and enough left to ask the store after it.
 */
const FED_SHARE = 0.4;
const NO_BASIS: ListBasis = { incarnation: 0, version: 0 };

export function createListFeed(drainTimeoutMs: number): ListFeed {
  let basis = NO_BASIS;
  let fedUntilMs = -Infinity;
  return {
    heard: (answer, nowMs) => {
      basis = answer.basis ?? basis;
      fedUntilMs =
        answer.isListLive && answer.basis !== null ? nowMs + FED_SHARE * drainTimeoutMs : -Infinity;
    },
    isFed: (nowMs) => nowMs < fedUntilMs,
    basis: () => basis,
  };
}
