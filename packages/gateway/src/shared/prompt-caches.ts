/**
 * Estimates which prompts each upstream has cached, from what this gateway sent there. A part counts only if all parts
 * before it are cached as well, for the same model and adapter.
 */
import type * as dialects from '../types/dialects.js';

export type PromptCaches = {
  cachedTokens: (
    upstreamId: string,
    scope: string,
    parts: readonly dialects.PromptPart[],
  ) => number;
  recordSent: (upstreamId: string, scope: string, parts: readonly dialects.PromptPart[]) => void;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

/** About what one upstream's memory holds: some hundred prompts of a few parts each. */
const MAX_PARTS = 400;

export function createPromptCaches(): PromptCaches {
  const byUpstream = new Map<string, Map<string, true>>();
  return {
    cachedTokens: (upstreamId, scope, parts) => {
      const cachedKeys = byUpstream.get(upstreamId);
      if (cachedKeys === undefined) return 0;
      let tokens = 0;
      for (const part of parts) {
        if (!cachedKeys.has(`${scope} ${part.id}`)) return tokens;
        tokens += part.tokens;
      }
      return tokens;
    },
    recordSent: (upstreamId, scope, parts) => {
      const cachedKeys = byUpstream.get(upstreamId) ?? new Map<string, true>();
      byUpstream.set(upstreamId, cachedKeys);
      parts.forEach((part) => {
        const key = `${scope} ${part.id}`;
        cachedKeys.delete(key);
        cachedKeys.set(key, true);
      });
      for (const key of cachedKeys.keys()) {
        if (cachedKeys.size <= MAX_PARTS) break;
        cachedKeys.delete(key);
      }
    },
    retain: (upstreamIds) => {
      for (const id of [...byUpstream.keys()]) if (!upstreamIds.has(id)) byUpstream.delete(id);
    },
  };
}
