/** Four servers crash within a second. Afterwards sound requests must begin as they did before. */
import { setTimeout } from 'node:timers';
import * as url from 'node:url';

import * as engines from '../rig-2/engine.mjs';
import * as rig from '../rig-2/rig.mjs';

const FOLDER = url.fileURLToPath(new url.URL('.', import.meta.url));
const MODEL = 'daka510000';
const FIRST_PART = '5c1e07a2:350';
/** The part that crashes each server that begins an answer on it. */
const BAD_PART = 'dead0bad:400';
const CONTACT_MS = 3_000;
/** After the bad part, and after a crash of its own. */
const BAD_DOWN_MS = 3_000;
const DOWN_MS = 2_000;
/** Requests with the bad part. */
const BAD_AT_MS = [4_500, 14_500, 16_500, 24_500, 34_500, 44_500];
/** Four times `srv_crash` with `share = 0.25`, one of the four servers each. */
const CRASHES_FROM_MS = 13_000;
const CRASHES_EVERY_MS = 170;
const LENGTH_MS = 48_000;
/** Long after the servers are back, and have loaded their model from disk in 2.4 s. */
const JUDGED_FROM_MS = 28_000;
const ASK_EVERY_MS = 50;
/** Prompts of 15,000 tokens, of which a server reads some 20 in a millisecond, and what waits before them. */
const FIRST_EVENT_MS = { least: 1_200, spread: 400 };
const EVENTS = 30;
const EVENT_MS = 30;
/** LOST: "less than half as often as outside unplanned impairment (20 or more of each ...)". */
const SHARE = 0.5;
const COUNT_MIN = 20;

