/** Makes a call of a caller's HTTP request, or says why it cannot be one. */
import type * as http from 'node:http';

import { type schema, targets } from '@copperlever/configuration';
import * as hashes from '@copperlever/runtime/hashes';
import type * as fastify from 'fastify';

import * as callHeaders from '../../shared/call-headers.js';
import type * as calls from '../../types/calls.js';
import * as contexts from './context.js';

/** Headers that are passed to the upstream. */
const PASSED_HEADERS = ['content-type', 'accept', 'idempotency-key', 'traceparent'];
function passedHeaders(headers: http.IncomingHttpHeaders): calls.HeaderPair[] {
  return PASSED_HEADERS.flatMap((name) => {
    const value = headers[name];
    return typeof value === 'string' ? [{ name, value }] : [];
  });
}

/** Resolves a deadline of the wall clock to the local monotonic clock, once, on arrival. */
function deadlineMsOf(
  deps: contexts.CallDeps,
  headers: callHeaders.CallHeaders,
  defaultTimeoutMs: number,
) {
  const nowMs = deps.clock.nowMs();
  if (headers.deadlineWallMs === null) return nowMs + defaultTimeoutMs;
  return nowMs + headers.deadlineWallMs - deps.clock.wallMs();
}

/** What the kind of call decides; the rest comes from its headers. */
export type CallShape = Pick<
  calls.Call,
  'target' | 'method' | 'path' | 'promptTokens' | 'outputTokens' | 'prefixKey'
> & { mustRunOnce: boolean };

export function buildCall(
  deps: contexts.CallDeps,
  request: fastify.FastifyRequest,
  document: schema.Document,
  shape: CallShape,
  requestId: string,
): calls.Call | calls.Refusal {
  const parsed = callHeaders.parseCallHeaders(request.headers);
  if (parsed.err) {
    return contexts.refusal('invalid-header', `${parsed.val.header}: ${parsed.val.reason}`);
  }
  const headers = parsed.val;
  const deadlineMs = deadlineMsOf(deps, headers, document.policy.defaultTimeoutMs);
  if (deadlineMs <= deps.clock.nowMs()) {
    return contexts.refusal('deadline-passed', 'the deadline had passed when the request arrived');
  }
  const { mustRunOnce, ...shapeFields } = shape;
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  const onceKey = headers.idempotencyKey ?? (mustRunOnce ? requestId : null);
  return {
    ...shapeFields,
    requestId,
    headers: passedHeaders(request.headers),
    body,
    priorityClass: headers.priorityClass ?? targets.defaultPriorityClass(document, shape.target),
    callerGroup: headers.callerGroup,
    deadlineMs,
    idempotencyKey: onceKey,
    fingerprint: hashes.hash64Hex(
      `${shape.target.name}\n${shape.path}\n${body.toString('latin1')}`,
    ),
  };
}
