import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as endless from './endless-proxy.js';
import * as rigs from './rig.js';

const test = suite('answers without end to entries and agents');

/** The memory of the machines of entries and of agents. */
const ENTRY_MEMORY_MB = 350;
const AGENT_MEMORY_MB = 282;
const PLAY_MS = 1_500;
/** Until a report or an order has come. */
const PLAY_MS_MAX = 10_000;
const SETTLE_MS = 200;
const SAMPLE_MS = 20;
const CALLER_COUNT = 8;
const TOKENS = 5;
const CALL_TIMEOUT_MS = 3_000;
const DAEMONS = ['entry-1', 'entry-2', 'agent-jury-1', 'agent-jury-2', 'agent-desk-1'];

const proxies = new Map<string, endless.EndlessProxy>();
let rig: rigs.Rig;
let callCount = 0;

function proxyOf(name: string): endless.EndlessProxy {
  return proxies.get(name) as endless.EndlessProxy;
}

function memoryMbOf(daemonId: string): number {
  return daemonId.startsWith('entry') ? ENTRY_MEMORY_MB : AGENT_MEMORY_MB;
}

function residentMb(pid: number | undefined): number {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? Number.NaN) / 1_024;
}

function sampleMemory(): () => Record<string, number> {
  const peaksMb: Record<string, number> = {};
  const sampler = setInterval(() => {
    DAEMONS.forEach((name) => {
      const mb = Math.round(residentMb(rig.fleet.processes.get(name)?.pid));
      peaksMb[name] = Math.max(peaksMb[name] ?? 0, mb);
    });
  }, SAMPLE_MS);
  return () => {
    clearInterval(sampler);
    return peaksMb;
  };
}

/** The readers that a daemon's lines name, without repetition. */
function closedReaders(name: string): string[] {
  const text = fs.readFileSync(path.join(rig.fleet.folder, `${name}.log`), 'utf8');
  const found = text.matchAll(/event=read-closed .*?reader=(\S+) .*boundBytes=\d+/g);
  return [...new Set([...found].map(([, reader = '']) => reader))].sort();
}

async function submit(): Promise<string> {
  callCount += 1;
  const { status, body } = await rigs.submit(rig.entries[0]?.url ?? '', `k-${callCount}`);
  return status === 201 || !body.startsWith('{') ? String(status) : body;
}

function stream(): Promise<string> {
  return rigs.stream(rig.entries[0]?.url ?? '', TOKENS, () => {}, CALL_TIMEOUT_MS).catch(String);
}

function totalOf(played: endless.EndlessProxy[], key: 'sentBytes' | 'answeredCount' | 'openCount') {
  return played.reduce((total, proxy) => total + proxy[key], 0);
}

/** Callers ask while that is answered without end; what they were told, and the peaks of the daemons. */
async function playAt(names: string[], play: endless.Play, ask: () => Promise<string>) {
  const played = names.map(proxyOf);
  const stopSampling = sampleMemory();
  const answers: string[] = [];
  const sentBefore = totalOf(played, 'sentBytes');
  const answeredBefore = totalOf(played, 'answeredCount');
  const startedMs = performance.now();
  function isOver(): boolean {
    const tookMs = performance.now() - startedMs;
    const hasBegun = totalOf(played, 'answeredCount') > answeredBefore;
    return tookMs > PLAY_MS_MAX || (tookMs > PLAY_MS && hasBegun);
  }
  played.forEach((proxy) => Object.assign(proxy, { play }));
  const callers = Array.from({ length: CALLER_COUNT }, async () => {
    while (!isOver()) answers.push(await ask());
  });
  await Promise.all(callers);
  played.forEach((proxy) => Object.assign(proxy, { play: null }));
  await timers.setTimeout(SETTLE_MS);
  const peaksMb = stopSampling();
  const sentMb = Math.round((totalOf(played, 'sentBytes') - sentBefore) / 1e6);
  const answeredCount = totalOf(played, 'answeredCount') - answeredBefore;
  const openCount = totalOf(played, 'openCount');
  const figures = { sentMb, answeredCount, openCount, peaksMb };
  process.stdout.write(`${names.join()} ${JSON.stringify(figures)}\n`);
  return { ...figures, answers };
}

function assertBounded({ peaksMb, openCount }: Awaited<ReturnType<typeof playAt>>): void {
  const above = Object.entries(peaksMb).filter(([name, mb]) => !(mb <= memoryMbOf(name)));
  assert.equal(above, []);
  assert.is(openCount, 0);
}

const ORDERS: endless.Play = {
  ...endless.JSON_BODY,
  matches: (_method, url) => url.startsWith('/orders'),
};

