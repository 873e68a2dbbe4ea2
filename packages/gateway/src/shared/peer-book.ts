/** The other gateways: who they are, when each was last heard of, and who holds the lease. */
export type PeerAddress = { gatewayId: string; address: string };

/** `millicores`: what it may use of processors; 0 where nobody has told yet. */
export type HeardPeer = PeerAddress & { millicores: number };

export type LeaseHolder = { holderId: string; term: number };

export type PeerBook = {
  /** A peer answered or asked: it lives. */
  heardFrom: (peer: HeardPeer, nowMs: number) => void;
  /** Another peer has heard of it lately. */
  learned: (peers: readonly HeardPeer[], nowMs: number) => void;
  /** It did not answer. */
  missed: (address: string, nowMs: number) => void;
  left: (gatewayId: string) => void;
  noteLease: (lease: LeaseHolder) => void;
  lease: () => LeaseHolder | null;
  addressOf: (gatewayId: string) => string | null;
  /** Peers that were heard themselves lately, to tell others of. */
  heard: (nowMs: number) => readonly HeardPeer[];
  live: (nowMs: number) => readonly HeardPeer[];
  /** What a holder has written down: gateways that start together have not heard of one another yet. */
  noteFleetSize: (gatewayCount: number, nowMs: number) => void;
  /** Gateways that live, this one among them; at least as many as were written down lately. */
  fleetSize: (nowMs: number) => number;
  /** The most that a live peer other than the holder of the lease may use of processors; 0 if none is known. */
  largestMillicores: (nowMs: number) => number;
  /** When the peer itself last answered or asked; null if never. */
  lastHeardMs: (gatewayId: string) => number | null;
  /** Since when it has not answered, though asked; null while it answers. */
  silentSinceMs: (gatewayId: string) => number | null;
};

/** Several exchanges, so that one that is lost makes nobody dead. */
const LIVE_MS = 6_000;
const TELL_MS = 3_000;
/** By then those that live have been heard of. */
const WRITTEN_MS = 10_000;

type Entry = {
  address: string;
  millicores: number;
  heardMs: number | null;
  knownMs: number;
  silentSinceMs: number | null;
};

export function createPeerBook(selfId: string): PeerBook {
  const entries = new Map<string, Entry>();
  let lease: LeaseHolder | null = null;
  let written = { gatewayCount: 1, atMs: -Infinity };

  function liveEntries(nowMs: number): [string, Entry][] {
    return [...entries].filter(([, entry]) => nowMs - entry.knownMs < LIVE_MS);
  }

  function toPeer([gatewayId, { address, millicores }]: [string, Entry]): HeardPeer {
    return { gatewayId, address, millicores };
  }

  return {
    heardFrom: ({ gatewayId, address, millicores }, nowMs) => {
      if (gatewayId === selfId || gatewayId === '') return;
      entries.set(gatewayId, {
        address,
        millicores,
        heardMs: nowMs,
        knownMs: nowMs,
        silentSinceMs: null,
      });
    },
    learned: (peers, nowMs) => {
      peers.forEach(({ gatewayId, address, millicores }) => {
        if (gatewayId === selfId) return;
        const before = entries.get(gatewayId);
        if (before === undefined) {
          entries.set(gatewayId, {
            address,
            millicores,
            heardMs: null,
            knownMs: nowMs,
            silentSinceMs: null,
          });
          return;
        }
        before.knownMs = nowMs;
        if (before.millicores === 0) before.millicores = millicores;
      });
    },
    missed: (address, nowMs) => {
      for (const entry of entries.values()) {
        if (entry.address === address) entry.silentSinceMs ??= nowMs;
      }
    },
    left: (gatewayId) => {
      entries.delete(gatewayId);
    },
    noteLease: (news) => {
      if (news.holderId === '' || (lease !== null && news.term <= lease.term)) return;
      lease = news;
    },
    lease: () => lease,
    addressOf: (gatewayId) => entries.get(gatewayId)?.address ?? null,
    heard: (nowMs) =>
      [...entries]
        .filter(([, entry]) => nowMs - (entry.heardMs ?? -Infinity) < TELL_MS)
        .map(toPeer),
    live: (nowMs) => liveEntries(nowMs).map(toPeer),
    noteFleetSize: (gatewayCount, nowMs) => {
      written = { gatewayCount, atMs: nowMs };
    },
    fleetSize: (nowMs) => {
      const liveCount = liveEntries(nowMs).length + 1;
      const isRecent = nowMs - written.atMs < WRITTEN_MS;
      return isRecent ? Math.max(written.gatewayCount, liveCount) : liveCount;
    },
    largestMillicores: (nowMs) =>
      liveEntries(nowMs)
        .filter(([id]) => id !== lease?.holderId)
        .reduce((largest, [, { millicores }]) => Math.max(largest, millicores), 0),
    lastHeardMs: (gatewayId) => entries.get(gatewayId)?.heardMs ?? null,
    silentSinceMs: (gatewayId) => entries.get(gatewayId)?.silentSinceMs ?? null,
  };
}