await rig.runCase(FOLDER, async ({ record, temporary, onEnd }) => {
  const store = await rig.startStore();
  onEnd(store.close);
  const down = new Set();
  const badCrashesMs = [];

  async function startServer(id) {
    const engine = engines.createEngine({
      models: [MODEL],
      loadMs: 9_000,
      diskMs: 2_400,
      weightsMb: 75_000,
      sizeMb: 72_700,
    });

    async function serve({ request, response, requestId, state }) {
      const model = request.headers['x-model'];
      if (!engine.holds(model)) {
        response.writeHead(421, { 'x-not-executed': '1', 'content-length': 0 });
        response.end();
        return;
      }
      state.ran.push(requestId);
      const end = engine.begin(model);
      let isOpen = true;
      response.once('close', () => {
        isOpen = false;
        end();
      });
      await rig.sleep(FIRST_EVENT_MS.least + Math.random() * FIRST_EVENT_MS.spread);
      if (!isOpen) return;
      if (request.headers['x-prompt-prefix'].includes(BAD_PART)) {
        badCrashesMs.push(performance.now());
        crash(`by ${requestId}, which has the bad part`, BAD_DOWN_MS);
        return;
      }
      const head = { ...rig.signedHead(requestId), 'content-type': 'text/event-stream' };
      response.writeHead(200, head);
      for (let event = 1; event <= EVENTS && isOpen; event += 1) {
        response.write(`id: ${event}\ndata: ${event}\n\n`);
        await rig.sleep(EVENT_MS);
      }
      if (isOpen) response.end();
    }

    const server = await rig.startServer(id, { service: 'huvo11a', slots: 32, serve, engine });
    onEnd(server.close);

    function crash(why, downMs) {
      if (down.has(id)) return;
      down.add(id);
      record.note(`${id} crashes ${why}`);
      server.crash();
      setTimeout(async () => {
        engine.restart();
        await server.start();
        down.delete(id);
        store.put('servers', id, server.description());
        record.note(`${id} is back`);
      }, downMs);
    }

    return { ...server, crash };
  }

  const servers = [];
  for (const id of ['i-1', 'i-2', 'i-3', 'i-4']) servers.push(await startServer(id));
  const route = {
    name: 'r-zji9n73',
    pathPrefix: '/lohu930/',
    kind: 'stream',
    timeoutMs: 30_000,
    targetLatencyMs: 10_000,
    gapAimMs: 300,
    service: 'huvo11a',
    sticky: true,
  };
  const engine = { slots: 32, weightsMb: 75_000 };
  store.put('config', 'main', rig.configOf([route], { models: [rig.modelOf(MODEL)], engine }));
  onEnd(rig.keepListed(store, servers, ({ id }) => !down.has(id)));
  const gateways = await rig.startGateways(temporary, store.address, 2, onEnd);
  await rig.sleep(CONTACT_MS);

  const startedMs = performance.now();
  const sound = [];
  const refusals = new Map();
  async function ask(count, isBad) {
    const requestId = rig.newId();
    const atMs = performance.now() - startedMs;
    const middle = isBad ? BAD_PART : `91bd3f${100 + (count % 60)}:400`;
    const answer = await rig.send(gateways[count % gateways.length].port, '/lohu930/2f', {
      headers: {
        'X-Request-Id': requestId,
        'X-Model': MODEL,
        'X-Token-Usage': '15000,90',
        'X-Prompt-Prefix': `${FIRST_PART},${middle},${requestId.slice(-8)}:14250`,
      },
      body: `prompt ${count}`,
      forMs: 20_000,
    });
    const hasBegun = answer.status === 200;
    if (!isBad) sound.push({ atMs, hasBegun });
    const reason = hasBegun ? '' : answer.body;
    if (!hasBegun) refusals.set(reason, (refusals.get(reason) ?? 0) + 1);
    const kind = isBad ? 'with the bad part' : 'sound';
    record.note(`client ${requestId} (${kind}): ${answer.status} ${answer.end} ${reason}`);
  }

  if (rig.hasTrouble) {
    servers.forEach(({ crash }, index) => {
      setTimeout(() => crash('by itself', DOWN_MS), CRASHES_FROM_MS + index * CRASHES_EVERY_MS);
    });
  }
  const asked = [];
  const badAtMs = rig.hasTrouble ? [...BAD_AT_MS] : [];
  for (let count = 0; performance.now() - startedMs < LENGTH_MS; count += 1) {
    const nowMs = performance.now() - startedMs;
    if (nowMs >= (badAtMs[0] ?? Infinity)) {
      badAtMs.shift();
      asked.push(ask(count, true));
    }
    asked.push(ask(count, false));
    await rig.sleep(ASK_EVERY_MS);
  }
  await Promise.all(asked);

  gateways.forEach(({ id, state }) => {
    const lines = state.log
      .split('\n')
      .filter((line) => /event=(quarantin|upstream-ended)/.test(line));
    lines.forEach((line) => record.note(`${id}: ${line.slice(0, 300)}`));
  });
  store
    .objects('copperlever-quarantine')
    .forEach(({ spec }) => record.note(`in the store: ${JSON.stringify(spec)}`));
  const lastBadMs = (badCrashesMs.slice(0, 5).at(-1) ?? startedMs) - startedMs;
  const judgedFromMs = Math.max(JUDGED_FROM_MS, lastBadMs + 2 * CONTACT_MS);
  const before = sound.filter(({ atMs }) => atMs < BAD_AT_MS[0]);
  const after = sound.filter(({ atMs }) => atMs >= judgedFromMs);
  const shareOf = (all) => all.filter(({ hasBegun }) => hasBegun).length / Math.max(1, all.length);
  record.note(`crashes by the bad part ${badCrashesMs.length}`);
  record.note(`before: ${before.length} sound requests, share that begins ${shareOf(before)}`);
  record.note(`after: ${after.length} sound requests, share that begins ${shareOf(after)}`);
  refusals.forEach((count, reason) => record.note(`${count} times ${reason}`));
  const areEnough = before.length >= COUNT_MIN && after.length >= COUNT_MIN;
  const isBroken = areEnough && shareOf(after) < SHARE * shareOf(before);
  return isBroken
    ? [`LOST: of sound requests ${shareOf(before)} began before, ${shareOf(after)} afterwards`]
    : [];
});
