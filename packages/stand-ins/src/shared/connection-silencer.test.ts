import * as http from 'node:http';
import type * as net from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as connectionSilencers from './connection-silencer.js';

const test = suite('connection silencer');

test('a silenced open connection carries no data, a new connection works', async () => {
  const server = http.createServer((_request, response) => response.end('ok'));
  const silencer = connectionSilencers.createConnectionSilencer(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const sendRequest = (through?: http.Agent) =>
    new Promise<string>((resolve) => {
      const request = http.get({ port, host: '127.0.0.1', agent: through }, (response) => {
        response.resume();
        response.once('end', () => resolve('answered'));
      });
      request.once('error', () => resolve('lost'));
    });
  assert.is(await sendRequest(agent), 'answered');
  silencer.silenceOpen();
  const onOpenConnection = sendRequest(agent);
  assert.is(await sendRequest(), 'answered');
  assert.is(await Promise.race([onOpenConnection, Promise.resolve('silent')]), 'silent');
  assert.is(silencer.silencedCount(), 1);
  agent.destroy();
  server.closeAllConnections();
  server.close();
});

test.run();
