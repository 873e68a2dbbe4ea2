import * as net from 'node:net';

import { clocks, logs } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as routeTables from '../../shared/route-table.js';
import * as testDialects from '../../testing/test-dialect.js';
import type * as fleet from '../../types/fleet.js';
import * as callersApp from './app.js';
import * as loopLagModule from './loop-lag.js';
import * as openCallsModule from './open-calls.js';

const test = suite('callers app');

const ROUTE: fleet.Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'idempotent',
  targets: [{ service: 's', weight: 1 }],
  maxAttempts: 1,
  timeoutMs: 5_000,
  latencyObjectiveMs: 100,
  pauseObjectiveMs: null,
  priority: 0,
  isResumable: false,
};

const CONFIG: fleet.FleetConfig = {
  version: 1,
  routes: [ROUTE],
  services: [{ name: 's', connectionsMax: 10, engine: null }],
  limits: { bodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 },
};

async function startApp() {
  const clock = clocks.createSystemClock();
  const log = logs.createSilentLogger();
  const loopLag = loopLagModule.createLoopLag(clock);
  const served: string[] = [];
  const app = callersApp.createCallersApp({
    clock,
    log,
    loopLag,
    dialect: testDialects.createTestDialect(),
    serve: (call, sink) => {
      served.push(call.path);
      sink.sendWhole({ status: 200, framing: 'length', headers: [], body: Buffer.from('ok') });
      return Promise.resolve({ kind: 'answered', status: 200, upstreamId: 'u1' });
    },
    configuration: () => ({ config: CONFIG, routes: routeTables.createRouteTable(CONFIG.routes) }),
    isStopping: () => false,
    metrics: { requestEnded: () => {} },
    openCalls: openCallsModule.createOpenCalls(clock, log),
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  const { port } = app.server.address() as net.AddressInfo;
  const close = async () => {
    loopLag.stop();
    app.server.closeAllConnections();
    await app.close();
  };
  return { port, served, close };
}

function send(socket: net.Socket, path: string): void {
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nt-id: ${path}\r\n\r\n`);
}

function onceAnswered(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('data', () => resolve());
  });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Nothing is read meanwhile, as when the process gets no time. */
function block(durationMs: number): void {
  const untilMs = Date.now() + durationMs;
  while (Date.now() < untilMs);
}

// A gateway that has just started reads a request half a second late. Its caller has left by then; the close lies
// behind the request and is read one turn later. Sent on at once, the request would run for nobody.
test('a request whose caller left while it lay unread is not served', async () => {
  const { port, served, close } = await startApp();
  try {
    const socket = net.connect(port, '127.0.0.1');
    send(socket, '/first');
    await onceAnswered(socket);
    const staying = net.connect(port, '127.0.0.1');
    send(staying, '/second');
    await onceAnswered(staying);
    send(socket, '/left');
    socket.destroy();
    const answered = onceAnswered(staying);
    send(staying, '/stays');
    block(400);
    await answered;
    await sleep(50);
    assert.equal(served, ['/first', '/second', '/stays']);
    staying.destroy();
  } finally {
    await close();
  }
});

test('without a lag requests are taken up at once', async () => {
  const clock = clocks.createSystemClock();
  const loopLag = loopLagModule.createLoopLag(clock);
  let isSettled = false;
  const settled = loopLag.settle().then(() => {
    isSettled = true;
  });
  await Promise.resolve();
  await Promise.resolve();
  assert.ok(isSettled);
  await settled;
  loopLag.stop();
});

test.run();
