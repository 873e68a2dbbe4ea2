/**
 * Replicates the origins of streams to other gateways, and requests those of streams that callers resume. When a gateway ends, its
 * records are lost just as its callers come back to other gateways. Each origin therefore has two replicas, at gateways that
 * follow from the request's id.
 */
import type { gatewayPeer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as peerRegistries from '../../shared/peer-registry.js';
import * as rendezvous from '../../shared/rendezvous.js';
import * as streamOrigins from '../../shared/stream-origins.js';
import type * as peerLinks from '../peers/peer-link.js';
import * as batches from './batches.js';
import * as originCodec from './origin-codec.js';

export type OriginPeersDeps = {
  clock: clocks.Clock;
  link: Pick<peerLinks.PeerLink, 'replicateOrigins' | 'findOrigins'>;
  book: Pick<peerRegistries.PeerRegistry, 'live' | 'incarnationOf' | 'lastReceivedMs'>;
  origins: streamOrigins.StreamOrigins;
  /** The only version that streams of the service can have begun at; null if there may be several. */
  onlyVersion: (service: string) => string | null;
  /** The lease holder, which keeps origins in the store; null if none is known. */
  holder: () => Peer | null;
  gatewayId: string;
  address: string;
  seedAddresses: readonly string[];
};

/** `source`: the gateway that answered. */
export type PeerAnswer = {
  found: originCodec.FoundOrigin;
  source: string | undefined;
  askedCount: number;
  answeredCount: number;
};

export type OriginPeers = {
  /** Sends it to other gateways, in the background. */
  replicate: (origin: streamOrigins.KeptOrigin) => void;
  /** Resolves with the first record, or once all that were asked have answered or their time is up. */
  find: (requestId: string, service: string) => Promise<PeerAnswer>;
  /** Handles replicas from another gateway. */
  storeReplicas: (
    request: gatewayPeer.ReplicateOriginsRequest,
  ) => gatewayPeer.ReplicateOriginsReply;
  /** Handles a lookup of another gateway. */
  findLocal: (request: gatewayPeer.FindOriginsRequest) => gatewayPeer.FindOriginsReply;
  /**
   * Replaces replicas at gateways that have ended or restarted. Returns whether there are other gateways to try for origins that
   * lack replicas.
   */
  replaceReplicas: () => boolean;
  /** There are other gateways, and none of them has been heard for a while. */
  isAlone: () => boolean;
};

type Peer = batches.Peer;

type Wanted = gatewayPeer.WantedOrigin & {
  resolve: (found: originCodec.FoundOrigin | null) => void;
};

/** The gateways with replicas, and two more, since gateways may differ in which others they know. */
const ASKED_MAX = 4;
/** Each gateway keeps a connection to every gateway of the pool. */
const REPLICA_POOL_MAX = 64;
/** Hashing the ids of hundreds of gateways for each stream would take about a millisecond. */
const POOL_CACHED_MS = 250;
const REPLICA_POOL_KEY = 'replicas of origins';
/** Streams that begin within this time share a message. No caller resumes a stream sooner. */
const REPLICATE_DELAY_MS = 10;
/** Streams that break off together are looked up together. */
const FIND_DELAY_MS = 2;
const REPLICATE_TIMEOUT_MS = 400;
/** A gateway that did not answer gets no replicas for so long, or records would go to ended gateways in turn without end. */
const SILENT_MS = 1_500;
/** The longest interval between two exchanges with the lease holder, and time for the reply. */
const CONTACT_MAX_AGE_MS = 750;
/** A hundred round trips. The caller waits meanwhile, but only if a gateway that was asked does not answer. */
const FIND_TIMEOUT_MS = 250;

export function createOriginPeers(deps: OriginPeersDeps): OriginPeers {
  const { clock, link, book, origins, gatewayId } = deps;
  let hasKnownOthers = deps.seedAddresses.some((address) => address !== deps.address);
  let pool: { peers: readonly Peer[]; atMs: number } = { peers: [], atMs: -Infinity };
  /** When gateways that did not answer get replicas again. */
  const silentUntilMs = new Map<string, number>();
  /** The holder that has been told of an origin. */
  const holderKeys = new WeakMap<streamOrigins.KeptOrigin, string>();
  let knownHolderKey: string | null = null;
  /** The live gateways when replicas were last replaced. */
  let knownKeys: ReadonlySet<string> = new Set();

  /** The gateways among which replicas are placed, this one included. */
  function replicaPool(): readonly Peer[] {
    const nowMs = clock.nowMs();
    const gateways: Peer[] = [{ gatewayId, address: deps.address }, ...book.live(nowMs)];
    if (gateways.length <= REPLICA_POOL_MAX) return gateways;
    if (nowMs - pool.atMs >= POOL_CACHED_MS) {
      const idOf = (peer: Peer) => peer.gatewayId;
      const peers = rendezvous.highest(REPLICA_POOL_KEY, gateways, idOf, REPLICA_POOL_MAX);
      pool = { peers, atMs: nowMs };
    }
    return pool.peers;
  }

  /** The first `count` other gateways for the replicas of this request's origin. */
  function candidates(requestId: string, count: number): Peer[] {
    return rendezvous
      .highest(requestId, replicaPool(), (peer) => peer.gatewayId, count + 1)
      .filter((peer) => peer.gatewayId !== gatewayId)
      .slice(0, count);
  }

  function keyOf(peer: Peer): string {
    return `${peer.gatewayId}#${book.incarnationOf(peer.gatewayId) ?? 0}`;
  }

  const replicateTo = batches.createBatches<streamOrigins.KeptOrigin>(
    clock,
    REPLICATE_DELAY_MS,
    async (peer, items) => {
      const nowMs = clock.nowMs();
      const request = {
        gatewayId,
        origins: items.map((origin) =>
          originCodec.toOriginMessage(origin.requestId, origin, nowMs),
        ),
      };
      const reply = await link.replicateOrigins(
        peer.address,
        request,
        nowMs + REPLICATE_TIMEOUT_MS,
      );
      if (reply.err) items.forEach((origin) => replaceReplica(origin, peer));
    },
  );

  const findFrom = batches.createBatches<Wanted>(clock, FIND_DELAY_MS, async (peer, items) => {
    const nowMs = clock.nowMs();
    const wanted = items.map(({ requestId, service }) => ({ requestId, service }));
    const request = { gatewayId, wanted };
    const reply = await link.findOrigins(peer.address, request, nowMs + FIND_TIMEOUT_MS);
    items.forEach(({ resolve }, index) => {
      if (reply.err) resolve(null);
      else resolve(originCodec.fromFoundMessage(reply.val.found[index], clock.nowMs()));
    });
  });

  function isSilent({ gatewayId: peerId }: Peer): boolean {
    return (silentUntilMs.get(peerId) ?? -Infinity) > clock.nowMs();
  }

  const tellHolder = batches.createBatches<streamOrigins.KeptOrigin>(
    clock,
    REPLICATE_DELAY_MS,
    async (peer, items) => {
      const nowMs = clock.nowMs();
      const told = items.map((one) => originCodec.toOriginMessage(one.requestId, one, nowMs));
      const request = { gatewayId, origins: told };
      const deadlineMs = nowMs + REPLICATE_TIMEOUT_MS;
      const reply = await link.replicateOrigins(peer.address, request, deadlineMs);
      if (reply.ok) return;
      silentUntilMs.set(peer.gatewayId, clock.nowMs() + SILENT_MS);
      items.forEach((origin) => holderKeys.delete(origin));
    },
  );

  /** Beside the replicas: the holder keeps origins in the store. */
  function replicateToHolder(origin: streamOrigins.KeptOrigin): void {
    const holder = deps.holder();
    if (holder === null || holder.gatewayId === gatewayId || isSilent(holder)) return;
    const key = keyOf(holder);
    if (holderKeys.get(origin) === key || origin.replicaKeys.has(key)) return;
    holderKeys.set(origin, key);
    tellHolder(holder, origin);
  }

  function replicate(origin: streamOrigins.KeptOrigin): void {
    replicateToHolder(origin);
    if (origin.replicaKeys.size >= origin.replicasWanted) return;
    candidates(origin.requestId, ASKED_MAX)
      .filter((peer) => !isSilent(peer) && !origin.replicaKeys.has(keyOf(peer)))
      .slice(0, origin.replicasWanted - origin.replicaKeys.size)
      .forEach((peer) => {
        origin.replicaKeys.add(keyOf(peer));
        replicateTo(peer, origin);
      });
  }

  /** The peer did not answer: the next in order gets the replica instead. */
  function replaceReplica(origin: streamOrigins.KeptOrigin, silent: Peer): void {
    silentUntilMs.set(silent.gatewayId, clock.nowMs() + SILENT_MS);
    origin.replicaKeys.delete(keyOf(silent));
    replicate(origin);
  }

  /** Whether a gateway that did not answer may be tried again. */
  function endSilences(): boolean {
    const ended = [...silentUntilMs].filter(([, untilMs]) => untilMs <= clock.nowMs());
    ended.forEach(([id]) => silentUntilMs.delete(id));
    return ended.length > 0;
  }

  /** Those to ask: a gateway that has just started knows few others but where some were. */
  function peersToAsk(requestId: string): Peer[] {
    const peers = candidates(requestId, ASKED_MAX);
    const seeds = deps.seedAddresses
      .filter((address) => address !== deps.address)
      .filter((address) => peers.every((peer) => peer.address !== address))
      .map((address) => ({ gatewayId: address, address }));
    return [...peers, ...seeds].slice(0, ASKED_MAX);
  }

  function isAlone(): boolean {
    const nowMs = clock.nowMs();
    const live = book.live(nowMs);
    hasKnownOthers ||= live.length > 0;
    const isHeard = live.some((peer) => {
      const receivedMs = book.lastReceivedMs(peer.gatewayId);
      return receivedMs !== null && nowMs - receivedMs <= CONTACT_MAX_AGE_MS;
    });
    return hasKnownOthers && !isHeard;
  }

  return {
    replicate,
    isAlone,
    find: (requestId, service) => {
      const peers = peersToAsk(requestId);
      const unknown = { kind: 'unknown' } as const;
      let best: PeerAnswer = {
        found: unknown,
        source: undefined,
        askedCount: peers.length,
        answeredCount: 0,
      };
      if (peers.length === 0) return Promise.resolve(best);
      return new Promise((resolve) => {
        let waitingCount = peers.length;
        peers.forEach((peer) => {
          findFrom(peer, {
            requestId,
            service,
            resolve: (found) => {
              waitingCount -= 1;
              const answeredCount = best.answeredCount + (found === null ? 0 : 1);
              best = { ...best, answeredCount };
              if (found !== null && found.kind !== 'unknown' && best.found.kind !== 'record') {
                best = { ...best, found, source: peer.gatewayId };
              }
              if (best.found.kind === 'record' || waitingCount === 0) resolve(best);
            },
          });
        });
      });
    },
    storeReplicas: (request) => {
      const nowMs = clock.nowMs();
      request.origins.forEach((message) => {
        const kept = origins.note(
          message.requestId,
          originCodec.fromOriginMessage(message, nowMs),
          nowMs,
          streamOrigins.REPLICA_COUNT - 1,
        );
        // The other replica: this gateway is the first or the second in order.
        const [other] = kept === null ? [] : candidates(message.requestId, 1);
        if (other !== undefined) kept?.replicaKeys.add(keyOf(other));
      });
      return {};
    },
    findLocal: (request) => {
      const nowMs = clock.nowMs();
      return {
        found: request.wanted.map(({ requestId, service }) => {
          const origin = origins.find(requestId, nowMs);
          const version = deps.onlyVersion(service);
          if (origin !== null) {
            return originCodec.toFoundMessage(requestId, { kind: 'record', origin }, nowMs);
          }
          const found =
            version === null
              ? ({ kind: 'unknown' } as const)
              : ({ kind: 'only-version', version } as const);
          return originCodec.toFoundMessage(requestId, found, nowMs);
        }),
      };
    },
    replaceReplicas: () => {
      const liveKeys = new Set(book.live(clock.nowMs()).map(keyOf));
      const isSame =
        liveKeys.size === knownKeys.size && [...liveKeys].every((key) => knownKeys.has(key));
      const holder = deps.holder();
      const holderKey = holder === null ? null : keyOf(holder);
      const mayRetry = endSilences() || (holderKey !== null && holderKey !== knownHolderKey);
      knownHolderKey = holderKey;
      if (isSame) return mayRetry;
      knownKeys = liveKeys;
      for (const origin of origins.all()) {
        const lost = [...origin.replicaKeys].filter((key) => !liveKeys.has(key));
        lost.forEach((key) => origin.replicaKeys.delete(key));
        if (lost.length > 0) replicate(origin);
      }
      return true;
    },
  };
}
