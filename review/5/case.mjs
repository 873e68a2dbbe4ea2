/** Faulty servers send some answers twice, the second time where the next answer on the channel is expected. */
import * as url from 'node:url';

import * as rig from '../rig-2/rig.mjs';

const FOLDER = url.fileURLToPath(new url.URL('.', import.meta.url));
const CONTACT_MS = 3_000;
/** The largest dose of `garble` with `extra late`: `share = 0.6, x = 0.03, for_s = 5.0`. */
const SERVERS = [
  { id: 'i-1', isFaulty: true },
  { id: 'i-2', isFaulty: true },
  { id: 'i-3', isFaulty: true },
  { id: 'i-4', isFaulty: false },
  { id: 'i-5', isFaulty: false },
];
const EXTRA_SHARE = 0.03;
const TROUBLE_MS = 5_000;
const SLOTS = 2;
const QUEUE = 1;
const WORK_MS = 60;
/** Users come together: more than there are places for, so that full servers reject some. */
const CLUMP = 40;
const CLUMP_EVERY_MS = 100;
/** "These statuses promise: not run, and never will be." */
const PROMISES = [408, 421, 429, 503];

let seed = 7;
function random() {
  seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
  return seed / 2 ** 31;
}

await rig.runCase(FOLDER, async ({ record, temporary, onEnd }) => {
  const store = await rig.startStore();
  onEnd(store.close);
  const ranAt = new Map();
  const counts = { rejected: 0, extras: 0, extraRejections: 0 };
  let troubleUntilMs = -Infinity;
  /** The extra answer that is still to come on a channel. */
  const extras = new WeakMap();

  function serveAt({ id, isFaulty }) {
    let heldCount = 0;

    function keepExtra(socket, bytes) {
      if (!isFaulty || performance.now() >= troubleUntilMs || random() >= EXTRA_SHARE) return;
      counts.extras += 1;
      if (bytes.startsWith('HTTP/1.1 503')) counts.extraRejections += 1;
      extras.set(socket, bytes);
    }

    return async ({ response, requestId, socket }) => {
      const extra = extras.get(socket);
      if (extra !== undefined) {
        extras.delete(socket);
        record.note(
          `${id} sends "${extra.split('\r\n')[0]}" again, before it answers ${requestId}`,
        );
        socket.write(extra);
      }
      if (heldCount >= SLOTS + QUEUE) {
        counts.rejected += 1;
        record.note(`${id} rejects ${requestId}`);
        // As `fleetbench wire` prints it: a rejection bears no `X-Request-Id`.
        response.writeHead(503, { 'X-Not-Executed': '1', 'content-length': 0 });
        response.end();
        keepExtra(
          socket,
          'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
        );
        return;
      }
      heldCount += 1;
      ranAt.set(requestId, [...(ranAt.get(requestId) ?? []), id]);
      record.note(`${id} runs ${requestId}`);
      await rig.sleep(WORK_MS);
      heldCount -= 1;
      const body = `done ${requestId}`;
      const head = rig.signedHead(requestId);
      response.writeHead(200, { ...head, 'content-length': body.length });
      response.end(body);
      const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`);
      keepExtra(
        socket,
        `HTTP/1.1 200 OK\r\n${lines.join('')}Content-Length: ${body.length}\r\n\r\n${body}`,
      );
    };
  }

  const servers = [];
  for (const one of SERVERS) {
    const server = await rig.startServer(one.id, {
      service: 'wuno96b',
      slots: SLOTS,
      serve: serveAt(one),
    });
    servers.push(server);
    onEnd(server.close);
  }
  const route = {
    name: 'r-zji9n73',
    pathPrefix: '/puxa403/',
    kind: 'unsafe',
    timeoutMs: 1_500,
    targetLatencyMs: 400,
    service: 'wuno96b',
  };
  store.put('config', 'main', rig.configOf([route]));
  onEnd(rig.keepListed(store, servers));
  const gateways = await rig.startGateways(temporary, store.address, 2, onEnd);
  await rig.sleep(CONTACT_MS);

  if (rig.hasTrouble) troubleUntilMs = performance.now() + TROUBLE_MS;
  const statuses = new Map();
  const ask = async (port) => {
    const requestId = rig.newId();
    const answer = await rig.send(port, '/puxa403/2f', {
      headers: { 'X-Request-Id': requestId, 'X-Deadline-Ms': '1500' },
      forMs: 4_000,
    });
    statuses.set(requestId, answer.status);
    record.note(`client ${requestId}: ${answer.status} ${answer.end}`);
  };
  const asked = [];
  const endMs = performance.now() + TROUBLE_MS;
  while (performance.now() < endMs) {
    for (let index = 0; index < CLUMP; index += 1) {
      asked.push(ask(gateways[index % gateways.length].port));
    }
    await rig.sleep(CLUMP_EVERY_MS);
  }
  await Promise.all(asked);
  await rig.sleep(500);

  record.note(`requests ${statuses.size}, ${JSON.stringify(counts)}`);
  const twice = [...ranAt].filter(([, ids]) => ids.length > 1);
  const refused = [...ranAt].filter(([id]) => PROMISES.includes(statuses.get(id)));
  return [
    ...twice.map(([id, ids]) => `TWICE: ${id} ran at ${ids.join(' and ')}`),
    ...refused.map(([id]) => `REFUSED: ${id} ran and was answered ${statuses.get(id)}`),
  ];
});