test.before(async () => {
  rig = await rigs.startRig(
    'files',
    {},
    {
      settingsOf: (daemonId) => ({ memoryMb: memoryMbOf(daemonId) }),
      reroute: async (name, url) => {
        const proxy = await endless.startEndlessProxy(url);
        proxies.set(name, proxy);
        // Orders come with the first configuration.
        if (name === 'jury-1') proxy.play = ORDERS;
        return proxy.url;
      },
    },
  );
});

test.after(async () => {
  await (rig as rigs.Rig | undefined)?.stop();
  proxies.forEach((proxy) => proxy.close());
});

// Guards against answers to orders that an agent reads without a bound.
test('an answer to an order without end is closed, and named', async () => {
  const played = await playAt(['jury-1'], ORDERS, stream);
  assert.ok(proxyOf('jury-1').answeredCount > 0);
  assertBounded(played);
  assert.equal(closedReaders('agent-jury-1'), ['order-answer']);
  await rigs.untilServing(rig);
});

// Guards against an agent that keeps all bytes of an answer without end, and of the failed ones before it.
test('bodies without end to submissions are closed, and told as what has run', async () => {
  const play = { ...endless.JSON_BODY, matches: (method: string) => method === 'POST' };
  const played = await playAt(['desk-1'], play, submit);
  assert.ok(played.sentMb > AGENT_MEMORY_MB, `${played.sentMb}`);
  assertBounded(played);
  assert.ok(played.answers.length > 0);
  played.answers.forEach((told) => assert.match(told, /answer-too-large.*"outcome":"failed"/));
  assert.ok(closedReaders('agent-desk-1').includes('upstream-answer'));
});

// Guards against a head without end that its reader keeps.
test('a head without end is closed', async () => {
  const play = { ...endless.HEAD, matches: (method: string) => method === 'POST' };
  const played = await playAt(['desk-1'], play, submit);
  assert.ok(played.answeredCount > 0);
  assertBounded(played);
});

// Guards against an event without end that agent, entry or both hold.
test('an event without end is closed, and sound streams are served beside it', async () => {
  let seen = 0;
  const matches = (_method: string, url: string) => {
    if (!url.includes('completions')) return false;
    seen += 1;
    return seen % 2 === 0;
  };
  const played = await playAt(['jury-1', 'jury-2'], { ...endless.EVENT, matches }, stream);
  assert.ok(played.answeredCount > 0);
  assertBounded(played);
  assert.ok(
    played.answers.some((text) => rigs.isWhole(text, TOKENS)),
    played.answers.join(' | '),
  );
});

// Guards against a report that an agent reads without a bound.
test('a report without end is closed, and named', async () => {
  const play = {
    ...endless.JSON_BODY,
    matches: (_method: string, url: string) => url.startsWith('/state'),
  };
  const played = await playAt(['jury-1'], play, stream);
  assert.ok(played.answeredCount > 0);
  assertBounded(played);
  assert.ok(closedReaders('agent-jury-1').includes('report'));
});

// Guards against answers of the object API that entries and agents read without a bound.
test('answers without end of the object API are closed, and named', async () => {
  let seen = 0;
  const matches = () => {
    seen += 1;
    return seen % 3 === 0;
  };
  const played = await playAt(['platform'], { ...endless.JSON_BODY, matches }, submit);
  assert.ok(played.answeredCount > 0);
  assertBounded(played);
  assert.ok(closedReaders('entry-1').includes('object-api'));
});

// Guards against an entry's status that the command line reads without a bound.
test('a status without end ends the command', async () => {
  const proxy = proxyOf('desk-1');
  proxy.play = { ...endless.JSON_BODY, matches: () => true };
  const args = ['dist/copperlever.js', '--platform', proxy.url, '--entry', proxy.url, 'status'];
  const child = childProcess.spawn(process.execPath, args, { stdio: 'ignore' });
  let peakMb = 0;
  const sampler = setInterval(() => {
    if (child.exitCode === null) peakMb = Math.max(peakMb, residentMb(child.pid) || 0);
  }, SAMPLE_MS);
  const status = await new Promise((resolve) => {
    child.once('exit', resolve);
  });
  clearInterval(sampler);
  proxy.play = null;
  process.stdout.write(
    `${JSON.stringify({ status, peakMb: Math.round(peakMb), sentMb: proxy.sentBytes / 1e6 })}\n`,
  );
  assert.is(status, 1);
  assert.ok(peakMb <= AGENT_MEMORY_MB, `${peakMb}`);
});

test.run();
