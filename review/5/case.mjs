/** All gateways are killed at once. Streams that their clients take up afterwards must go on. */
import * as url from 'node:url';

import * as rig from '../rig-2/rig.mjs';
import * as streams from '../rig-2/streams.mjs';

const FOLDER = url.fileURLToPath(new url.URL('.', import.meta.url));
const CONTACT_MS = 3_000;
const DOWN_MS = 1_000;
const STREAM_COUNT = 24;
/** 13 s, with pauses within the route's `gapAimMs`. */
const STREAM = { events: 52, stepMs: 250, budgetMs: 30_000, triesMax: 8 };
/** LOST: "Of 12 or more streams", "under half of the share of new streams that begin". */
const TAKEN_UP_MIN = 12;
const SHARE = 0.5;

await rig.runCase(FOLDER, async ({ record, temporary, onEnd }) => {
  const store = await rig.startStore();
  onEnd(store.close);
  const serve = streams.serveStreams(record);
  const servers = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const server = await rig.startServer(id, {
      service: 'huvo11a',
      models: ['daka510000'],
      slots: 64,
      serve,
    });
    servers.push(server);
    onEnd(server.close);
  }
  store.put(
    'config',
    'main',
    rig.configOf([streams.STREAM_ROUTE], { models: [rig.modelOf('daka510000')] }),
  );
  onEnd(rig.keepListed(store, servers));
  const gateways = await rig.startGateways(temporary, store.address, 2, onEnd);
  const ports = gateways.map(({ port }) => port);
  await rig.sleep(CONTACT_MS);

  const play = (first) => streams.playStream({ ...STREAM, ports, first, record });
  const old = Array.from({ length: STREAM_COUNT }, (_, index) => play(index));
  await rig.sleep(4_000);
  let inTouchMs = performance.now();
  if (rig.hasTrouble) {
    record.note('all gateways are killed');
    await Promise.all(gateways.map(({ kill }) => kill()));
    await rig.sleep(DOWN_MS);
    const again = await Promise.all(
      gateways.map(({ restart }) => restart(temporary, store.address)),
    );
    again.forEach(({ kill }) => onEnd(kill));
    record.note('all gateways have been started again');
    inTouchMs = performance.now() + CONTACT_MS;
  }
  await rig.sleep(CONTACT_MS + 500);
  const fresh = Array.from({ length: STREAM_COUNT }, (_, index) => play(index));

  const isInTouch = ({ atMs }) => atMs >= inTouchMs;
  const takenUp = (await Promise.all(old))
    .map((tries) => tries.filter((one) => one.isTakenUp && isInTouch(one)))
    .filter((tries) => tries.length > 0);
  const goneOn = takenUp.filter((tries) =>
    tries.some((one) => one.status === 200 && (one.isWhole || one.lastId > one.before)),
  );
  const begun = (await Promise.all(fresh)).filter(
    ([one]) => one !== undefined && one.status === 200 && one.lastId > 0,
  );
  record.note(`taken up at machines in touch ${takenUp.length}, of these gone on ${goneOn.length}`);
  record.note(`new streams ${fresh.length}, of these begun ${begun.length}`);
  const goneOnShare = goneOn.length / Math.max(1, takenUp.length);
  const isBroken =
    takenUp.length >= TAKEN_UP_MIN && goneOnShare < SHARE * (begun.length / fresh.length);
  return isBroken ? [`LOST: ${goneOn.length} of ${takenUp.length} streams went on`] : [];
});
