/** A dialect of its own for tests, so that none of them depends on a platform's names. */
import type * as dialects from '../types/dialects.js';

function text(value: string | string[] | undefined): string | null {
  return typeof value === 'string' ? value : null;
}

export function createTestDialect(): dialects.Dialect {
  return {
    readinessPath: '/ready',
    readCall: (headers) => ({
      requestId: text(headers['t-id']) ?? '',
      remainingMs: headers['t-wait'] === undefined ? null : Number(headers['t-wait']),
      model: text(headers['t-model']),
      adapter: text(headers['t-adapter']),
      promptTokens: Number(headers['t-tokens'] ?? 0),
      outputTokens: 0,
      promptParts: [],
      tokenCount: headers['t-tokens'] === undefined ? null : Number(headers['t-tokens']),
      apiKey: text(headers['t-key']),
      originRequestId: text(headers['t-origin']),
    }),
    isReserved: (name) => ['t-wait', 't-steer', 't-key', 't-organisation'].includes(name),
    attemptHeaders: (facts) => [
      ['t-wait', String(Math.round(facts.remainingMs))],
      ['t-upstream', facts.upstreamName],
      ...(facts.organisation === null
        ? []
        : [['t-organisation', facts.organisation] as dialects.HeaderPair]),
      ...(facts.resumeAfterId === null
        ? []
        : [['last-event-id', facts.resumeAfterId] as dialects.HeaderPair]),
    ],
    readAnswer: (status, headers) => ({
      requestId: text(headers['t-id']),
      isSigned: headers['t-signed'] !== undefined,
      didNotRun: headers['t-not-run'] !== undefined || status === 421,
      isMisdirected: status === 421,
      load: null,
      pauseMs:
        status === 503 && headers['t-pause'] !== undefined ? Number(headers['t-pause']) : null,
      isLeaving: headers['t-leaving'] !== undefined,
      limit:
        headers['t-limit'] === undefined
          ? { kind: 'unlimited' }
          : { kind: 'named', perSecond: Number(headers['t-limit']) },
    }),
    retryAfter: (waitMs) => (waitMs / 1_000).toFixed(2),
  };
}
