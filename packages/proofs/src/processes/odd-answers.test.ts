import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as rigs from './rig.js';

const test = suite('odd answers of the platform and of the upstream');

/** Several rounds of what a daemon asks at its start and behind it. */
const WATCHED_MS = 4_000;
const PLACE = { region: 'hanoi', failureDomain: 'long-bien', seedAddresses: [] };
const LONG = 'x'.repeat(3_000_000);

type Answer = { status?: number; headers?: http.OutgoingHttpHeaders; body: string };

const ANSWERS: Record<string, Answer> = {
  empty: { body: '' },
  'no JSON': { body: '<html>' },
  null: { body: 'null' },
  'another shape': { body: '{"fencingNumber":"x","objects":[null],"events":7,"vms":{}}' },
  'a list': { body: '[null,{}]' },
  'a number': { body: '1e999' },
  '3 MB': { body: LONG },
  redirect: { status: 307, headers: { location: '/elsewhere' }, body: '' },
  'long head': { headers: { 'x-long': 'x'.repeat(20_000) }, body: '{}' },
};

/** Answers everything in the same way. */
async function startServer({ status = 200, headers = {}, body }: Answer) {
  const asked: string[] = [];
  const server = http.createServer((request, response) => {
    asked.push(request.url ?? '');
    response.writeHead(status, { 'x-object-version': '3', ...headers }).end(body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  server.unref();
  const { port } = server.address() as net.AddressInfo;
  return { url: `http://127.0.0.1:${port}`, asked };
}

// Guards against entries and agents that end, or never start, since the platform or an upstream answers with other bytes than usual.
test('entries and agents bear whatever the platform and an upstream answer', async () => {
  const fleet = rigs.createFleet();
  const servers = await Promise.all(
    Object.entries(ANSWERS).map(async ([name, answer]) => ({
      name,
      server: await startServer(answer),
    })),
  );
  const names: string[] = [];
  try {
    for (const { name, server } of servers) {
      const id = name.replaceAll(' ', '-');
      const place = { ...PLACE, platformUrl: server.url };
      const agent = { agentId: `agent-${id}`, upstreamId: id, upstreamUrl: server.url };
      names.push(`agent-${id}`, `entry-${id}`);
      await fleet.startAgent({ ...place, ...agent });
      await fleet.startEntry({ ...place, entryId: `entry-${id}` }).catch(() => {});
    }
    await timers.setTimeout(WATCHED_MS);
    const ended = names.filter((name) => fleet.processes.get(name)?.exitCode !== null);
    assert.equal(ended, []);
    servers.forEach(({ name, server }) => assert.ok(server.asked.length > 1, name));
  } finally {
    await fleet.stop();
  }
});

test.run();
