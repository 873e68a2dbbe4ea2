/** Keeps this process at the newest configuration version, read from the object store or from a peer. */
import { clocks } from '@copperlever/runtime';
import type { randoms } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

import * as configStore from './config-store.js';
import type * as types from './types.js';

/** Fetches versions from other processes. */
export type ConfigPeers = {
  /** Undefined if the peer has nothing newer or cannot be reached. */
  fetch: (
    memberId: string,
    heldVersion: number,
    heldPartHashes: readonly string[],
    deadlineMs: number,
  ) => Promise<types.SharedVersion | undefined>;
  /** A few peers that may hold the newest version, from this region if there are any. */
  candidates: () => readonly string[];
};

export type ConfigFollowerOptions<Document> = {
  config: Pick<types.ConfigStore<Document>, 'read' | 'assemble'>;
  store: Pick<objectStore.ObjectStore, 'watch'>;
  peers: ConfigPeers;
  /** Whether this process should hold a watch now; see watcher-selection. */
  isWatcher: () => boolean;
  clock: clocks.Clock;
  random: randoms.Random;
};

/** The maximum random delay before a reported version is fetched, so that its holders are not overloaded. */
const FETCH_JITTER_MS = 200;
const PEER_DEADLINE_MS = 2_000;
const READ_DEADLINE_MS = 5_000;
/** A watch is renewed this often, so that one whose connection went silent is soon replaced. */
const WATCH_MS = 20_000;
const WATCHER_RETRY_MS = 1_000;
/** How often a process checks whether it has become a watcher. */
const WATCHER_CHECK_PERIOD_MS = 1_000;
/**
 * How often a process that does not watch reads the head, in case gossip never reported a version: 1,140 processes make
 * two reads a second.
 */
const SAFETY_READ_PERIOD_MS = 600_000;
/**
 * Before the first version, the object store is read at this interval, which doubles up to the maximum: 1,140 processes
 * without a configuration then make 70 reads a second. Gossip reports the first version.
 */
const FIRST_READ_MS = 2_000;
const FIRST_READ_MAX_MS = 16_000;

