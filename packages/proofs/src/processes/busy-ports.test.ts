import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as rigs from './rig.js';

const test = suite('starts of entries and agents at addresses that are taken');

const PLACE = { region: 'hanoi', failureDomain: 'long-bien', seedAddresses: [] };

/** Takes a port; `giveBack` lets others listen there. */
async function takePort() {
  const port = await rigs.freePort();
  const server = net.createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  // A test that fails leaves it open.
  server.unref();
  return { port, giveBack: () => server.close() };
}

let fleet: rigs.ProcessFleet;
let place: typeof PLACE & { platformUrl: string };
let upstreamUrl: string;

test.before(async () => {
  fleet = rigs.createFleet();
  place = { ...PLACE, platformUrl: (await fleet.startStandIn('platform', 'platform')).url };
  upstreamUrl = (await fleet.startStandIn('stand-in-service', 'service')).url;
});

test.after(() => fleet.stop());

/** Once its log says that it waits for an address of that kind. */
function untilWaiting(name: string, what: string): Promise<boolean> {
  return rigs.waitFor(`${name} that waits for ${what}`, async () => {
    const text = fs.readFileSync(path.join(fleet.folder, `${name}.log`), 'utf8');
    return new RegExp(`start-waiting.*what=${what} `).test(text) || undefined;
  });
}

function endOf(name: string): Promise<number> {
  return rigs.waitFor(
    `the end of ${name}`,
    async () => fleet.processes.get(name)?.exitCode ?? undefined,
  );
}

// Guards against entries that end since one of their addresses is taken for a moment.
test('an entry waits for its addresses', async () => {
  const [callers, control] = [await takePort(), await takePort()];
  const ports = { callerPort: callers.port, listenPort: control.port };
  const starting = fleet.startEntry({ ...place, ...ports, entryId: 'entry-1' });
  starting.catch(() => {});
  await untilWaiting('entry-1', 'control');
  control.giveBack();
  await untilWaiting('entry-1', 'callers');
  callers.giveBack();
  await starting;
  assert.is(fleet.processes.get('entry-1')?.exitCode, null);
});

// Guards against agents and entries that end since their address is taken, or whose waiting start nobody can stop.
test('SIGTERM ends an agent, and an entry, that waits for its address', async () => {
  const control = await takePort();
  const agent = { agentId: 'agent-1', upstreamId: 'desk-1', upstreamUrl };
  await fleet.startAgent({ ...place, ...agent, listenPort: control.port });
  const entry = fleet.startEntry({ ...place, entryId: 'entry-2', listenPort: control.port });
  entry.catch(() => {});
  for (const name of ['agent-1', 'entry-2']) {
    await untilWaiting(name, 'control');
    fleet.processes.get(name)?.kill('SIGTERM');
    assert.is(await endOf(name), 0, name);
  }
  control.giveBack();
});

test.run();
