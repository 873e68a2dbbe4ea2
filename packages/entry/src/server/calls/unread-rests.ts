/** Answers to requests whose body has not come whole. */
import type * as http from 'node:http';
import * as streams from 'node:stream';
import * as timers from 'node:timers/promises';

import type * as fastify from 'fastify';

/** So long what still comes is dropped; then the connection is closed. */
const REST_MS = 200;

async function* sendThenDrop(request: http.IncomingMessage, payload: Buffer) {
  yield payload;
  request.resume();
  const over = new AbortController();
  const end = () => over.abort();
  request.once('end', end).once('close', end);
  await timers.setTimeout(REST_MS, null, { signal: over.signal }).catch(() => {});
}

/** A close with unread bytes is a reset, which may overtake the answer: what still comes is dropped for a moment. */
export function dropUnreadRests(app: fastify.FastifyInstance): void {
  app.addHook('onSend', async ({ raw, headers }, reply, payload) => {
    const hasBody = 'transfer-encoding' in headers || Number(headers['content-length'] ?? 0) > 0;
    if (!hasBody || raw.complete !== false || raw.destroyed || !Buffer.isBuffer(payload)) {
      return payload;
    }
    reply.header('connection', 'close').header('content-length', payload.length);
    return streams.Readable.from(sendThenDrop(raw, payload), { objectMode: false });
  });
}
