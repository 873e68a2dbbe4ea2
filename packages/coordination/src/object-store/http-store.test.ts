import * as net from 'node:net';

import { clocks } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as httpStores from './http-store.js';

const test = suite('calls to the object API');

const WAIT_MS = 5_000;
/** Until what was written before has been read. */
const RESET_MS = 20;
const START = 'HTTP/1.1 200 OK\r\nX-Object-Version: 3\r\n';
const CHUNKED = `${START}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
const LISTING = '{"objects":[]}';

type Ending = 'closed' | 'reset';

/** Answers each call with these bytes, and ends the connection. */
async function startCutting(bytes: string, ending: Ending) {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(bytes, () => {
        if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), RESET_MS);
        else socket.end();
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return { baseUrl: `http://127.0.0.1:${port}`, close: () => server.close() };
}

async function kindsAfter(bytes: string, ending: Ending): Promise<string[]> {
  const clock = clocks.createSystemClock();
  const deadlineMs = clock.nowMs() + WAIT_MS;
  const { baseUrl, close } = await startCutting(bytes, ending);
  const store = httpStores.createHttpObjectStore({ baseUrl, clock });
  const results = [
    await store.get('a', deadlineMs),
    await store.list('a', deadlineMs),
    await store.put('a', Buffer.from('v'), { kind: 'absent' }, deadlineMs),
  ];
  await store.close();
  close();
  return results.map((result) => (result.err ? result.val.kind : 'ok'));
}

const FAILED = ['unavailable', 'unavailable', 'outcome-unknown'];

// Guards against a cut value or listing that counts as an empty one, and a cut answer to a write that counts as a sure one.
test('an answer that is cut inside its head or body is a failed call', async () => {
  const cut = [
    START,
    `${START}Content-Length: 14\r\n`,
    `${START}Connection: close\r\n`,
    'HTTP/1.1 404 Not Found\r\nConnection: close\r\n',
    `${START}Content-Length: 15\r\n\r\n${LISTING}`,
    CHUNKED,
    `${CHUNKED}e\r\n${LISTING}\r\n`,
  ];
  for (const bytes of cut) {
    for (const ending of ['closed', 'reset'] as const) {
      assert.equal(await kindsAfter(bytes, ending), FAILED, `${ending}: ${JSON.stringify(bytes)}`);
    }
  }
});

// Guards against a part of a value that is taken for the whole, since its connection was reset.
test('an answer without a length that is reset on the way is a failed call', async () => {
  assert.equal(await kindsAfter(`${START}Connection: close\r\n\r\npart`, 'reset'), FAILED);
});

test.run();