export function createConfigFollower<Document>(
  options: ConfigFollowerOptions<Document>,
): types.ConfigFollower<Document> {
  const { clock, random, config, peers } = options;
  const listeners: ((version: types.ConfigVersion<Document>) => void)[] = [];
  const stopping = new AbortController();
  let held: types.StoredVersion<Document> | null = null;
  /** The newest version that peers reported, and the peers that did, the latest last. */
  let announced = { version: 0, memberIds: [] as string[] };
  let isFetching = false;
  let loopEnded: Promise<void> = Promise.resolve();

  function heldVersion(): number {
    return held?.version ?? 0;
  }

  /**
   * Adopts a newer version. A peer or a slow read may return an older one, which would restore settings that operators
   * have replaced; this is the only place that sets `held`.
   */
  function adopt(version: types.StoredVersion<Document>): void {
    if (version.version <= heldVersion()) return;
    held = version;
    for (const listener of listeners) listener(version);
  }

  async function fetchFrom(memberId: string): Promise<boolean> {
    const hashes = [...(held?.parts.keys() ?? [])];
    const deadlineMs = clock.nowMs() + PEER_DEADLINE_MS;
    const shared = await peers.fetch(memberId, heldVersion(), hashes, deadlineMs);
    if (shared === undefined) return false;
    const parts = new Map(held?.parts ?? []);
    for (const part of shared.parts) parts.set(part.hash, part.data);
    const version = config.assemble(shared.head, parts);
    if (version === undefined) return false;
    adopt(version);
    return true;
  }

  async function readStore(): Promise<boolean> {
    const read = await config.read(clock.nowMs() + READ_DEADLINE_MS, held?.parts);
    if (read.err || read.val === null) return false;
    adopt(read.val);
    return true;
  }

  /** Fetches the reported version from the peers that reported it, then from the store; one fetch runs at a time. */
  async function catchUp(): Promise<void> {
    if (isFetching) return;
    isFetching = true;
    try {
      await clocks.sleepUntil(
        clock,
        clock.nowMs() + random.below(FETCH_JITTER_MS),
        stopping.signal,
      );
      while (announced.version > heldVersion() && !stopping.signal.aborted) {
        const memberId = announced.memberIds.pop();
        if (memberId === undefined) break;
        await fetchFrom(memberId);
      }
      if (announced.version > heldVersion() && !stopping.signal.aborted) await readStore();
    } finally {
      isFetching = false;
    }
  }

  /** Resolves when the work ends or the follower is stopped, so that a waiting watch does not delay a stop. */
  function untilStopped<Value>(work: Promise<Value>): Promise<Value | 'stopped'> {
    return new Promise((resolve) => {
      const onAbort = () => resolve('stopped');
      stopping.signal.addEventListener('abort', onAbort, { once: true });
      void work.then((value) => {
        stopping.signal.removeEventListener('abort', onAbort);
        resolve(value);
      });
    });
  }

  async function pause(durationMs: number): Promise<void> {
    await clocks.sleepUntil(clock, clock.nowMs() + durationMs, stopping.signal);
  }

  /** Holds one watch until it ends; `revision` is that of the whole store. */
  async function watchOnce(revision: number): Promise<number> {
    const deadlineMs = clock.nowMs() + WATCH_MS;
    const watch = options.store.watch(configStore.HEAD_KEY, revision, deadlineMs);
    const reply = await untilStopped(watch);
    if (reply === 'stopped') return revision;
    if (reply.err) {
      await pause(WATCHER_RETRY_MS * (1 + random.fraction()));
      return revision;
    }
    // The revision advances only after the read, so that a change in between ends the next watch at once.
    if (reply.val.changedKeys.length > 0 && !(await readStore())) {
      await pause(WATCHER_RETRY_MS);
      return revision;
    }
    return reply.val.revision;
  }

  async function fetchFirstVersion(): Promise<void> {
    for (const memberId of peers.candidates()) {
      if (held !== null || (await fetchFrom(memberId))) return;
    }
    // When a whole fleet starts, the watchers read first and the others get the version from them by gossip.
    if (!options.isWatcher()) await pause(FIRST_READ_MS * random.fraction());
    if (held === null && !stopping.signal.aborted) await readStore();
  }

  async function run(): Promise<void> {
    let revision = 0;
    let firstReadMs = FIRST_READ_MS;
    let safetyReadAtMs = clock.nowMs() + SAFETY_READ_PERIOD_MS * random.fraction();
    while (!stopping.signal.aborted) {
      if (held === null) {
        await fetchFirstVersion();
        if (held === null) await pause(firstReadMs * (0.5 + random.fraction()));
        firstReadMs = Math.min(FIRST_READ_MAX_MS, firstReadMs * 2);
      } else if (options.isWatcher()) {
        revision = await watchOnce(revision);
      } else {
        revision = 0;
        await pause(WATCHER_CHECK_PERIOD_MS);
        if (clock.nowMs() >= safetyReadAtMs) {
          safetyReadAtMs = clock.nowMs() + SAFETY_READ_PERIOD_MS * (0.5 + random.fraction());
          await readStore();
        }
      }
    }
  }

  return {
    current: () => held,
    version: heldVersion,
    onPeerVersion: (version, memberId) => {
      if (version <= heldVersion() || version < announced.version) return;
      if (version > announced.version) announced = { version, memberIds: [] };
      if (!announced.memberIds.includes(memberId)) announced.memberIds.push(memberId);
      void catchUp();
    },
    offer: adopt,
    share: (version, partHashes) => {
      if (held === null || held.version <= version) return undefined;
      const peerHashes = new Set(partHashes);
      const parts = [...held.parts]
        .filter(([hash]) => !peerHashes.has(hash))
        .map(([hash, data]) => ({ hash, data }));
      return { head: held.head, parts };
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    start: () => {
      loopEnded = run();
    },
    stop: async () => {
      stopping.abort();
      await clocks.raceDeadline(clock, clock.nowMs() + READ_DEADLINE_MS, loopEnded);
    },
  };
}
