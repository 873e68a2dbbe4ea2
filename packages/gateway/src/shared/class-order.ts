/**
 * Whether a less urgent request gives way although an upstream would take it. Load: more is asked of a model's copies
 * than they serve, by classes with different objectives. Harm prevented: the longer an objective, the longer the queue
 * that its requests may join, so that the most urgent requests are refused most. A class of which a larger part was refused
 * already gives way no more: without that bound, batch work is refused for as long as any urgent request is.
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
  /** A request was sent, or refused because its upstreams were overloaded. */
  decided: (of: ClassKey, isRefused: boolean, nowMs: number) => void;
  /** What a request gives way to; null where it need not. */
  givesWayTo: (of: ClassKey, nowMs: number) => MoreUrgent | null;
};

type Bucket = { index: number; asked: number; refused: number };

type ClassState = { buckets: readonly Bucket[]; refusedAtMs: number };

const WINDOW_MS = 2_000;
const BUCKET_MS = 250;
const BUCKETS = WINDOW_MS / BUCKET_MS;
/** A refusal says so long that the class lacks capacity. */
const VALID_MS = 500;
/**
 * A class gives way until its own refusal rate is above that of the more urgent class by this much. Rates may differ by
 * 0.05, and requests that are decided on at the same moment add to that.
 */
const REFUSED_MORE = 0.1;

/** The part of its requests that was refused lately, with `extra` more that were let in. */
function refusedShare(buckets: readonly Bucket[], nowMs: number, extra: number): number {
  const oldest = Math.floor(nowMs / BUCKET_MS) - BUCKETS;
  const recent = buckets.filter(({ index }) => index > oldest);
  const asked = recent.reduce((sum, bucket) => sum + bucket.asked, extra);
  return asked === 0 ? 0 : recent.reduce((sum, bucket) => sum + bucket.refused, 0) / asked;
}

function counted(buckets: readonly Bucket[], isRefused: boolean, nowMs: number): Bucket[] {
  const index = Math.floor(nowMs / BUCKET_MS);
  const before = buckets.filter((bucket) => bucket.index > index - BUCKETS);
  const last = before.at(-1);
  const own = last?.index === index ? last : { index, asked: 0, refused: 0 };
  const rest = own === last ? before.slice(0, -1) : before;
  return [...rest, { index, asked: own.asked + 1, refused: own.refused + (isRefused ? 1 : 0) }];
}

export function createClassOrder(): ClassOrder {
  const byGroup = new Map<string, Map<number, ClassState>>();

  /** Groups of which nothing was asked lately say nothing. */
  function forgetOld(nowMs: number): void {
    const oldest = Math.floor(nowMs / BUCKET_MS) - BUCKETS;
    byGroup.forEach((classes, group) => {
      const isOld = [...classes.values()].every(
        ({ buckets }) => (buckets.at(-1)?.index ?? oldest) <= oldest,
      );
      if (isOld) byGroup.delete(group);
    });
  }

  return {
    decided: ({ group, rank }, isRefused, nowMs) => {
      if (!byGroup.has(group)) forgetOld(nowMs);
      const classes = byGroup.get(group) ?? new Map<number, ClassState>();
      byGroup.set(group, classes);
      const before = classes.get(rank) ?? { buckets: [], refusedAtMs: -Infinity };
      classes.set(rank, {
        buckets: counted(before.buckets, isRefused, nowMs),
        refusedAtMs: isRefused ? nowMs : before.refusedAtMs,
      });
    },
    givesWayTo: ({ group, rank: ownRank }, nowMs) => {
      const classes = byGroup.get(group);
      if (classes === undefined) return null;
      const ownShare = refusedShare(classes.get(ownRank)?.buckets ?? [], nowMs, 1);
      const found = [...classes].find(([rank, { buckets, refusedAtMs }]) => {
        if (rank >= ownRank || nowMs - refusedAtMs > VALID_MS) return false;
        return refusedShare(buckets, nowMs, 0) + REFUSED_MORE > ownShare;
      });
      return found === undefined ? null : { rank: found[0], sinceMs: nowMs - found[1].refusedAtMs };
    },
  };
}
