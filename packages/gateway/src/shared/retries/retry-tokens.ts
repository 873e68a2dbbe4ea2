/**
 * Tokens for retries, each of which may be used once and only for a short time. So however they are passed on between gateways,
 * and whichever gateways are cut off, killed or started meanwhile, no more retries are sent in any window than tokens were made
 * in it and just before.
 */
export type TokenPool = {
  add: (tokens: number, nowMs: number) => void;
  /** Takes one whole token, the oldest first; false if there is none. */
  take: (nowMs: number) => boolean;
  /** Takes all. */
  drain: (nowMs: number) => number;
  level: (nowMs: number) => number;
};

type Batch = { expiresMs: number; tokens: number };

/** Tokens of so long a time are kept together. */
const BATCH_MS = 25;

export function createTokenPool(lifeMs: number): TokenPool {
  let batches: Batch[] = [];

  function level(nowMs: number): number {
    batches = batches.filter(({ expiresMs }) => expiresMs > nowMs);
    return batches.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  function remove(count: number): void {
    let left = count;
    batches = batches.flatMap((batch) => {
      const taken = Math.min(left, batch.tokens);
      left -= taken;
      return taken < batch.tokens ? [{ ...batch, tokens: batch.tokens - taken }] : [];
    });
  }

  return {
    add: (tokens, nowMs) => {
      const last = batches.at(-1);
      const expiresMs = nowMs + lifeMs;
      if (last !== undefined && expiresMs - last.expiresMs < BATCH_MS) last.tokens += tokens;
      else batches.push({ expiresMs, tokens });
    },
    take: (nowMs) => {
      if (level(nowMs) < 1) return false;
      remove(1);
      return true;
    },
    drain: (nowMs) => {
      const all = level(nowMs);
      batches = [];
      return all;
    },
    level,
  };
}
