/** The tokens that this gateway's own requests make: used here, or passed on to the holder of the lease. */
import * as retryLedgers from './retry-ledger.js';
import * as retryTokens from './retry-tokens.js';

export type OwnTokens = {
  recordRequest: (service: string, nowMs: number) => void;
  take: (service: string, nowMs: number) => boolean;
  level: (service: string, nowMs: number) => number;
  /** Passes all tokens on; what the message does not reach is lost. */
  passOn: (nowMs: number) => readonly retryLedgers.PassedTokens[];
};

const THOUSAND = 1_000;

type Entry = { pool: retryTokens.TokenPool; passedThousandths: number };

export function createOwnTokens(limits: retryLedgers.RetryLimits): OwnTokens {
  const entries = new Map<string, Entry>();
  const perRequest = retryLedgers.tokensPerRequest(limits);

  function entryOf(service: string): Entry {
    const known = entries.get(service);
    if (known !== undefined) return known;
    const pool = retryTokens.createTokenPool(retryLedgers.TOKEN_LIFE_MS);
    const entry = { pool, passedThousandths: 0 };
    entries.set(service, entry);
    return entry;
  }

  return {
    recordRequest: (service, nowMs) => entryOf(service).pool.add(perRequest, nowMs),
    take: (service, nowMs) => entryOf(service).pool.take(nowMs),
    level: (service, nowMs) => entryOf(service).pool.level(nowMs),
    passOn: (nowMs) =>
      [...entries].map(([service, entry]) => {
        entry.passedThousandths += Math.floor(entry.pool.drain(nowMs) * THOUSAND);
        return { service, thousandths: entry.passedThousandths };
      }),
  };
}
