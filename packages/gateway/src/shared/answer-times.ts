/**
 * Remembers how long the latest answers of each route and model took, from their sending to their end, waits at their upstream
 * included. A planned stop asks whether a request that is sent now will be over before its end: means would not tell, since
 * answers of one kind may be short or long.
 */
export type RequestKind = { route: string; model: string | null };

export type AnswerTimes = {
  record: (kind: RequestKind, tookMs: number) => void;
  /** Nearly all answers took at most that long; null while too few are known. */
  usualMs: (kind: RequestKind) => number | null;
};

/** A few seconds of a busy route. */
const KEPT_COUNT = 64;
/** With fewer the longest ones may not have come yet. */
const MIN_COUNT = 20;
/** Of 64 answers all but the longest: a single outlier would have a stop refuse what could be served. */
const USUAL_SHARE = 0.98;
/** More than the routes and models of large deployments; some 300 bytes each. */
const KINDS_MAX = 4_096;

/** `usualMs`: since the latest answer; null until it is asked for. */
type Kept = { tookMs: Float32Array; count: number; usualMs: number | null };

function usualOf(tookMs: Float32Array): number | null {
  return tookMs.toSorted()[Math.ceil(USUAL_SHARE * tookMs.length) - 1] ?? null;
}

export function createAnswerTimes(): AnswerTimes {
  const kinds = new Map<string, Kept>();
  const keyOf = ({ route, model }: RequestKind) => (model === null ? route : `${route} ${model}`);

  function add(key: string): Kept {
    const [first] = kinds.keys();
    if (kinds.size >= KINDS_MAX && first !== undefined) kinds.delete(first);
    const kept = { tookMs: new Float32Array(KEPT_COUNT), count: 0, usualMs: null };
    kinds.set(key, kept);
    return kept;
  }

  return {
    record: (kind, tookMs) => {
      const key = keyOf(kind);
      const kept = kinds.get(key) ?? add(key);
      kept.tookMs[kept.count % KEPT_COUNT] = tookMs;
      kept.count += 1;
      kept.usualMs = null;
    },
    usualMs: (kind) => {
      const kept = kinds.get(keyOf(kind));
      if (kept === undefined || kept.count < MIN_COUNT) return null;
      kept.usualMs ??= usualOf(kept.tookMs.subarray(0, Math.min(kept.count, KEPT_COUNT)));
      return kept.usualMs;
    },
  };
}
