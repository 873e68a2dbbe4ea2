/**
 * Keeps streams at the software version that began them. The events of two versions cannot be joined, and upstreams don't check
 * that. A stream that its caller resumes is therefore bound to the version that began it, at any gateway, or is refused.
 */
import type { clocks } from '@copperlever/runtime';

import type * as restartDoubts from '../../shared/restart-doubts.js';
import type * as streamOrigins from '../../shared/stream-origins.js';
import type * as versionHistories from '../../shared/version-history.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as runs from '../forwarding/run.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as originArchives from './origin-archive.js';
import type * as originPeers from './origin-peers.js';
import type * as versionRecorders from './version-recorder.js';

export type ResumedStreamsDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info' | 'warn'>;
  metrics: Pick<metricsModule.GatewayMetrics, 'streamResumed' | 'originFound'>;
  origins: streamOrigins.StreamOrigins;
  peers: Pick<originPeers.OriginPeers, 'find' | 'replicate' | 'replaceReplicas' | 'isAlone'>;
  recorder: Pick<versionRecorders.VersionRecorder, 'confirmOnly'>;
  archive: Pick<originArchives.OriginArchive, 'read'>;
  versions: Pick<
    versionHistories.VersionHistory,
    'note' | 'noteConfirmed' | 'onlyVersion' | 'mayBegin'
  >;
  doubts: Pick<restartDoubts.RestartDoubts, 'isDoubtful'>;
  /** What the list says of the upstream now. */
  findUpstream: (upstreamId: string) => fleet.UpstreamRecord | undefined;
  /** Time since the store confirmed the list of upstreams; null before the first list. */
  listAgeMs: () => number | null;
};

export type Match =
  /** A new stream, which may begin at any version. */
  | { kind: 'free' }
  | { kind: 'bound'; service: string; version: string }
  /** No gateway that answered knows which version began it. */
  | { kind: 'unknown'; retryAfterMs: number };

export type ResumedStreams = {
  /** What a request is bound to, before an upstream is chosen for it. */
  match: (call: calls.Call) => Promise<Match>;
  /** Whether streams may begin at the upstream's version already. */
  mayBegin: (upstream: fleet.UpstreamRecord) => boolean;
  /** Whether streams of this version may go on at the upstream: its software is certainly of that. */
  mayGoOn: (upstream: fleet.UpstreamRecord, version: string) => boolean;
  /** The first event of a stream has been forwarded; `upstream` is its record as of when the request was sent. */
  noteBegun: (call: calls.Call, run: runs.Run, upstream: fleet.UpstreamRecord) => void;
  /** A stream after `lastEventId` is sent to this upstream. */
  noteSentOn: (
    call: calls.Call,
    run: runs.Run,
    upstream: fleet.UpstreamRecord,
    lastEventId: string,
  ) => void;
  /** The upstreams that are listed now. */
  noteListed: (records: readonly fleet.UpstreamRecord[]) => void;
  start: () => void;
  stop: () => void;
};

/** Interval between checks whether origins need replicas because a second version may have begun streams. */
const CHECK_INTERVAL_MS = 250;
/** Gateways that did not answer may do so on the next try. */
const SILENT_RETRY_MS = 500;
/** No gateway has a record, so an earlier retry would be refused as well. */
const UNKNOWN_RETRY_MS = 2_000;

export function isResumable({ route }: calls.Call): boolean {
  return route.kind === 'stream' && route.isResumable;
}

/** The request asks for the rest of a stream that an earlier request of the caller began. */
export function isResumption(call: calls.Call): boolean {
  return call.resumeAfterId !== null || call.facts.originRequestId !== null;
}

