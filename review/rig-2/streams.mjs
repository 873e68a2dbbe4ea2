/** Resumable streams: a server that makes them, and a client that takes its stream up again after a broken channel. */
import * as rig from './rig.mjs';

const EVENT = /id: (\d+)\ndata: \d+\n\n/g;
/** While no machine takes its channel a client tries again so soon. */
const CHANNEL_RETRY_MS = 250;

/**
 * Writes the events after `Last-Event-Id`, one a step, and the end of the stream one step after the last: the step in
 * which the model says that it has finished. A client that has all events, and not the end, gets only the end.
 */
export function serveStreams(record) {
  return async ({ request, response, requestId, body, state }) => {
    const { events, stepMs } = JSON.parse(body.toString('utf8'));
    const afterId = Number(request.headers['last-event-id'] ?? 0);
    state.ran.push(requestId);
    record.note(`${state.id} runs ${requestId} after event ${afterId}`);
    response.writeHead(200, {
      ...rig.signedHead(requestId),
      'content-type': 'text/event-stream',
    });
    response.flushHeaders();
    let isOpen = true;
    response.once('close', () => {
      isOpen = false;
    });
    for (let id = afterId + 1; id <= events && isOpen; id += 1) {
      await rig.sleep(stepMs);
      response.write(`id: ${id}\ndata: ${id}\n\n`);
    }
    await rig.sleep(stepMs);
    if (isOpen) response.end();
  };
}

function lastIdIn(text) {
  return Number([...text.matchAll(EVENT)].at(-1)?.[1] ?? 0);
}

/**
 * Plays one stream. After a broken channel it is taken up on a new channel, with `Last-Event-Id` and `Resumes`, at the
 * next machine; `Retry-After` is honoured up to a third of the time that is left. Returns all tries.
 */
export async function playStream({ ports, first, events, stepMs, budgetMs, triesMax, record }) {
  const startedMs = performance.now();
  const leftMs = () => budgetMs - (performance.now() - startedMs);
  const origin = rig.newId();
  const tries = [];
  const seen = { lastId: 0 };
  let position = first;
  while (tries.length < triesMax && leftMs() > 0) {
    const isTakenUp = seen.lastId > 0;
    const requestId = tries.length === 0 ? origin : rig.newId();
    const atMs = performance.now();
    const before = seen.lastId;
    const answer = await rig.send(ports[position % ports.length], '/pufi791/2f', {
      headers: {
        'X-Request-Id': requestId,
        'X-Model': 'daka510000',
        'X-Token-Usage': '1460,160',
        'X-Prompt-Prefix': `5c1e07a2:800,${requestId.slice(-8)}:660`,
        'X-Deadline-Ms': String(Math.round(leftMs())),
        ...(isTakenUp ? { 'Last-Event-Id': String(seen.lastId), Resumes: origin } : {}),
      },
      body: JSON.stringify({ events, stepMs }),
      forMs: leftMs(),
      onData: ({ body }) => {
        seen.lastId = Math.max(seen.lastId, lastIdIn(body));
      },
    });
    position += 1;
    if (answer.status === null && answer.end === 'cut') {
      // No machine has read it.
      await rig.sleep(CHANNEL_RETRY_MS);
      continue;
    }
    const { status, end, headers } = answer;
    const { lastId } = seen;
    const isWhole = status === 200 && end === 'whole';
    tries.push({ requestId, atMs, isTakenUp, before, lastId, isWhole, status, end, headers });
    record.note(
      `client ${requestId} ${isTakenUp ? `takes ${origin} up after event ${before}` : 'begins'}: ` +
        `${status} ${end}, last event ${lastId}`,
    );
    if (isWhole) break;
    const retryAfterMs = Number(headers['retry-after'] ?? 0) * 1_000;
    await rig.sleep(Math.min(retryAfterMs, Math.max(0, leftMs() / 3)));
  }
  return tries;
}

export const STREAM_ROUTE = {
  name: 'r-hh2b9wu',
  pathPrefix: '/pufi791/',
  kind: 'stream',
  timeoutMs: 30_000,
  targetLatencyMs: 10_000,
  gapAimMs: 300,
  service: 'huvo11a',
  resumable: true,
  sticky: true,
  maxAttempts: 2,
};
