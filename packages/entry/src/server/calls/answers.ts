/** Sends what became of a call to its caller. */
import type { clocks } from '@copperlever/runtime';
import type * as fastify from 'fastify';

import * as problems from '../../shared/problems.js';
import type * as calls from '../../types/calls.js';
import type * as sinks from './sinks.js';

export function sendRefusal(
  reply: fastify.FastifyReply,
  refusal: calls.Refusal,
  requestId: string,
  clock: clocks.Clock,
): fastify.FastifyReply {
  const problem = problems.toProblem(refusal, requestId);
  const retryAfter = problems.retryAfterSeconds(refusal, clock.nowMs());
  if (retryAfter !== null) reply.header('retry-after', String(retryAfter));
  return reply
    .status(problem.status)
    .header('x-request-id', requestId)
    .header('content-type', problems.PROBLEM_CONTENT_TYPE)
    .send(Buffer.from(JSON.stringify(problem)));
}

export function sendHeld(
  reply: fastify.FastifyReply,
  held: sinks.HeldAnswer,
  requestId: string,
  replayed: boolean,
): fastify.FastifyReply {
  held.headers.forEach((header) => reply.header(header.name, header.value));
  if (replayed) reply.header('idempotency-replayed', 'true');
  return reply.status(held.status).header('x-request-id', requestId).send(held.body);
}

/**
 * Ends a stream that has begun. A failure becomes a last event and the stream ends without its
 * usual last line, so that a client never takes a part for the whole.
 */
export function endStream(
  reply: fastify.FastifyReply,
  outcome: calls.Outcome,
  requestId: string,
): void {
  const { raw } = reply;
  if (outcome.kind === 'answered') {
    raw.end();
    return;
  }
  const problem = problems.toProblem(outcome, requestId);
  raw.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
}
