import * as net from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import * as undici from 'undici';

import * as metricsApp from './app.js';

const test = suite('metrics server');

const REQUEST = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n';
const TEXT = 'x'.repeat(200_000);

// Guards against collectors that never read and that fill the memory of the process.
test('collectors that read nothing have one text each made for them, up to a bound', async () => {
  let madeCount = 0;
  const app = metricsApp.createMetricsApp({
    text: () => {
      madeCount += 1;
      return Promise.resolve(TEXT);
    },
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  const { port } = app.server.address() as net.AddressInfo;
  const answer = await undici.request(`http://127.0.0.1:${port}/metrics`);
  assert.is((await answer.body.text()).length, TEXT.length);
  const open = Array.from({ length: metricsApp.CONNECTIONS_MAX * 2 }, () => {
    const socket = net.connect({ host: '127.0.0.1', port });
    socket.on('error', () => {});
    socket.pause();
    socket.write(REQUEST.repeat(20));
    return socket;
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  assert.ok(madeCount <= metricsApp.CONNECTIONS_MAX + 1, String(madeCount));
  open.forEach((socket) => socket.destroy());
  await app.close();
});

test.run();
