/**
 * Queue of the calls that wait in this gateway for a slot of their service, in the order in which they are sent. Many
 * gateways share few slots for short calls. In an upstream's own queue a call can neither be overtaken by a more urgent
 * one nor be sent to another upstream, and in an overload all calls would wait behind some that are already late.
 */
export type WaitingCall = {
  priority: number;
  /** The latest start with which it is still in time. */
  latestStartMs: number;
  bodyBytes: number;
};

export type PlainQueue<Entry extends WaitingCall> = {
  /** False when the queue would exceed its bounds. */
  add: (entry: Entry) => boolean;
  remove: (entry: Entry) => void;
  /** Number of waiting calls that go before one with these values. */
  aheadCount: (of: Pick<WaitingCall, 'priority' | 'latestStartMs'>) => number;
  /** In the order in which they are sent. */
  entries: () => readonly Entry[];
};

export type PlainQueueBounds = { maxEntries: number; maxBytes: number };

/** More urgent calls go first, and among equals the one with the earlier latest start. */
function goesBefore(
  left: Pick<WaitingCall, 'priority' | 'latestStartMs'>,
  right: Pick<WaitingCall, 'priority' | 'latestStartMs'>,
): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.latestStartMs <= right.latestStartMs;
}

export function createPlainQueue<Entry extends WaitingCall>(
  bounds: PlainQueueBounds,
): PlainQueue<Entry> {
  const waiting: Entry[] = [];
  let totalBytes = 0;
  return {
    add: (entry) => {
      const exceedsBytes = totalBytes + entry.bodyBytes > bounds.maxBytes;
      if (waiting.length >= bounds.maxEntries || exceedsBytes) return false;
      const index = waiting.findIndex((other) => !goesBefore(other, entry));
      waiting.splice(index < 0 ? waiting.length : index, 0, entry);
      totalBytes += entry.bodyBytes;
      return true;
    },
    remove: (entry) => {
      const index = waiting.indexOf(entry);
      if (index < 0) return;
      waiting.splice(index, 1);
      totalBytes -= entry.bodyBytes;
    },
    aheadCount: (of) => waiting.filter((other) => goesBefore(other, of)).length,
    entries: () => [...waiting],
  };
}

export type SlotShare = {
  /** Slots of one upstream. */
  slots: number;
  gatewayCount: number;
};

/** Calls per slot of an upstream with which all still end within an objective of about four service times. */
const MAX_CALLS_PER_SLOT = 2;

/**
 * The number of calls that a gateway may have at one upstream regardless of what it knows about its slots. Where many
 * gateways share few slots, each sees few calls: if each waited until it knew of a free slot, slots would idle while
 * all wait for each other. At an upstream that is currently slow the share stays in use for longer, so that it gets
 * fewer calls without any report about it.
 */
export function localShare({ slots, gatewayCount }: SlotShare): number {
  return Math.max(1, Math.ceil((MAX_CALLS_PER_SLOT * slots) / Math.max(1, gatewayCount)));
}

export type WaitInput = {
  /** Time until an upstream is expected to have a free slot. */
  freeInMs: number;
  /** Calls of this gateway that go before it. */
  aheadCount: number;
  /** This gateway's calls at upstreams. */
  localCount: number;
  callMs: number;
};

/**
 * The expected wait of a call. Each completion of one of this gateway's own calls lets the next one start, whatever the
 * other gateways do; the first may start earlier, when an upstream is known to have a free slot.
 */
export function expectedWaitMs({
  freeInMs,
  aheadCount,
  localCount: ownCount,
  callMs,
}: WaitInput): number {
  const completionIntervalMs = callMs / Math.max(1, ownCount);
  return Math.min(
    (aheadCount + 1) * completionIntervalMs,
    freeInMs + aheadCount * completionIntervalMs,
  );
}
