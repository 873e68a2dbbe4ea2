/** Users with large requests come at once. A gateway must stay within its memory, and answer what it has passed on. */
import { Buffer } from 'node:buffer';
import * as fs from 'node:fs';
import * as http from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import * as url from 'node:url';

import * as rig from '../rig-2/rig.mjs';

const FOLDER = url.fileURLToPath(new url.URL('.', import.meta.url));
const CONTACT_MS = 3_000;
/** The limit of a `front` machine. */
const MEMORY_MB = 350;
const MEMORY_CHECK_MS = 20;
/** Within `maxBodyBytes`, 4,194,304. */
const BODY = Buffer.alloc(4_000_000, 'x');
const WORK_MS = 2_700;
/** Of the usual; `burst` has x = 2.5 for 3 s at most. 17.5 a second are 560 Mbit/s. */
const USUAL_PER_SECOND = 7;
const BURST = 2.5;
const BURST_FROM_MS = 6_000;
const BURST_MS = 3_000;
const LENGTH_MS = 12_000;
/** LOST: "more than three times". */
const LOST_MAX = 3;

function memoryMb(pid) {
  try {
    const text = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(text.match(/VmRSS:\s+(\d+)/)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}

await rig.runCase(FOLDER, async ({ record, temporary, onEnd }) => {
  const store = await rig.startStore();
  onEnd(store.close);
  const ran = new Set();
  const serve = async ({ response, requestId }) => {
    ran.add(requestId);
    record.note(`runs ${requestId}`);
    await rig.sleep(WORK_MS);
    response.writeHead(200, { ...rig.signedHead(requestId), 'content-length': 2 });
    response.end('ok');
  };
  const servers = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const server = await rig.startServer(id, { service: 'wuno96b', slots: 32, serve });
    servers.push(server);
    onEnd(server.close);
  }
  const route = {
    name: 'r-zji9n73',
    pathPrefix: '/puxa403/',
    kind: 'unsafe',
    timeoutMs: 8_000,
    targetLatencyMs: 4_000,
    service: 'wuno96b',
  };
  store.put('config', 'main', rig.configOf([route]));
  onEnd(rig.keepListed(store, servers));
  const [gateway] = await rig.startGateways(temporary, store.address, 1, onEnd);
  await rig.sleep(CONTACT_MS);

  let mostMb = 0;
  const watch = setInterval(() => {
    const nowMb = memoryMb(gateway.pid);
    mostMb = Math.max(mostMb, nowMb);
    if (nowMb <= MEMORY_MB || gateway.state.exit !== null) return;
    record.note(`the platform kills the gateway: ${Math.round(nowMb)} MB`);
    gateway.signal('SIGKILL');
  }, MEMORY_CHECK_MS);
  onEnd(() => clearInterval(watch));

  const agent = new http.Agent({ keepAlive: true, maxSockets: 200 });
  onEnd(() => agent.destroy());
  const lost = [];
  const statuses = new Map();
  function ask() {
    const requestId = rig.newId();
    return new Promise((resolve) => {
      const end = (text) => {
        statuses.set(text, (statuses.get(text) ?? 0) + 1);
        record.note(`client ${requestId}: ${text}`);
        resolve();
      };
      const request = http.request({
        host: '127.0.0.1',
        port: gateway.port,
        path: '/puxa403/2f',
        method: 'POST',
        agent,
        headers: {
          Host: rig.HOST,
          'X-Request-Id': requestId,
          'X-Deadline-Ms': '8000',
          'Content-Length': BODY.length,
        },
      });
      request.once('error', () => {
        if (request.reusedSocket && ran.has(requestId)) lost.push(requestId);
        end(`closed without an answer${request.reusedSocket ? ', on a kept channel' : ''}`);
      });
      request.once('response', (response) => {
        response.resume();
        response.once('close', () => end(String(response.statusCode)));
      });
      request.end(BODY);
    });
  }

  const startedMs = performance.now();
  const asked = [];
  while (performance.now() - startedMs < LENGTH_MS && gateway.state.exit === null) {
    const nowMs = performance.now() - startedMs;
    const isBurst = rig.hasTrouble && nowMs >= BURST_FROM_MS && nowMs < BURST_FROM_MS + BURST_MS;
    asked.push(ask());
    await rig.sleep(1_000 / (USUAL_PER_SECOND * (isBurst ? BURST : 1)));
  }
  await Promise.all(asked);
  record.note(`most memory ${Math.round(mostMb)} MB, exit ${gateway.state.exit}`);
  record.note(`requests ${asked.length}: ${JSON.stringify([...statuses])}`);
  record.note(`run by a server, and closed on a kept channel without an answer: ${lost.length}`);
  return lost.length > LOST_MAX ? [`LOST: ${lost.length} requests`] : [];
});
