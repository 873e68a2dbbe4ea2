/** A gateway is killed. Some of its clients have all events of their stream and not its end, and take it up. */
import * as url from 'node:url';

import * as rig from '../rig-2/rig.mjs';
import * as streams from '../rig-2/streams.mjs';

const FOLDER = url.fileURLToPath(new url.URL('.', import.meta.url));
const CONTACT_MS = 3_000;
const STREAM = { events: 20, stepMs: 100, budgetMs: 30_000, triesMax: 4 };
const PER_SECOND = 180;
const KILL_AFTER_S = 3;
const LENGTH_S = 4;

await rig.runCase(FOLDER, async ({ record, temporary, onEnd }) => {
  const store = await rig.startStore();
  onEnd(store.close);
  const serve = streams.serveStreams(record);
  const servers = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const server = await rig.startServer(id, {
      service: 'huvo11a',
      models: ['daka510000'],
      slots: 256,
      serve,
    });
    servers.push(server);
    onEnd(server.close);
  }
  store.put(
    'config',
    'main',
    rig.configOf([streams.STREAM_ROUTE], {
      models: [rig.modelOf('daka510000')],
      engine: { slots: 256 },
      maxConns: 1_000,
    }),
  );
  onEnd(rig.keepListed(store, servers));
  const gateways = await rig.startGateways(temporary, store.address, 3, onEnd);
  const ports = gateways.map(({ port }) => port);
  await rig.sleep(CONTACT_MS);

  const played = [];
  for (let count = 0; count < LENGTH_S * PER_SECOND; count += 1) {
    if (rig.hasTrouble && count === KILL_AFTER_S * PER_SECOND) {
      record.note('front-1 is killed');
      void gateways[0].kill();
    }
    played.push(streams.playStream({ ...STREAM, ports, first: count, record }));
    await rig.sleep(1_000 / PER_SECOND);
  }
  const tries = (await Promise.all(played)).flat();
  const ended = tries.filter(({ isTakenUp, before }) => isTakenUp && before === STREAM.events);
  const unsigned = tries.filter(
    ({ status, headers }) =>
      status >= 200 && status < 300 && headers['x-response-signature'] === undefined,
  );
  record.note(`tries ${tries.length}, taken up ${tries.filter((one) => one.isTakenUp).length}`);
  record.note(`taken up after the last event ${ended.length}`);
  return unsigned.map(
    ({ requestId, status, headers }) =>
      `MIXED: ${requestId} got ${status} without X-Response-Signature, headers ${JSON.stringify(headers)}`,
  );
});