export function createResumedStreams(deps: ResumedStreamsDeps): ResumedStreams {
  const { clock, log, origins, peers, versions } = deps;
  /** Services that had only one version when last checked. Their origins have no replicas. */
  const uniformServices = new Set<string>();
  let cancelCheck: clocks.Cancel = () => {};

  function onlyVersion(service: string): string | null {
    return versions.onlyVersion(service, deps.listAgeMs(), clock.nowMs());
  }

  /** Whether the upstream may have restarted under its name while the list still has the entry of its previous start. */
  function isDoubtful({ upstreamId, name }: fleet.UpstreamRecord): boolean {
    // If each start has its own name, a request that names the previous one is not run.
    if (upstreamId === name) return false;
    return deps.doubts.isDoubtful(upstreamId, deps.listAgeMs(), clock.nowMs());
  }

  function isCertain(upstream: fleet.UpstreamRecord): boolean {
    const listed = deps.findUpstream(upstream.upstreamId);
    // An upstream that is listed no longer serves on for a while, with the software that it had.
    const isUnchanged = listed === undefined || listed.softwareVersion === upstream.softwareVersion;
    return isUnchanged && !isDoubtful(upstream);
  }

  /**
   * The only version at which the stream can have begun. A gateway that hears no other does not notice that the store's answers are out
   * of date, so it confirms the record of versions.
   */
  async function findOnlyVersion(service: string): Promise<string | null> {
    const only = onlyVersion(service);
    if (only === null || !peers.isAlone()) return only;
    const recorded = await deps.recorder.confirmOnly(service);
    return recorded === only ? only : null;
  }

  type Lookup = {
    origin: { service: string; version: string; begunAtMs?: number } | null;
    source?: string | undefined;
    askedCount?: number;
    answeredCount?: number;
  };

  async function lookUp(call: calls.Call): Promise<Lookup> {
    const { service } = call;
    const originRequestId = call.facts.originRequestId ?? '';
    const own = origins.find(originRequestId, clock.nowMs());
    if (own !== null) return { origin: own, source: 'own' };
    // The service of a split route is computed from the request that began the stream.
    const isServiceKnown = originRequestId !== '' || call.route.targets.length === 1;
    const only = isServiceKnown ? await findOnlyVersion(service) : null;
    if (only !== null) return { origin: { service, version: only }, source: 'only-version' };
    if (originRequestId === '') return { origin: null };
    const { found, source, ...counts } = await peers.find(originRequestId, service);
    switch (found.kind) {
      case 'record':
        origins.note(originRequestId, found.origin, clock.nowMs());
        return { origin: found.origin, source, ...counts };
      case 'only-version':
        return { origin: { service, version: found.version }, source, ...counts };
      case 'unknown': {
        await deps.archive.read();
        const archived = origins.find(originRequestId, clock.nowMs());
        return { origin: archived, source: archived === null ? undefined : 'store', ...counts };
      }
    }
  }

  function logLookup(call: calls.Call, lookup: Lookup, startedMs: number): void {
    const { origin, source, askedCount, answeredCount } = lookup;
    const nowMs = clock.nowMs();
    const begunAtMs = origin?.begunAtMs;
    const write = origin === null ? log.warn : log.info;
    write('stream-taken-up', {
      requestId: call.requestId,
      originRequestId: call.facts.originRequestId,
      lastEventId: call.resumeAfterId,
      service: origin?.service ?? call.service,
      originVersion: origin?.version,
      source,
      originAgeMs: begunAtMs === undefined ? undefined : Math.round(nowMs - begunAtMs),
      askedCount,
      answeredCount,
      lookupMs: Math.round(nowMs - startedMs),
    });
  }

  /** Replicates all origins that lack replicas and need them. */
  function replicateMissing(): void {
    for (const origin of origins.all()) {
      if (!uniformServices.has(origin.service)) peers.replicate(origin);
    }
  }

  function checkVersions(): void {
    const before = uniformServices.size;
    uniformServices.forEach((service) => {
      if (onlyVersion(service) === null) uniformServices.delete(service);
    });
    if (uniformServices.size < before) replicateMissing();
  }

  function noteConfirmed(): void {
    const listAgeMs = deps.listAgeMs();
    if (listAgeMs !== null) versions.noteConfirmed(clock.nowMs() - listAgeMs);
  }

  function check(): void {
    noteConfirmed();
    checkVersions();
    if (peers.replaceReplicas()) replicateMissing();
    cancelCheck = clock.schedule(clock.nowMs() + CHECK_INTERVAL_MS, check);
  }

  return {
    match: async (call) => {
      if (!isResumable(call) || !isResumption(call)) return { kind: 'free' };
      const startedMs = clock.nowMs();
      const lookup = await lookUp(call);
      logLookup(call, lookup, startedMs);
      const { origin, askedCount = 0, answeredCount = 0 } = lookup;
      if (origin === null) {
        deps.metrics.originFound('unknown');
        const retryAfterMs = answeredCount < askedCount ? SILENT_RETRY_MS : UNKNOWN_RETRY_MS;
        return { kind: 'unknown', retryAfterMs };
      }
      const isLocal = lookup.source === 'own' || lookup.source === 'only-version';
      deps.metrics.originFound(isLocal ? 'local' : 'peer');
      return { kind: 'bound', service: origin.service, version: origin.version };
    },
    mayBegin: ({ service, softwareVersion }) =>
      versions.mayBegin(service, softwareVersion, clock.nowMs()),
    mayGoOn: (upstream, version) => upstream.softwareVersion === version && !isDoubtful(upstream),
    noteBegun: (call, run, upstream) => {
      if (!isResumable(call)) return;
      const { service, softwareVersion: version } = upstream;
      if (run.boundVersion === null && !isCertain(upstream)) {
        // The version at which it may go on cannot be known.
        run.isVersionUnknown = true;
        log.info('stream-version-unknown', {
          requestId: call.requestId,
          upstreamId: upstream.upstreamId,
          version,
        });
        return;
      }
      run.boundVersion ??= version;
      if (isResumption(call)) return;
      const nowMs = clock.nowMs();
      const kept = origins.note(call.requestId, { service, version, begunAtMs: nowMs }, nowMs);
      if (kept === null) return;
      if (onlyVersion(service) === null) peers.replicate(kept);
      else uniformServices.add(service);
    },
    noteSentOn: (call, run, { upstreamId, softwareVersion: version }, lastEventId) => {
      const { requestId } = call;
      const { boundVersion } = run;
      if (boundVersion === null) return;
      deps.metrics.streamResumed(boundVersion === version ? 'same' : 'other');
      if (run.resumeAfterId === null) return;
      log.info('stream-resumed', { requestId, lastEventId, boundVersion, upstreamId, version });
    },
    noteListed: (records) => {
      noteConfirmed();
      versions.note(records, clock.nowMs());
      checkVersions();
    },
    start: check,
    stop: () => cancelCheck(),
  };
}
