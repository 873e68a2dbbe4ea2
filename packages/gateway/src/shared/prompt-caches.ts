/**
 * What each upstream probably keeps of prompts, from what this gateway sent it. A part counts only if
 * all parts before it are kept as well, for the same model and adapter.
 */
import type * as dialects from '../types/dialects.js';

export type PromptCaches = {
  cachedTokens: (
    upstreamId: string,
    scope: string,
    parts: readonly dialects.PromptPart[],
  ) => number;
  sent: (upstreamId: string, scope: string, parts: readonly dialects.PromptPart[]) => void;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

/** About what one upstream's memory holds: some hundred prompts of a few parts each. */
const PARTS_MAX = 400;

export function createPromptCaches(): PromptCaches {
  const byUpstream = new Map<string, Map<string, true>>();
  return {
    cachedTokens: (upstreamId, scope, parts) => {
      const kept = byUpstream.get(upstreamId);
      if (kept === undefined) return 0;
      let tokens = 0;
      for (const part of parts) {
        if (!kept.has(`${scope} ${part.id}`)) return tokens;
        tokens += part.tokens;
      }
      return tokens;
    },
    sent: (upstreamId, scope, parts) => {
      const kept = byUpstream.get(upstreamId) ?? new Map<string, true>();
      byUpstream.set(upstreamId, kept);
      parts.forEach((part) => {
        const key = `${scope} ${part.id}`;
        kept.delete(key);
        kept.set(key, true);
      });
      for (const key of kept.keys()) {
        if (kept.size <= PARTS_MAX) break;
        kept.delete(key);
      }
    },
    retain: (upstreamIds) => {
      for (const id of [...byUpstream.keys()]) if (!upstreamIds.has(id)) byUpstream.delete(id);
    },
  };
}
