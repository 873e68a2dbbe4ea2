/** Servers fail a part of their requests, after they have run them. None of these may run again. */
import * as url from 'node:url';

import * as rig from '../rig-2/rig.mjs';

const FOLDER = url.fileURLToPath(new url.URL('.', import.meta.url));
const CONTACT_MS = 3_000;
/** As in a day of the site: `srv_grey`, `how = "errors all", share = 1.0, x = 0.45, for_s = 4.0`. */
const FAILED_SHARE = 0.45;
const TROUBLE_MS = 4_000;
const LENGTH_MS = 6_000;
const ASK_EVERY_MS = 40;
const WORK_MS = 40;

let seed = 7;
function random() {
  seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
  return seed / 2 ** 31;
}

await rig.runCase(FOLDER, async ({ record, temporary, onEnd }) => {
  const store = await rig.startStore();
  onEnd(store.close);
  const ranAt = new Map();
  let failedCount = 0;
  let troubleUntilMs = -Infinity;

  function serveAt(id) {
    return async ({ response, requestId }) => {
      ranAt.set(requestId, [...(ranAt.get(requestId) ?? []), id]);
      record.note(`${id} runs ${requestId}`);
      await rig.sleep(WORK_MS);
      if (performance.now() < troubleUntilMs && random() < FAILED_SHARE) {
        failedCount += 1;
        record.note(`${id} fails ${requestId}: 500`);
        response.writeHead(500, { 'X-Request-Id': requestId, 'content-length': 0 });
        response.end();
        return;
      }
      const body = `done ${requestId}`;
      response.writeHead(200, { ...rig.signedHead(requestId), 'content-length': body.length });
      response.end(body);
    };
  }

  const servers = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const serve = serveAt(id);
    const server = await rig.startServer(id, { service: 'wuno96b', slots: 6, serve });
    servers.push(server);
    onEnd(server.close);
  }
  const route = {
    name: 'r-zji9n73',
    pathPrefix: '/puxa403/',
    kind: 'unsafe',
    timeoutMs: 4_000,
    targetLatencyMs: 400,
    service: 'wuno96b',
    maxAttempts: 2,
  };
  store.put('config', 'main', rig.configOf([route]));
  onEnd(rig.keepListed(store, servers));
  const gateways = await rig.startGateways(temporary, store.address, 2, onEnd);
  await rig.sleep(CONTACT_MS);

  const startedMs = performance.now();
  if (rig.hasTrouble) troubleUntilMs = startedMs + TROUBLE_MS;
  const asked = [];
  for (let count = 0; performance.now() - startedMs < LENGTH_MS; count += 1) {
    const requestId = rig.newId();
    const { port } = gateways[count % gateways.length];
    const headers = { 'X-Request-Id': requestId, 'X-Deadline-Ms': '4000' };
    const answered = rig.send(port, '/puxa403/2f', { headers, body: `entry ${count}` });
    asked.push(
      answered.then(({ status, end }) => record.note(`client ${requestId}: ${status} ${end}`)),
    );
    await rig.sleep(ASK_EVERY_MS);
  }
  await Promise.all(asked);
  record.note(`requests ${asked.length}, of these failed by a server ${failedCount}`);
  return [...ranAt]
    .filter(([, ids]) => ids.length > 1)
    .map(([id, ids]) => `TWICE: ${id} ran at ${ids.join(' and ')}`);
});
