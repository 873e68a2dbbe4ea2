/** A daemon with the control parts of the library and nothing else. */
import {
  controlNode,
  documentCodec,
  grpcTransport,
  httpStore,
  journal,
  requestIds,
  resilientStore,
} from '@copperlever/coordination';
import type { membershipTypes } from '@copperlever/coordination';
import { clocks, randoms } from '@copperlever/runtime';
import * as grpc from '@grpc/grpc-js';

import type * as messages from './daemon-messages.js';
import * as socketBytes from './socket-bytes.js';

const HOST = '127.0.0.1';
const CALLS_PER_SECOND = 50;
const CALL_BURST = 100;
const PATCH_TIMEOUT_MS = 10_000;
const JOURNAL_TICK_MS = 250;

const options = JSON.parse(process.argv[2] ?? '{}') as messages.DaemonOptions;
const countBytes = socketBytes.createSocketCounter(options.storePort);
const clock = clocks.createSystemClock();
const random = randoms.createRandom(options.seed);
const storeCalls: Record<string, number> = {};

const store = resilientStore.createResilientStore(
  httpStore.createHttpObjectStore({ baseUrl: `http://${HOST}:${options.storePort}`, clock }),
  {
    clock,
    random,
    callsPerSecond: CALLS_PER_SECOND,
    burstCalls: CALL_BURST,
    onCall: (kind) => {
      storeCalls[kind] = (storeCalls[kind] ?? 0) + 1;
    },
  },
);

const node = controlNode.createControlNode<messages.BenchDocument>({
  self: {
    memberId: options.memberId,
    incarnation: options.incarnation,
    address: `${HOST}:${options.port}`,
    region: options.region,
    failureDomain: options.failureDomain,
    attributes: Buffer.from('{"kind":"agent"}'),
  },
  store,
  transport: grpcTransport.createGrpcTransport({ clock }),
  codec: documentCodec.createJsonCodec<messages.BenchDocument>(),
  clock,
  random,
  seedAddresses: options.seedPorts.map((port) => `${HOST}:${port}`),
});

function send(message: messages.FromDaemon): void {
  process.send?.(message);
}

/** Tells the bench each change of another member's standing once. */
function reportStandings(): void {
  const reported = new Map<string, string>();
  node.membership.onChange(() => {
    const present = new Map(node.membership.members().map((member) => [member.memberId, member]));
    for (const memberId of reported.keys()) {
      if (!present.has(memberId)) report(memberId, 0, 'gone');
    }
    for (const { memberId, incarnation, status } of present.values()) {
      report(memberId, incarnation, status);
    }
  });

  function report(memberId: string, incarnation: number, status: string): void {
    const standing = `${incarnation}/${status}`;
    if (reported.get(memberId) === standing) return;
    reported.set(memberId, standing);
    send({ kind: 'standing', memberId, incarnation, status, atMs: Date.now() });
  }
}

function createSample(): messages.Sample {
  const usage = process.cpuUsage();
  return {
    ...countBytes(),
    memberId: options.memberId,
    cpuMs: (usage.user + usage.system) / 1_000,
    rssBytes: process.memoryUsage.rss(),
    memberCount: node.membership.members().length,
    configVersion: node.follower.version(),
    storeCalls: { ...storeCalls },
  };
}

function createDocument(): messages.BenchDocument {
  const names = Array.from({ length: 1_600 }, (_, index) => `model-${index}`);
  const model = { pool: 'jury-models', sizeBytes: 16_000_000_000, targetMs: 680, priority: 'high' };
  return { models: Object.fromEntries(names.map((name) => [name, model])) };
}

/** Changes one of 1,600 models, as an operator would. */
async function patch(): Promise<void> {
  const held = node.follower.current();
  const document = held?.document ?? createDocument();
  const patched = { ...document.models['model-7'], changedAtMs: Date.now() };
  const done = await node.config.submit(
    {
      operator: 'bench',
      patch: { models: { 'model-7': patched } },
      againstVersion: held?.version ?? 0,
      document: { models: { ...document.models, 'model-7': patched } },
    },
    clock.nowMs() + PATCH_TIMEOUT_MS,
  );
  const acceptedAtMs = Date.now();
  const version = done.ok ? done.val.version : 0;
  send({ kind: 'patched', version, acceptedAtMs, error: done.ok ? '' : done.val.kind });
}

function startJournal(): void {
  const entries = journal.createJournal({
    store,
    memberId: options.memberId,
    incarnation: options.incarnation,
    clock,
    random,
  });
  entries.start();
  const ids = requestIds.createRequestIds(options.memberId, options.incarnation, clock.wallMs);
  const eventsPerTick = (options.journalEventsPerSecond * JOURNAL_TICK_MS) / 1_000;
  setInterval(() => {
    const requestId = ids.next();
    for (let count = 0; count < eventsPerTick; count += 1) {
      entries.record(requestId, 'dispatched', { agent: `agent-${count}`, queueMs: count });
    }
  }, JOURNAL_TICK_MS);
}

function handle(message: messages.ToDaemon): void {
  switch (message.kind) {
    case 'sample':
      send({ kind: 'sample', sample: createSample() });
      return;
    case 'leave':
      node.membership.leave();
      return;
    case 'patch':
      void patch();
      return;
    case 'stop':
      process.exit(0);
  }
}

async function serve(handlers: membershipTypes.PeerHandlers): Promise<void> {
  const server = new grpc.Server({ 'grpc.enable_channelz': 0 });
  grpcTransport.addPeerService(server, handlers);
  const credentials = grpc.ServerCredentials.createInsecure();
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(`${HOST}:${options.port}`, credentials, (error) =>
      error === null ? resolve() : reject(error),
    );
  });
}

process.on('message', (message) => handle(message as messages.ToDaemon));
// A daemon never outlives its bench.
process.on('disconnect', () => process.exit(0));
await serve(node.handlers);
if (!options.isIdle) {
  reportStandings();
  node.follower.onChange(({ version }) => {
    send({ kind: 'in-force', version, atMs: Date.now() });
  });
  if (options.journalEventsPerSecond > 0) startJournal();
  await node.start();
}
send({ kind: 'ready' });
