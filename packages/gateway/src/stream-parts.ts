/** Makes the parts that keep streams at the software version that began them. */
import * as originArchives from './server/streams/origin-archive.js';
import * as originPeers from './server/streams/origin-peers.js';
import * as resumedStreams from './server/streams/resumed-streams.js';
import * as versionRecorders from './server/streams/version-recorder.js';
import * as listBudgets from './shared/list-budget.js';
import * as streamOrigins from './shared/stream-origins.js';
import * as versionHistories from './shared/version-history.js';
import type * as partTypes from './types/parts.js';

/** Several times the deadlines in use. */
const STREAM_LIFE_MIN_MS = 120_000;
/** Assumed: a caller resumes its stream within a time-out of its route after the end of the first try. */
const LIFE_TIMEOUTS = 2;

/** How long after its first event a stream may still be resumed by its caller. */
function streamLifeMs({ configuration }: partTypes.GatewayParts): number {
  const routes = configuration.current()?.config.routes ?? [];
  const timeoutsMs = routes.filter((route) => route.isResumable).map((route) => route.timeoutMs);
  return Math.max(STREAM_LIFE_MIN_MS, LIFE_TIMEOUTS * Math.max(0, ...timeoutsMs));
}

export function createOrigins(parts: partTypes.GatewayParts): streamOrigins.StreamOrigins {
  return streamOrigins.createStreamOrigins(() => streamLifeMs(parts));
}

export function createVersionHistory(
  parts: partTypes.GatewayParts,
): versionHistories.VersionHistory {
  const { settings, clock } = parts;
  return versionHistories.createVersionHistory({
    sinceMs: clock.nowMs(),
    streamLifeMs: () => streamLifeMs(parts),
    listBudget: listBudgets.listBudget(settings.drainTimeoutMs),
  });
}

export function createVersionRecorder(
  parts: partTypes.GatewayParts,
): versionRecorders.VersionRecorder {
  const { clock, log, random, store, versions, settings, configuration } = parts;
  return versionRecorders.createVersionRecorder({
    clock,
    log,
    random,
    store,
    history: versions,
    isHolder: () => parts.lease.heldTerm() !== null,
    services: () => {
      const routes = configuration.current()?.config.routes;
      if (routes === undefined) return null;
      const resumable = routes.filter((route) => route.kind === 'stream' && route.isResumable);
      return [
        ...new Set(resumable.flatMap(({ targets }) => targets.map(({ service }) => service))),
      ];
    },
    isFirstStart: settings.isFirstStart,
    newVersionHoldMs: listBudgets.listBudget(settings.drainTimeoutMs).newVersionHoldMs,
  });
}

export function createOriginPeers(parts: partTypes.GatewayParts): originPeers.OriginPeers {
  const { clock, versions, listFeed, settings } = parts;
  return originPeers.createOriginPeers({
    clock,
    link: parts.link,
    book: parts.book,
    origins: parts.origins,
    onlyVersion: (service) => {
      const nowMs = clock.nowMs();
      return versions.onlyVersion(service, listFeed.ageMs(nowMs), nowMs);
    },
    holder: () => {
      const lease = parts.book.lease();
      if (lease === null) return null;
      const address = parts.book.addressOf(lease.holderId);
      return address === null ? null : { gatewayId: lease.holderId, address };
    },
    gatewayId: settings.gatewayId,
    address: settings.peerAddress,
    seedAddresses: settings.seedAddresses,
  });
}

export function createOriginArchive(parts: partTypes.GatewayParts): originArchives.OriginArchive {
  const { clock, log, store, origins, versions, listFeed, lease } = parts;
  return originArchives.createOriginArchive({
    clock,
    log,
    store,
    origins,
    onlyVersion: (service) => {
      const nowMs = clock.nowMs();
      return versions.onlyVersion(service, listFeed.ageMs(nowMs), nowMs);
    },
    heldTerm: lease.heldTerm,
    streamLifeMs: () => streamLifeMs(parts),
  });
}

export function createStreams(parts: partTypes.GatewayParts): resumedStreams.ResumedStreams {
  const { clock, log, metrics, origins, versions, listFeed } = parts;
  return resumedStreams.createResumedStreams({
    clock,
    log,
    metrics,
    origins,
    versions,
    doubts: parts.doubts,
    findUpstream: parts.directory.find,
    peers: parts.originPeers,
    archive: parts.originArchive,
    recorder: parts.versionRecorder,
    listAgeMs: () => listFeed.ageMs(clock.nowMs()),
  });
}
