/** The other gateways: their addresses, when each was last in contact, and which gateway holds the lease. */
export type PeerAddress = { gatewayId: string; address: string };

/** `millicores`: the processor time it may use; 0 while unknown. */
export type KnownPeer = PeerAddress & { millicores: number };

export type LeaseHolder = { holderId: string; term: number };

export type PeerRegistry = {
  /** A peer answered or asked, so it is alive. */
  noteContact: (peer: KnownPeer & { incarnation?: number }, nowMs: number) => void;
  /** Applies peers that another peer was recently in contact with. */
  applyPeers: (peers: readonly KnownPeer[], nowMs: number) => void;
  /** The peer at this address did not answer. */
  missed: (address: string, nowMs: number) => void;
  noteLeft: (gatewayId: string) => void;
  applyLease: (lease: LeaseHolder) => void;
  lease: () => LeaseHolder | null;
  addressOf: (gatewayId: string) => string | null;
  /** Tells its starts apart; null until it has answered or asked itself. */
  incarnationOf: (gatewayId: string) => number | null;
  /** Peers that were recently in contact with this gateway itself, to report to others. */
  recentContacts: (nowMs: number) => readonly KnownPeer[];
  live: (nowMs: number) => readonly KnownPeer[];
  /**
   * Applies the fleet size that a holder has stored. Gateways that start together do not know one another yet.
   */
  applyStoredFleetSize: (gatewayCount: number, nowMs: number) => void;
  /** Number of live gateways, including this one; at least the number that was stored recently. */
  fleetSize: (nowMs: number) => number;
  /** The largest processor time that a live peer other than the lease holder may use; 0 if none is known. */
  largestMillicores: (nowMs: number) => number;
  /** When the peer itself last answered or asked; null if never. */
  lastReceivedMs: (gatewayId: string) => number | null;
  /** Since when it has not answered; null while it answers, or if it was never asked. */
  silentSinceMs: (gatewayId: string) => number | null;
};

/** Several exchanges, so that one lost message does not make a gateway count as dead. */
const LIVE_MS = 6_000;
const REPORTED_MS = 3_000;
/** By then the live gateways are known. */
const STORED_SIZE_VALID_MS = 10_000;

type Entry = {
  address: string;
  millicores: number;
  incarnation: number | null;
  lastReceivedMs: number | null;
  lastKnownMs: number;
  silentSinceMs: number | null;
};

export function createPeerRegistry(selfId: string): PeerRegistry {
  const entries = new Map<string, Entry>();
  let lease: LeaseHolder | null = null;
  let storedSize = { gatewayCount: 1, atMs: -Infinity };

  function liveEntries(nowMs: number): [string, Entry][] {
    return [...entries].filter(([, entry]) => nowMs - entry.lastKnownMs < LIVE_MS);
  }

  function toPeer([gatewayId, { address, millicores }]: [string, Entry]): KnownPeer {
    return { gatewayId, address, millicores };
  }

  return {
    noteContact: ({ gatewayId, address, millicores, incarnation = null }, nowMs) => {
      if (gatewayId === selfId || gatewayId === '') return;
      entries.set(gatewayId, {
        address,
        millicores,
        incarnation,
        lastReceivedMs: nowMs,
        lastKnownMs: nowMs,
        silentSinceMs: null,
      });
    },
    applyPeers: (peers, nowMs) => {
      peers.forEach(({ gatewayId, address, millicores }) => {
        if (gatewayId === selfId) return;
        const before = entries.get(gatewayId);
        if (before === undefined) {
          entries.set(gatewayId, {
            address,
            millicores,
            incarnation: null,
            lastReceivedMs: null,
            lastKnownMs: nowMs,
            silentSinceMs: null,
          });
          return;
        }
        before.lastKnownMs = nowMs;
        if (before.millicores === 0) before.millicores = millicores;
      });
    },
    missed: (address, nowMs) => {
      for (const entry of entries.values()) {
        if (entry.address === address) entry.silentSinceMs ??= nowMs;
      }
    },
    noteLeft: (gatewayId) => {
      entries.delete(gatewayId);
    },
    applyLease: (update) => {
      if (update.holderId === '' || (lease !== null && update.term <= lease.term)) return;
      lease = update;
    },
    lease: () => lease,
    incarnationOf: (gatewayId) => entries.get(gatewayId)?.incarnation ?? null,
    addressOf: (gatewayId) => entries.get(gatewayId)?.address ?? null,
    recentContacts: (nowMs) =>
      [...entries]
        .filter(([, entry]) => nowMs - (entry.lastReceivedMs ?? -Infinity) < REPORTED_MS)
        .map(toPeer),
    live: (nowMs) => liveEntries(nowMs).map(toPeer),
    applyStoredFleetSize: (gatewayCount, nowMs) => {
      storedSize = { gatewayCount, atMs: nowMs };
    },
    fleetSize: (nowMs) => {
      const liveCount = liveEntries(nowMs).length + 1;
      const isRecent = nowMs - storedSize.atMs < STORED_SIZE_VALID_MS;
      return isRecent ? Math.max(storedSize.gatewayCount, liveCount) : liveCount;
    },
    largestMillicores: (nowMs) =>
      liveEntries(nowMs)
        .filter(([id]) => id !== lease?.holderId)
        .reduce((largest, [, { millicores }]) => Math.max(largest, millicores), 0),
    lastReceivedMs: (gatewayId) => entries.get(gatewayId)?.lastReceivedMs ?? null,
    silentSinceMs: (gatewayId) => entries.get(gatewayId)?.silentSinceMs ?? null,
  };
}
