import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as workers from 'node:worker_threads';

import { clocks } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as acceptProbes from './accept-probe.js';
import * as readDelays from './read-delay.js';

const test = suite('accept probe');

/** Opens a connection for each request, `perSecond`, after `burst` at once, and says when it sent each. */
const CALLERS = `
const { parentPort, workerData } = require('node:worker_threads');
const http = require('node:http');
const send = () => {
  const sentMs = performance.timeOrigin + performance.now();
  http.get({ port: workerData.port, agent: false, headers: { 'sent-ms': sentMs } }, (answer) => answer.resume()).on('error', () => {});
};
for (let count = 0; count < workerData.burst; count += 1) send();
const timer = setInterval(send, 1000 / workerData.perSecond);
parentPort.once('message', () => { clearInterval(timer); parentPort.close(); });
`;

const TURN_MS = 20;
const LENGTH_MS = 3_000;

/** How much older than they were requests were taken for at most, while the loop is busy and accepts one connection a turn. */
async function mostOverrated(isProbed: boolean): Promise<number> {
  const readDelay = readDelays.createReadDelay(clocks.createSystemClock());
  let overratedMs = 0;
  const server = http.createServer((request, response) => {
    const sentMs = Number(request.headers['sent-ms']);
    const trueMs = performance.timeOrigin + performance.now() - sentMs;
    overratedMs = Math.max(overratedMs, readDelay.requestAge(request.socket).bufferedMs - trueMs);
    response.end();
  });
  server.on('connection', readDelay.accepted);
  if (isProbed) readDelay.probeWith(acceptProbes.openTo(server));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const callers = new workers.Worker(CALLERS, {
    eval: true,
    workerData: { port, burst: 20, perSecond: 1_000 / TURN_MS },
  });
  let isBusy = true;
  const spin = () => {
    const untilMs = performance.now() + TURN_MS;
    while (performance.now() < untilMs);
    if (isBusy) setImmediate(spin);
  };
  spin();
  await timers.setTimeout(LENGTH_MS);
  isBusy = false;
  callers.postMessage('stop');
  await callers.terminate();
  readDelay.stop();
  server.closeAllConnections();
  server.close();
  return overratedMs;
}

// Guards against requests that are refused as too late, and answers that are cut, since they are taken for seconds older.
test('on a busy gateway new connections are not taken for much older than they are', async () => {
  const overratedMs = await mostOverrated(true);
  assert.ok(overratedMs < 500, `${Math.round(overratedMs)} ms`);
});

test.run();
