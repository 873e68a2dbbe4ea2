import * as http from 'node:http';
import type * as net from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as silence from './silence.js';

const test = suite('silence');

test('an open connection carries nothing any more, a new one does', async () => {
  const server = http.createServer((_request, response) => response.end('ok'));
  const connections = silence.createSilence(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const ask = (through?: http.Agent) =>
    new Promise<string>((resolve) => {
      const request = http.get({ port, host: '127.0.0.1', agent: through }, (response) => {
        response.resume();
        response.once('end', () => resolve('answered'));
      });
      request.once('error', () => resolve('lost'));
    });
  assert.is(await ask(agent), 'answered');
  connections.silenceOpen();
  const onOpen = ask(agent);
  assert.is(await ask(), 'answered');
  assert.is(await Promise.race([onOpen, Promise.resolve('silent')]), 'silent');
  assert.is(connections.silencedCount(), 1);
  agent.destroy();
  server.closeAllConnections();
  server.close();
});

test.run();
