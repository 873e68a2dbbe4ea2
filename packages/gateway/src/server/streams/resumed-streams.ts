/** Keeps which software version began each stream, and logs the version at which one goes on. */
import type { clocks } from '@copperlever/runtime';

import type * as streamOrigins from '../../shared/stream-origins.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as runs from '../forwarding/run.js';
import type * as metricsModule from '../metrics/metrics.js';

export type ResumedStreamsDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: Pick<logEvents.GatewayLog, 'info'>;
  metrics: Pick<metricsModule.GatewayMetrics, 'streamResumed'>;
  origins: streamOrigins.StreamOrigins;
};

export type ResumedStreams = {
  /** The first event of a stream has been forwarded. */
  noteBegun: (call: calls.Call, run: runs.Run, upstream: fleet.UpstreamRecord) => void;
  /** A stream after `lastEventId` is sent to this upstream. */
  noteSentOn: (call: calls.Call, upstream: fleet.UpstreamRecord, lastEventId: string) => void;
};

export function isResumable({ route }: calls.Call): boolean {
  return route.kind === 'stream' && route.isResumable;
}

/** The caller asks for the rest of a stream that an earlier request of its began. */
export function isTakenUp(call: calls.Call): boolean {
  return call.resumeAfterId !== null || call.facts.originRequestId !== null;
}

export function createResumedStreams(deps: ResumedStreamsDeps): ResumedStreams {
  const { clock, origins } = deps;

  return {
    noteBegun: (call, run, { service, softwareVersion: version }) => {
      if (!isResumable(call)) return;
      run.boundVersion ??= version;
      if (isTakenUp(call)) return;
      const nowMs = clock.nowMs();
      origins.note(call.requestId, { service, version, begunAtMs: nowMs }, nowMs);
    },
    noteSentOn: (call, upstream, lastEventId) => {
      const nowMs = clock.nowMs();
      const originRequestId = isTakenUp(call) ? call.facts.originRequestId : call.requestId;
      const origin = originRequestId === null ? null : origins.find(originRequestId, nowMs);
      const { upstreamId, softwareVersion: version } = upstream;
      const source = isTakenUp(call) ? 'own' : 'answer';
      deps.log.info('stream-resumed', {
        requestId: call.requestId,
        originRequestId,
        lastEventId,
        source: origin === null ? undefined : source,
        originVersion: origin?.version,
        originAgeMs: origin === null ? undefined : Math.round(nowMs - origin.begunAtMs),
        upstreamId,
        version,
      });
      if (origin === null) deps.metrics.streamResumed('unknown');
      else deps.metrics.streamResumed(origin.version === version ? 'same' : 'other');
    },
  };
}
