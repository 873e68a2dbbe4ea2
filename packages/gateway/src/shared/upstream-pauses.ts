/**
 * Until when each upstream takes no requests from this gateway, because it turned one away and named a time. Other
 * gateways may send to it meanwhile, so they are not told.
 */
export type UpstreamPauses = {
  /** Returns whether the pause now ends later than before. */
  notePause: (upstreamId: string, pauseMs: number, nowMs: number) => boolean;
  /** 0 if there is no pause. */
  leftMs: (upstreamId: string, nowMs: number) => number;
};

/** Longer times are errors, or the upstream starts again with another id before they end. */
const MAX_PAUSE_MS = 3_600_000;

export function createUpstreamPauses(): UpstreamPauses {
  const untilMs = new Map<string, number>();
  return {
    notePause: (upstreamId, pauseMs, nowMs) => {
      for (const [id, atMs] of untilMs) if (atMs <= nowMs) untilMs.delete(id);
      const endMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
      // An earlier pause still applies when a later answer names a shorter one.
      if (endMs <= (untilMs.get(upstreamId) ?? nowMs)) return false;
      untilMs.set(upstreamId, endMs);
      return true;
    },
    leftMs: (upstreamId, nowMs) => Math.max(0, (untilMs.get(upstreamId) ?? 0) - nowMs),
  };
}
