/**
 * Calls that wait in this gateway for a slot of their service, in the order in which they go. Load: short calls on a
 * few slots that many gateways share. Harm prevented: in an upstream's queue a call can be neither overtaken by a more
 * urgent one nor sent to another upstream, and in an overload all wait behind calls that are late already.
 */
export type WaitingCall = {
  priority: number;
  /** When it has to start at the latest to be in time. */
  latestStartMs: number;
  bodyBytes: number;
};

export type PlainQueue<Entry extends WaitingCall> = {
  /** False when it would hold more than its bounds. */
  add: (entry: Entry) => boolean;
  remove: (entry: Entry) => void;
  /** How many of those that wait go before one with these. */
  aheadCount: (of: Pick<WaitingCall, 'priority' | 'latestStartMs'>) => number;
  /** In the order in which they go. */
  entries: () => readonly Entry[];
};

export type PlainQueueBounds = { entriesMax: number; bytesMax: number };

/** More urgent ones first, and among equals the one that can wait for the shorter time. */
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
  let bytes = 0;
  return {
    add: (entry) => {
      const isOver = bytes + entry.bodyBytes > bounds.bytesMax;
      if (waiting.length >= bounds.entriesMax || isOver) return false;
      const index = waiting.findIndex((other) => !goesBefore(other, entry));
      waiting.splice(index < 0 ? waiting.length : index, 0, entry);
      bytes += entry.bodyBytes;
      return true;
    },
    remove: (entry) => {
      const index = waiting.indexOf(entry);
      if (index < 0) return;
      waiting.splice(index, 1);
      bytes -= entry.bodyBytes;
    },
    aheadCount: (of) => waiting.filter((other) => goesBefore(other, of)).length,
    entries: () => [...waiting],
  };
}

export type SlotShare = {
  /** Of one upstream. */
  slots: number;
  gatewayCount: number;
};

/** Calls at an upstream for each of its slots that still end within an objective of some four service times. */
const CALLS_PER_SLOT = 2;

/**
 * The calls that a gateway may have at one upstream whatever it knows of its slots. Where many gateways share few slots
 * each sees few calls: were it to wait until it knows of a free slot, slots would idle while each waits for the others. At
 * an upstream that is slow at the moment the share stays in use for longer, so that it gets fewer calls without any
 * news of it.
 */
export function ownShare({ slots, gatewayCount }: SlotShare): number {
  return Math.max(1, Math.ceil((CALLS_PER_SLOT * slots) / Math.max(1, gatewayCount)));
}

export type StartInput = {
  /** Until an upstream is expected to have a slot. */
  freeInMs: number;
  /** Calls of this gateway that go before it. */
  aheadCount: number;
  /** This gateway's calls at upstreams. */
  ownCount: number;
  callMs: number;
};

/**
 * How long a call would wait. Each end of one of this gateway's own calls lets the next one go, whatever the others do;
 * the first may go earlier, when upstreams are known to have a slot.
 */
export function startInMs({ freeInMs, aheadCount, ownCount, callMs }: StartInput): number {
  const perCallMs = callMs / Math.max(1, ownCount);
  return Math.min((aheadCount + 1) * perCallMs, freeInMs + aheadCount * perCallMs);
}
