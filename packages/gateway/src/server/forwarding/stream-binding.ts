/** Binds a request that resumes a stream to the service and the software version that began it. */
import type * as calls from '../../types/calls.js';
import type * as resumedStreams from '../streams/resumed-streams.js';
import type * as runs from './run.js';

export type StreamBindingDeps = {
  streams: Pick<resumedStreams.ResumedStreams, 'match'>;
  refuse: runs.Refuse;
};

/** The request at the service that began its stream; `ending` if it cannot be bound. */
export type BoundCall = { call: calls.Call; ending: calls.Ending | null };

export type StreamBinding = (call: calls.Call, run: runs.Run) => Promise<BoundCall>;

/** An upstream that crashed is back after some seconds; callers of streams seldom wait longer. */
export const VERSION_GONE_RETRY_MS = 2_000;

export function createStreamBinding({ streams, refuse }: StreamBindingDeps): StreamBinding {
  return async (call, run) => {
    run.stage = 'origin';
    const match = await streams.match(call);
    switch (match.kind) {
      case 'free':
        return { call, ending: null };
      case 'unknown':
        return { call, ending: refuse(call, run, 'stream-unknown', match.retryAfterMs) };
      case 'bound': {
        run.boundVersion = match.version;
        const isRouted = call.route.targets.some(({ service }) => service === match.service);
        const ending = isRouted ? null : refuse(call, run, 'version-gone', VERSION_GONE_RETRY_MS);
        return { call: { ...call, service: match.service }, ending };
      }
    }
  };
}
