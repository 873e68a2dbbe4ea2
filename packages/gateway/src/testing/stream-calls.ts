/** Calls of a stream that may be resumed. */
import type * as calls from '../types/calls.js';
import type * as resumedStreams from '../server/streams/resumed-streams.js';
import type * as fleet from '../types/fleet.js';

export const RESUMABLE_ROUTE: fleet.Route = {
  name: 'chat',
  host: 'a.example',
  pathPrefix: '/chat/',
  kind: 'stream',
  targets: [{ service: 'pool', weight: 1 }],
  maxAttempts: 3,
  timeoutMs: 15_000,
  latencyObjectiveMs: 500,
  pauseObjectiveMs: 300,
  priority: 0,
  isResumable: true,
  isPublic: false,
};

export function streamCall(requestId: string, overrides: Partial<calls.Call> = {}): calls.Call {
  return {
    requestId,
    route: RESUMABLE_ROUTE,
    service: 'pool',
    method: 'POST',
    path: '/chat/1',
    headers: [],
    body: Buffer.alloc(0),
    facts: {
      requestId,
      remainingMs: null,
      model: 'm1',
      adapter: null,
      promptTokens: 10,
      outputTokens: 10,
      promptParts: [],
      tokenCount: null,
      apiKey: null,
      originRequestId: null,
    },
    organisation: null,
    priority: 0,
    arrivedAtMs: 0,
    bufferedMs: 0,
    elapsedBeforeMs: 0,
    deadlineMs: 10_000,
    fingerprint: requestId,
    resumeAfterId: null,
    ...overrides,
  };
}

/** The caller's try that asks for what follows event 3 of the stream that `originRequestId` began. */
export function resumptionOf(
  requestId: string,
  originRequestId: string | null,
  overrides: Partial<calls.Call> = {},
): calls.Call {
  const call = streamCall(requestId, { resumeAfterId: '3', ...overrides });
  return { ...call, facts: { ...call.facts, originRequestId } };
}

/** For tests of requests that are bound to no version. */
export function createUnboundStreams(): resumedStreams.ResumedStreams {
  return {
    match: async () => ({ kind: 'free' }),
    mayBegin: () => true,
    mayGoOn: () => true,
    noteBegun: () => {},
    noteSentOn: () => {},
    noteListed: () => {},
    start: () => {},
    stop: () => {},
  };
}
