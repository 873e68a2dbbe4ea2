/** Notices that this process knows, until they expire. */
import type { clocks } from '@copperlever/runtime';

import * as gossipBuffer from './gossip-buffer.js';
import type * as types from './types.js';

export type NoticeBoard = types.Notices & {
  /** Takes a notice from a peer; true if it was new. */
  learn: (notice: types.Notice) => boolean;
  takePending: (transmitLimit: number) => types.Notice[];
  all: () => readonly types.Notice[];
};

/** A message carries no more notices than this: about 800 bytes at 100 bytes each. */
const NOTICES_PER_MESSAGE = 8;
/** The most notices that are remembered; the one that expires first makes room. */
const NOTICES_MAX = 10_000;
/** Each hop delays a notice a little; only a much later end is a renewal. */
const RENEWAL_MS = 30_000;

export function createNoticeBoard(clock: clocks.Clock): NoticeBoard {
  const known = new Map<string, types.Notice>();
  const pending = gossipBuffer.createGossipBuffer<types.Notice>();
  const listeners: ((notice: types.Notice) => void)[] = [];

  function keyOf(topic: string, key: string): string {
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
    const notice = known.get(keyOf(topic, key));
    return notice !== undefined && notice.expiresAtMs > clock.nowMs() ? notice : undefined;
  }

  function learn(notice: types.Notice): boolean {
    if (notice.expiresAtMs <= clock.nowMs()) return false;
    const before = find(notice.topic, notice.key);
    if (before !== undefined && notice.expiresAtMs < before.expiresAtMs + RENEWAL_MS) return false;
    known.set(keyOf(notice.topic, notice.key), notice);
    pending.add(keyOf(notice.topic, notice.key), notice, clock.nowMs());
    sweep();
    for (const listener of listeners) listener(notice);
    return true;
  }

  return {
    publish: (notice) => {
      learn(notice);
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
    learn,
    takePending: (transmitLimit) =>
      pending
        .take(NOTICES_PER_MESSAGE, transmitLimit, clock.nowMs())
        .filter((notice) => notice.expiresAtMs > clock.nowMs()),
  };
}
