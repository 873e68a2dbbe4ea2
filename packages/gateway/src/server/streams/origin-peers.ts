/**
 * Has other gateways keep the origins of streams, and asks them for those of streams that callers take up. A gateway that ends
 * takes what it knows with it, and its callers come back to others just then; so each origin is kept by two more, which any
 * gateway works out from the request's id.
 */
import type { gatewayPeer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as peerRegistries from '../../shared/peer-registry.js';
import * as rendezvous from '../../shared/rendezvous.js';
import type * as streamOrigins from '../../shared/stream-origins.js';
import type * as peerLinks from '../peers/peer-link.js';
import * as originCodec from './origin-codec.js';

export type OriginPeersDeps = {
  clock: clocks.Clock;
  link: Pick<peerLinks.PeerLink, 'keepOrigins' | 'findOrigins'>;
  book: Pick<peerRegistries.PeerRegistry, 'live' | 'incarnationOf'>;
  origins: streamOrigins.StreamOrigins;
  /** The only version that streams of the service can have begun at; null if there may be several. */
  onlyVersion: (service: string) => string | null;
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
  /** Has other gateways keep it, in the background. */
  replicate: (origin: streamOrigins.KeptOrigin) => void;
  /** Resolves with the first record, or once all that were asked have answered or their time is up. */
  find: (requestId: string, service: string) => Promise<PeerAnswer>;
  /** Another gateway has this one keep origins. */
  keep: (request: gatewayPeer.KeepOriginsRequest) => gatewayPeer.KeepOriginsReply;
  /** Another gateway asks. */
  answer: (request: gatewayPeer.FindOriginsRequest) => gatewayPeer.FindOriginsReply;
  /** Replaces keepers that have ended or started again. Returns whether other gateways are known than the last time. */
  replaceKeepers: () => boolean;
};

type Peer = { gatewayId: string; address: string };

type Wanted = gatewayPeer.WantedOrigin & {
  resolve: (found: originCodec.FoundOrigin | null) => void;
};

/** Two, so that the gateway that began a stream and one more may end at the same time. */
const KEEPERS = 2;
/** The keepers, and two more, since not all gateways know the same others. */
const ASKED_MAX = 4;
/** Each gateway has connections to all keepers. */
const KEEPER_POOL_MAX = 64;
const KEEPER_POOL_KEY = 'keepers of origins';
/** Streams that begin together share a message; a caller comes back no sooner. */
const KEEP_DELAY_MS = 10;
/** Streams that break together are asked for together. */
const FIND_DELAY_MS = 2;
const KEEP_TIMEOUT_MS = 400;
/** Hundred round trips. It is time that the caller waits, at the latest until other gateways have answered. */
const FIND_TIMEOUT_MS = 250;

/** Collects items for each address and hands them over together. */
function createBatches<Item>(
  clock: clocks.Clock,
  delayMs: number,
  send: (peer: Peer, items: readonly Item[]) => void,
): (peer: Peer, item: Item) => void {
  const batches = new Map<string, Item[]>();
  return (peer, item) => {
    const waiting = batches.get(peer.address);
    if (waiting !== undefined) {
      waiting.push(item);
      return;
    }
    const items = [item];
    batches.set(peer.address, items);
    clock.schedule(clock.nowMs() + delayMs, () => {
      batches.delete(peer.address);
      send(peer, items);
    });
  };
}

export function createOriginPeers(deps: OriginPeersDeps): OriginPeers {
  const { clock, link, book, origins, gatewayId } = deps;
  /** The live gateways when keepers were last replaced. */
  let knownKeys: ReadonlySet<string> = new Set();

  /** The gateways that may keep the origin of this request, this one left out; those that should come first. */
  function candidates(requestId: string, count: number): Peer[] {
    const gateways: Peer[] = [{ gatewayId, address: deps.address }, ...book.live(clock.nowMs())];
    const pool =
      gateways.length <= KEEPER_POOL_MAX
        ? gateways
        : rendezvous.highest(KEEPER_POOL_KEY, gateways, (peer) => peer.gatewayId, KEEPER_POOL_MAX);
    return rendezvous
      .highest(requestId, pool, (peer) => peer.gatewayId, count + 1)
      .filter((peer) => peer.gatewayId !== gatewayId)
      .slice(0, count);
  }

  function keyOf(peer: Peer): string {
    return `${peer.gatewayId}#${book.incarnationOf(peer.gatewayId) ?? 0}`;
  }

  const keepAt = createBatches<streamOrigins.KeptOrigin>(
    clock,
    KEEP_DELAY_MS,
    async (peer, items) => {
      const nowMs = clock.nowMs();
      const request = {
        gatewayId,
        origins: items.map((origin) => originCodec.toOriginNews(origin.requestId, origin, nowMs)),
      };
      const reply = await link.keepOrigins(peer.address, request, nowMs + KEEP_TIMEOUT_MS);
      if (reply.err) items.forEach((origin) => replaceKeeper(origin, peer));
    },
  );

  const findAt = createBatches<Wanted>(clock, FIND_DELAY_MS, async (peer, items) => {
    const nowMs = clock.nowMs();
    const wanted = items.map(({ requestId, service }) => ({ requestId, service }));
    const request = { gatewayId, wanted };
    const reply = await link.findOrigins(peer.address, request, nowMs + FIND_TIMEOUT_MS);
    items.forEach(({ resolve }, index) => {
      if (reply.err) resolve(null);
      else resolve(originCodec.fromFoundNews(reply.val.found[index], clock.nowMs()));
    });
  });

  function addKeepers(origin: streamOrigins.KeptOrigin, peers: readonly Peer[]): void {
    peers.forEach((peer) => {
      const key = keyOf(peer);
      if (origin.keepers.has(key) || origin.keepers.size >= KEEPERS) return;
      origin.keepers.add(key);
      keepAt(peer, origin);
    });
  }

  /** The peer did not answer: the next in order keeps it instead. */
  function replaceKeeper(origin: streamOrigins.KeptOrigin, silent: Peer): void {
    origin.keepers.delete(keyOf(silent));
    const others = candidates(origin.requestId, ASKED_MAX).filter(
      (peer) => peer.gatewayId !== silent.gatewayId,
    );
    addKeepers(origin, others);
  }

  function replicate(origin: streamOrigins.KeptOrigin): void {
    addKeepers(origin, candidates(origin.requestId, KEEPERS));
  }

  /** Those to ask: a gateway that has just started knows few others but where some were. */
  function askedFor(requestId: string): Peer[] {
    const peers = candidates(requestId, ASKED_MAX);
    const seeds = deps.seedAddresses
      .filter((address) => address !== deps.address)
      .filter((address) => peers.every((peer) => peer.address !== address))
      .map((address) => ({ gatewayId: address, address }));
    return [...peers, ...seeds].slice(0, ASKED_MAX);
  }

  return {
    replicate,
    find: (requestId, service) => {
      const peers = askedFor(requestId);
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
          findAt(peer, {
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
    keep: (request) => {
      const nowMs = clock.nowMs();
      request.origins.forEach((news) => {
        const kept = origins.note(news.requestId, originCodec.fromOriginNews(news, nowMs), nowMs);
        if (kept === null) return;
        // The other one that was told: this gateway is the first or the second in order.
        candidates(news.requestId, KEEPERS - 1).forEach((peer) => kept.keepers.add(keyOf(peer)));
      });
      return {};
    },
    answer: (request) => {
      const nowMs = clock.nowMs();
      return {
        found: request.wanted.map(({ requestId, service }) => {
          const origin = origins.find(requestId, nowMs);
          const version = deps.onlyVersion(service);
          if (origin !== null) {
            return originCodec.toFoundNews(requestId, { kind: 'record', origin }, nowMs);
          }
          const found =
            version === null
              ? ({ kind: 'unknown' } as const)
              : ({ kind: 'only-version', version } as const);
          return originCodec.toFoundNews(requestId, found, nowMs);
        }),
      };
    },
    replaceKeepers: () => {
      const liveKeys = new Set(book.live(clock.nowMs()).map(keyOf));
      const isSame =
        liveKeys.size === knownKeys.size && [...liveKeys].every((key) => knownKeys.has(key));
      if (isSame) return false;
      knownKeys = liveKeys;
      for (const origin of origins.all()) {
        const lost = [...origin.keepers].filter((key) => !liveKeys.has(key));
        lost.forEach((key) => origin.keepers.delete(key));
        if (lost.length > 0) replicate(origin);
      }
      return true;
    },
  };
}
