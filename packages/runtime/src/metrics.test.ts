import * as dgram from 'node:dgram';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as metricsModule from './metrics.js';

const test = suite('metrics');

const METRIC_COUNT = 1_000;

// Guards against a datagram, and where the host is a name a look-up, for each metric of each request: they wait in memory.
test('many metrics go out in few datagrams, and all before the close is over', async () => {
  const socket = dgram.createSocket('udp4');
  const lines: string[] = [];
  let datagramCount = 0;
  socket.on('message', (message) => {
    datagramCount += 1;
    lines.push(...message.toString().trim().split('\n'));
  });
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  const { port } = socket.address();
  const metrics = metricsModule.createMetrics({ host: '127.0.0.1', port, daemonId: 'd' });
  for (let count = 0; count < METRIC_COUNT; count += 1) metrics.count('entry.requests');
  await metrics.close();
  const untilMs = performance.now() + 5_000;
  while (lines.length < METRIC_COUNT && performance.now() < untilMs) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  socket.close();
  assert.is(lines.length, METRIC_COUNT);
  assert.ok(datagramCount <= METRIC_COUNT / 10, String(datagramCount));
});

test.run();
