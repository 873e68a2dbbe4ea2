/**
 * What the scripts of this review share: a stand-in of the platform's store, servers, clients, and the gateways as
 * separate processes by the command of the deploy file. Everything listens on 127.0.0.1 at free ports.
 */
import { Buffer } from 'node:buffer';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import * as url from 'node:url';

const ROOT = url.fileURLToPath(new url.URL('../..', import.meta.url));
const HISTORY_MAX = 10_000;
const SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1';

export const HOST = 'ficu95.example';

export const hasTrouble = process.env.TROUBLE !== '0';

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits until `check` holds; throws after `forMs`. */
export async function until(what, forMs, check) {
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    if (await check()) return;
    await sleep(20);
  }
  throw new Error(`not within ${forMs} ms: ${what}`);
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server.address().port));
  });
}

export async function freePort() {
  const server = net.createServer();
  const port = await listen(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Null if the caller has left before its end. */
async function bodyOf(request) {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return null;
  }
  return Buffer.concat(chunks);
}

/** A record of what was sent, answered and run, with seconds since its start. */
export function createRecord(folder) {
  const startedMs = performance.now();
  const lines = [];
  return {
    note: (text) => {
      lines.push(`${((performance.now() - startedMs) / 1_000).toFixed(3)} ${text}`);
    },
    save: () => fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

/**
 * The platform's store: objects by kind and name, revisions, pages, watches, conditional writes.
 * `state.fault`: `none`, `silent` (calls are not answered) or `busy` (503).
 */
export async function startStore() {
  const objects = new Map();
  const events = [];
  const waiting = new Set();
  const state = { fault: 'none', calls: [] };
  let revision = 100;

  function kindOf(kind) {
    if (!objects.has(kind)) objects.set(kind, new Map());
    return objects.get(kind);
  }

  function note(kind, object, deleted) {
    events.push({ revision, kind, deleted, object });
    if (events.length > HISTORY_MAX) events.shift();
    [...waiting].forEach((wake) => wake());
  }

  function put(kind, name, spec) {
    const before = kindOf(kind).get(name);
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return before;
    revision += 1;
    const createRev = before?.metadata.createRev ?? revision;
    const metadata = { name, revision, createRev, finalizers: [], deleting: false };
    const object = { metadata, spec, status: null };
    kindOf(kind).set(name, object);
    note(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = kindOf(kind).get(name);
    if (object === undefined) return;
    revision += 1;
    kindOf(kind).delete(name);
    note(kind, { ...object, metadata: { ...object.metadata, revision } }, true);
  }

  async function watch(kind, from, waitMs) {
    const found = () => events.filter((event) => event.kind === kind && event.revision > from);
    const endMs = performance.now() + Math.min(30_000, waitMs);
    while (found().length === 0 && performance.now() < endMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - performance.now()));
        waiting.add(wake);
      });
    }
    const changes = found().map(({ deleted, object }) => ({ object, deleted }));
    return { events: changes, currentRev: revision };
  }

  async function answer(request, body) {
    const { pathname, searchParams } = new url.URL(request.url, 'http://store');
    const [, , , kind = '', encoded] = pathname.split('/');
    const name = encoded === undefined ? null : decodeURIComponent(encoded);
    state.calls.push(`${request.method} ${kind}${name === null ? '' : `/${name}`}`);
    const found = name === null ? undefined : kindOf(kind).get(name);
    if (request.method === 'GET' && name !== null) return found ? [200, found] : [404, {}];
    if (request.method === 'GET' && searchParams.has('watch')) {
      const waitMs = Number(searchParams.get('waitMs') ?? 0);
      return [200, await watch(kind, Number(searchParams.get('watch')), waitMs)];
    }
    if (request.method === 'GET') {
      return [200, { items: [...kindOf(kind).values()], hasMore: false, currentRev: revision }];
    }
    if (request.method === 'DELETE') {
      remove(kind, name);
      return [200, {}];
    }
    const { metadata, spec } = JSON.parse(body.toString('utf8'));
    if (request.method === 'POST') {
      const present = kindOf(kind).get(metadata.name);
      return present === undefined ? [200, put(kind, metadata.name, spec)] : [409, present];
    }
    if (found === undefined) return [404, {}];
    const isWanted =
      metadata.revision === undefined || metadata.revision === found.metadata.revision;
    return isWanted ? [200, put(kind, name, spec)] : [409, found];
  }

  const server = http.createServer(async (request, response) => {
    const body = await bodyOf(request);
    if (body === null) return;
    if (state.fault === 'silent') return;
    const [status, value] = state.fault === 'busy' ? [503, {}] : await answer(request, body);
    if (state.fault === 'silent') return;
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': '0' });
    response.end(JSON.stringify(value));
  });
  const port = await listen(server);
  return {
    address: `127.0.0.1:${port}`,
    state,
    put,
    remove,
    objects: (kind) => [...kindOf(kind).values()],
    close: () => server.closeAllConnections(),
  };
}

