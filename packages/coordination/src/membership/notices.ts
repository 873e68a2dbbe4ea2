/** Keeps the notices that this process has received or published, until they expire. */
import type { clocks } from '@copperlever/runtime';

import * as gossipBuffer from './gossip-buffer.js';
import type * as types from './types.js';

export type NoticeTable = types.Notices & {
  /** Stores a notice from a peer; true if it is new or clearly extends a known one. */
  applyNotice: (notice: types.Notice) => boolean;
  takePending: (transmitLimit: number) => types.Notice[];
  all: () => readonly types.Notice[];
};

/** The maximum number of notices in one message: about 800 bytes at 100 bytes each. */
const NOTICES_PER_MESSAGE = 8;
/** The maximum number of notices that are kept; the one that expires first is evicted. */
const NOTICES_MAX = 10_000;
/** Each hop shifts a notice's expiry a little, so only an expiry later by this much counts as a renewal. */
const RENEWAL_MIN_MS = 30_000;

export function createNoticeTable(clock: clocks.Clock): NoticeTable {
  const known = new Map<string, types.Notice>();
  const pending = gossipBuffer.createGossipBuffer<types.Notice>();
  const listeners: ((notice: types.Notice) => void)[] = [];

  function noticeId(topic: string, key: string): string {
    return `${topic}\u0000${key}`;
  }

  function sweep(): void {
    const nowMs = clock.nowMs();
    for (const [id, notice] of known) {
      if (notice.expiresAtMs <= nowMs) known.delete(id);
    }
    if (known.size <= NOTICES_MAX) return;
    const [first] = [...known].sort(([, a], [, b]) => a.expiresAtMs - b.expiresAtMs);
    if (first !== undefined) known.delete(first[0]);
  }

  function find(topic: string, key: string): types.Notice | undefined {
    const notice = known.get(noticeId(topic, key));
    return notice !== undefined && notice.expiresAtMs > clock.nowMs() ? notice : undefined;
  }

  function applyNotice(notice: types.Notice): boolean {
    if (notice.expiresAtMs <= clock.nowMs()) return false;
    const before = find(notice.topic, notice.key);
    if (before !== undefined && notice.expiresAtMs < before.expiresAtMs + RENEWAL_MIN_MS)
      return false;
    known.set(noticeId(notice.topic, notice.key), notice);
    pending.add(noticeId(notice.topic, notice.key), notice, clock.nowMs());
    sweep();
    for (const listener of listeners) listener(notice);
    return true;
  }

  return {
    publish: (notice) => {
      applyNotice(notice);
    },
    has: (topic, key) => find(topic, key) !== undefined,
    list: (topic) => {
      sweep();
      return [...known.values()].filter((notice) => notice.topic === topic);
    },
    all: () => {
      sweep();
      return [...known.values()];
    },
    onNotice: (listener) => {
      listeners.push(listener);
    },
    applyNotice,
    takePending: (transmitLimit) =>
      pending
        .take(NOTICES_PER_MESSAGE, transmitLimit, clock.nowMs())
        .filter((notice) => notice.expiresAtMs > clock.nowMs()),
  };
}
