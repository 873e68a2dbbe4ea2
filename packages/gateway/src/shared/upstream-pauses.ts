/**
 * Until when upstreams want nothing from this gateway: each has turned a request away and said for how long. Another
 * gateway may send there meanwhile, so nobody else is told.
 */
export type UpstreamPauses = {
  /** Whether the pause now ends later than it did. */
  turnedAway: (upstreamId: string, pauseMs: number, nowMs: number) => boolean;
  /** 0 where there is no pause. */
  leftMs: (upstreamId: string, nowMs: number) => number;
};

/** What names a longer time is mistaken, or starts again as another upstream before. */
const LONGEST_MS = 3_600_000;

export function createUpstreamPauses(): UpstreamPauses {
  const untilMs = new Map<string, number>();
  return {
    turnedAway: (upstreamId, pauseMs, nowMs) => {
      for (const [id, atMs] of untilMs) if (atMs <= nowMs) untilMs.delete(id);
      const endMs = nowMs + Math.min(LONGEST_MS, pauseMs);
      // An earlier word still holds, though a later one names less.
      if (endMs <= (untilMs.get(upstreamId) ?? nowMs)) return false;
      untilMs.set(upstreamId, endMs);
      return true;
    },
    leftMs: (upstreamId, nowMs) => Math.max(0, (untilMs.get(upstreamId) ?? 0) - nowMs),
  };
}
