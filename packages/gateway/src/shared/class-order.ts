/**
 * Decides whether a less urgent request yields although an upstream would accept it. When classes with different
 * objectives together request more of a model's copies than these serve, the requests with the longer objective may
 * join the longer queue, so that the most urgent requests would be refused most. A class stops yielding once a larger
 * share of its own requests was refused: without that bound, batch work would be refused for as long as any urgent
 * request is.
 */

export type ClassKey = {
  /** Requests of the same group go to the same upstreams. */
  group: string;
  /** 0 is the most urgent. */
  rank: number;
};

/** The more urgent class that was refused, and how long ago. */
export type MoreUrgent = { rank: number; sinceMs: number };

export type ClassOrder = {
  /** Records that a request was sent, or refused because its upstreams were overloaded. */
  recordDecision: (of: ClassKey, isRefused: boolean, nowMs: number) => void;
  /** The class that a request yields to; null where it need not yield. */
  yieldsTo: (of: ClassKey, nowMs: number) => MoreUrgent | null;
};

type Bucket = { index: number; asked: number; refused: number };

type ClassState = { buckets: readonly Bucket[]; refusedAtMs: number };

const WINDOW_MS = 2_000;
const BUCKET_MS = 250;
const BUCKET_COUNT = WINDOW_MS / BUCKET_MS;
/** For this long a refusal indicates that the class lacks capacity. */
const REFUSAL_VALID_MS = 500;
/**
 * A class yields until its own refusal rate exceeds that of the more urgent class by this much. Rates are allowed to
 * differ by 0.05, and requests that are decided at the same moment add to that.
 */
const REFUSAL_RATE_MARGIN = 0.1;

/** The share of its recent requests that was refused, counting `extraRequests` more as admitted. */
function refusalRate(buckets: readonly Bucket[], nowMs: number, extraRequests: number): number {
  const oldestIndex = Math.floor(nowMs / BUCKET_MS) - BUCKET_COUNT;
  const recent = buckets.filter(({ index }) => index > oldestIndex);
  const asked = recent.reduce((sum, bucket) => sum + bucket.asked, extraRequests);
  return asked === 0 ? 0 : recent.reduce((sum, bucket) => sum + bucket.refused, 0) / asked;
}

function withDecision(buckets: readonly Bucket[], isRefused: boolean, nowMs: number): Bucket[] {
  const index = Math.floor(nowMs / BUCKET_MS);
  const before = buckets.filter((bucket) => bucket.index > index - BUCKET_COUNT);
  const last = before.at(-1);
  const current = last?.index === index ? last : { index, asked: 0, refused: 0 };
  const rest = current === last ? before.slice(0, -1) : before;
  return [
    ...rest,
    {
      index,
      asked: current.asked + 1,
      refused: current.refused + (isRefused ? 1 : 0),
    },
  ];
}

export function createClassOrder(): ClassOrder {
  const byGroup = new Map<string, Map<number, ClassState>>();

  /** Removes groups without recent requests. */
  function removeIdleGroups(nowMs: number): void {
    const oldestIndex = Math.floor(nowMs / BUCKET_MS) - BUCKET_COUNT;
    byGroup.forEach((classes, group) => {
      const isIdle = [...classes.values()].every(
        ({ buckets }) => (buckets.at(-1)?.index ?? oldestIndex) <= oldestIndex,
      );
      if (isIdle) byGroup.delete(group);
    });
  }

  return {
    recordDecision: ({ group, rank }, isRefused, nowMs) => {
      if (!byGroup.has(group)) removeIdleGroups(nowMs);
      const classes = byGroup.get(group) ?? new Map<number, ClassState>();
      byGroup.set(group, classes);
      const before = classes.get(rank) ?? { buckets: [], refusedAtMs: -Infinity };
      classes.set(rank, {
        buckets: withDecision(before.buckets, isRefused, nowMs),
        refusedAtMs: isRefused ? nowMs : before.refusedAtMs,
      });
    },
    yieldsTo: ({ group, rank: requestRank }, nowMs) => {
      const classes = byGroup.get(group);
      if (classes === undefined) return null;
      const requestRate = refusalRate(classes.get(requestRank)?.buckets ?? [], nowMs, 1);
      const moreUrgent = [...classes].find(([rank, { buckets, refusedAtMs }]) => {
        if (rank >= requestRank || nowMs - refusedAtMs > REFUSAL_VALID_MS) return false;
        return refusalRate(buckets, nowMs, 0) + REFUSAL_RATE_MARGIN > requestRate;
      });
      return moreUrgent === undefined
        ? null
        : { rank: moreUrgent[0], sinceMs: nowMs - moreUrgent[1].refusedAtMs };
    },
  };
}