/**
 * A server: `serve(call)` answers the requests that clients sent. Others (reports, orders, health) are answered soundly.
 * `state.ran` holds the ids of the requests that it began to run.
 */
export async function startServer(id, { service, models = [], slots = 8, serve, engine }) {
  const state = { id, ran: [], sequence: 0, born: Date.now() };
  const held = () =>
    engine?.held() ?? { models: models.map((name) => ({ name, version: 1, adapters: [] })) };
  const sockets = new Set();
  const server = http.createServer(async (request, response) => {
    const body = await bodyOf(request);
    if (body === null) return;
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-instance-id': id, 'content-length': 0 });
      response.end();
      return;
    }
    if (request.url === '/v1/report') {
      const said = {
        stage: 'colocated',
        ...held(),
        busy: engine?.isBusy() ?? false,
        sequence: state.sequence,
        waiting: 0,
        running: 0,
        kvUsed: 0,
        kvTotal: 131_252,
        handles: 0,
        born: state.born,
      };
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(said));
      return;
    }
    if (request.url === '/v1/order') {
      // Without an engine nothing is to be placed: another order is always in progress.
      const status = engine?.order(JSON.parse(body.toString('utf8')), state) ?? 409;
      response.writeHead(status, { 'content-length': 0 });
      response.end();
      return;
    }
    const requestId = String(request.headers['x-request-id'] ?? '');
    await serve({ request, response, requestId, body, state, socket: request.socket });
  });
  server.keepAliveTimeout = 15_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => {});
  });
  const port = await listen(server);
  return {
    id,
    state,
    port,
    address: `127.0.0.1:${port}`,
    description: () => ({
      service,
      address: `127.0.0.1:${port}`,
      zone: 'north',
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      born: state.born,
      stage: 'colocated',
      ...held(),
      sequence: state.sequence,
    }),
    /** Its process ends: its channels are reset, and new ones refused until `start`. */
    crash: () => {
      server.close();
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
    /** It starts again under its id. */
    start: async () => {
      state.born = Date.now();
      state.sequence = 0;
      await listen(server, port);
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

export function signedHead(requestId) {
  return { 'x-request-id': requestId, 'x-response-signature': SIGNATURE };
}

/** The platform's configuration with one service for models and one for plain calls. */
export function configOf(
  routes,
  { version = 7, models = [], engine = {}, maxConns = 360, bodyBytes = 4_194_304 } = {},
) {
  return {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      priority: 1,
      maxAttempts: 1,
      sticky: false,
      resumable: false,
      ...route,
    })),
    services: [
      {
        name: 'huvo11a',
        healthPath: '/healthz',
        maxConns,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kvCapacity: 131_252,
          hostMb: 150_000,
          diskMb: 450_000,
          weightsMb: 230_000,
          maxAdapters: 8,
          loadsPerS: 1.4,
          models,
          ...engine,
        },
      },
      { name: 'wuno96b', healthPath: '/healthz', maxConns, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: bodyBytes,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export function modelOf(name) {
  return {
    name,
    weightsMb: 72_700,
    loadTimeS: 9,
    adapters: 0,
    adapterMb: 66,
    warmS: 1.2,
    diskS: 2.4,
  };
}

/** Entries of the servers that are up, written again as they change and about every 1.2 s. */
export function keepListed(store, servers, isUp = () => true) {
  const write = () => {
    servers.filter(isUp).forEach((server) => store.put('servers', server.id, server.description()));
  };
  write();
  const timer = setInterval(write, 1_200);
  return () => clearInterval(timer);
}

function runOf(deployFile) {
  const line = fs.readFileSync(deployFile, 'utf8').match(/^run = "(.*)"$/m)?.[1];
  if (line === undefined) throw new Error('no run in the deploy file');
  return line.split(' ');
}

/** Starts one gateway by the deploy file's command, with settings as its template makes them. */
export async function startGateway(
  folder,
  storeAddress,
  { id = 'front-1', seeds, ports, first = true } = {},
) {
  const own = ports ?? {
    callers: await freePort(),
    ready: await freePort(),
    peers: await freePort(),
  };
  const settings = {
    gatewayId: id,
    failureDomain: 'north',
    region: 'land',
    callerAddress: `127.0.0.1:${own.callers}`,
    readinessAddress: `127.0.0.1:${own.ready}`,
    peerAddress: `127.0.0.1:${own.peers}`,
    metricsAddress: `127.0.0.1:${await freePort()}`,
    storeAddress,
    seedAddresses: seeds ?? [`127.0.0.1:${own.peers}`],
    processorShare: 0.513,
    processorCores: 1,
    ...(first ? { isFirstStart: true } : {}),
    stopTimeoutS: 8,
    drainTimeoutMs: 2_000,
    retryRatio: 0.2,
    retryWindowS: 10,
    retrySlack: 54,
    leaseMs: 3_000,
    upstreamsCheckFences: true,
    loadWindowS: 5,
    loadOverage: 1.1,
  };
  const file = path.join(folder, `${id}.json`);
  fs.writeFileSync(file, JSON.stringify(settings));
  const [program, ...args] = runOf(path.join(ROOT, 'deploy/system.toml'));
  const child = childProcess.spawn(program, args, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, COPPERLEVER_CONFIG: file },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const state = { log: '', exit: null };
  child.stdout.on('data', (chunk) => {
    state.log += chunk;
  });
  child.stderr.on('data', (chunk) => {
    state.log += chunk;
  });
  child.once('exit', (code, signal) => {
    state.exit = signal ?? String(code);
  });
  return {
    id,
    ports: own,
    port: own.callers,
    state,
    pid: child.pid,
    signal: (name) => child.kill(name),
    isReady: async () => {
      try {
        return (await fetch(`http://127.0.0.1:${own.ready}/v1/ready`)).status === 200;
      } catch {
        return false;
      }
    },
    /** The same machine again after the end of its process. */
    restart: (nextFolder, nextStoreAddress) =>
      startGateway(nextFolder, nextStoreAddress, { id, seeds, ports: own, first: false }),
    kill: async () => {
      if (state.exit !== null) return;
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await ended;
    },
  };
}

/** Starts `count` gateways, which know the first as a seed, and waits until they are ready. */
export async function startGateways(folder, storeAddress, count, onEnd) {
  const gateways = [];
  for (let index = 0; index < count; index += 1) {
    const seeds = gateways.slice(0, 1).map(({ ports }) => `127.0.0.1:${ports.peers}`);
    const gateway = await startGateway(folder, storeAddress, {
      id: `front-${index + 1}`,
      seeds: seeds.length > 0 ? seeds : undefined,
    });
    gateways.push(gateway);
    onEnd(gateway.kill);
  }
  const areReady = async () =>
    (await Promise.all(gateways.map(({ isReady }) => isReady()))).every(Boolean);
  await until('all gateways ready', 20_000, areReady);
  return gateways;
}

let nextId = 0;

/** A new id for each try of a client. */
export function newId() {
  nextId += 1;
  return `${Date.now().toString(16)}${nextId.toString(16).padStart(5, '0')}`;
}

/**
 * Sends a request on a new channel and returns what came back as the client sees it. `end`: `whole` (by its own framing),
 * `cut` (the channel ended before that), `none` (no answer in time).
 */
export function send(
  port,
  pathName,
  { method = 'POST', headers = {}, body = '', forMs = 20_000, onSocket, onData } = {},
) {
  const requestId = headers['X-Request-Id'] ?? newId();
  return new Promise((resolve) => {
    const answer = { requestId, status: null, headers: {}, body: '', end: 'none' };
    const sentMs = performance.now();
    const finish = (end) => {
      clearTimeout(timer);
      request.destroy();
      resolve({ ...answer, end, tookMs: performance.now() - sentMs });
    };
    const timer = setTimeout(() => finish('none'), forMs);
    const request = http.request({
      host: '127.0.0.1',
      port,
      path: pathName,
      method,
      agent: false,
      headers: {
        Host: HOST,
        'X-Request-Id': requestId,
        'X-Deadline-Ms': '15000',
        'Content-Length': Buffer.byteLength(body),
        ...headers,
      },
    });
    if (onSocket !== undefined) request.once('socket', onSocket);
    request.once('error', () => finish('cut'));
    request.once('response', (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.on('data', (chunk) => {
        answer.body += chunk;
        onData?.(answer, request);
      });
      response.once('error', () => finish('cut'));
      response.once('aborted', () => finish('cut'));
      response.once('end', () => finish(response.complete ? 'whole' : 'cut'));
    });
    request.end(body);
  });
}

/** Runs a case: exit status 1 if a rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-2-'));
  const closers = [];
  let status = 2;
  try {
    const broken = await play({ record, temporary, onEnd: (close) => closers.unshift(close) });
    status = broken.length > 0 ? 1 : 0;
    broken.forEach((line) => record.note(`broken: ${line}`));
    record.note(`trouble=${hasTrouble ? 1 : 0} broken=${broken.length}`);
  } catch (cause) {
    record.note(`could not run: ${cause instanceof Error ? cause.stack : String(cause)}`);
  }
  for (const close of closers) await close();
  fs.rmSync(temporary, { recursive: true, force: true });
  record.save();
  process.exit(status);
}
