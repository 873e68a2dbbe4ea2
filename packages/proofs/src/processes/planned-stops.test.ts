import * as fs from 'node:fs';
import * as http from 'node:http';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as rigs from './rig.js';

const test = suite('planned stops of entries and agents');

const DRAIN_TIMEOUT_MS = 5_000;
/** What the settings promise: the process is gone this long after the drain. */
const KILL_MS = DRAIN_TIMEOUT_MS + 1_000;
/** The service of the rig takes 1.5 s a call, and this many times as long here: longer than there is time. */
const SLOWNESS = 5;
const STREAM_TOKENS = 200;
const CALLERS = 24;
const ANSWER_WAIT_MS = 15_000;
/** By then the service has done what it began. */
const AFTERWARDS_MS = 4_000;

let rig: rigs.Rig;

type Ended = { key: string; status: number; outcome: string; header: string; retryAfter: string };

/** A submission on a connection of its own; status 0 where it was sent and got no whole answer. */
function ask(entryUrl: string, key: string): Promise<Ended> {
  return new Promise((resolve) => {
    const body = JSON.stringify({ key });
    const none = () => resolve({ key, status: 0, outcome: 'none', header: '', retryAfter: '' });
    const request = http.request(`${entryUrl}/services/desk/submissions`, {
      method: 'POST',
      agent: false,
      headers: { 'content-type': 'application/json', 'idempotency-key': key },
      timeout: ANSWER_WAIT_MS,
    });
    request.on('error', none);
    request.on('response', (response) => {
      let text = '';
      response.on('data', (data: Buffer) => {
        text += data.toString();
      });
      response.on('error', none);
      response.on('end', () => {
        const { outcome = '' } = (text.startsWith('{') ? JSON.parse(text) : {}) as Partial<Ended>;
        const { connection: header = '', 'retry-after': retryAfter = '' } = response.headers;
        resolve({ key, status: response.statusCode ?? 0, outcome, header, retryAfter });
      });
    });
    request.end(body);
  });
}

/** Stops the process beside submissions that run and wait; resolves to their ends and to when it was gone. */
async function stopBeside(name: string, entryUrl: string) {
  await rigs.setFault(rig.service, 'slow', SLOWNESS);
  const asked = Array.from({ length: CALLERS }, (_, index) => ask(entryUrl, `${name}-${index}`));
  await timers.setTimeout(500);
  const child = rig.fleet.processes.get(name);
  const stopAtMs = performance.now();
  rig.signal(name, 'SIGTERM');
  const endOf = async () => child?.exitCode ?? child?.signalCode ?? undefined;
  const kill = setTimeout(() => rig.signal(name, 'SIGKILL'), KILL_MS);
  const exit = await rigs.waitFor(`the end of ${name}`, endOf);
  const goneMs = performance.now() - stopAtMs;
  clearTimeout(kill);
  const ends = await Promise.all(asked);
  await rigs.clearFaults(rig.service);
  await timers.setTimeout(AFTERWARDS_MS);
  const ran = new Set(await rigs.submissionsOf(rig.service));
  return { ends, exit, goneMs, ran };
}

function linesOf(name: string, event: string): string[] {
  const text = fs.readFileSync(path.join(rig.fleet.folder, `${name}.log`), 'utf8');
  return text.split('\n').filter((line) => line.includes(` event=${event} `));
}

function check(stop: Awaited<ReturnType<typeof stopBeside>>): void {
  const told = JSON.stringify([stop.ends.map(({ key, status }) => [key, status]), stop.goneMs]);
  const isRun = ({ key }: Ended) => stop.ran.has(JSON.stringify({ key }));
  assert.equal(stop.exit, 0, told);
  assert.ok(stop.goneMs < KILL_MS - 200, `gone after ${stop.goneMs} ms`);
  assert.equal(stop.ends.filter(({ status }) => status === 0).length, 0, told);
  const notRun = stop.ends.filter(({ outcome }) => outcome === 'not-run');
  assert.equal(notRun.filter(isRun), []);
  assert.ok(notRun.every(({ retryAfter }) => Number(retryAfter) >= 1));
  // Calls were running and waiting.
  const unknown = stop.ends.filter(({ outcome }) => outcome === 'unknown');
  assert.ok(unknown.some(isRun), told);
  assert.ok(notRun.length > 0, told);
}

test.before(async () => {
  rig = await rigs.startRig('files', { drainTimeoutMs: DRAIN_TIMEOUT_MS });
  await rigs.untilServing(rig);
});

test.after(async () => {
  await (rig as rigs.Rig | undefined)?.stop();
});

// Guards against a stop of an entry that passes on what it can't finish, and ends calls without an answer.
test('the stop of an entry answers all calls, and is over before the kill', async () => {
  const entryUrl = rig.entries[1]?.url ?? '';
  const text = rigs.stream(entryUrl, STREAM_TOKENS);
  const stop = await stopBeside('entry-2', entryUrl);
  check(stop);
  assert.ok(stop.ends.every(({ header }) => header === 'close'));
  assert.match(await text, /"content":[^]*event: error\ndata: \{.*stopping/);
  assert.equal(linesOf('entry-2', 'call-at-stop').length, CALLERS + 1);
  const unknown = stop.ends.find(({ outcome }) => outcome === 'unknown');
  assert.is((await ask(rig.entries[0]?.url ?? '', unknown?.key ?? '')).status, 201);
  const ran = await rigs.submissionsOf(rig.service);
  assert.is(new Set(ran).size, ran.length);
});

// Guards against a stop of an agent that starts what it can't finish, and leaves entries without a word of what it runs.
test('the stop of an agent gives each attempt a truthful end, and is over before the kill', async () => {
  check(await stopBeside('agent-desk-1', rig.entries[0]?.url ?? ''));
});

// Guards against a stop that waits for the store and is not over before the kill.
test('the stop of an entry is over in time while the store says nothing', async () => {
  rig.signal('stand-in-platform', 'SIGSTOP');
  const stop = await stopBeside('entry-1', rig.entries[0]?.url ?? '').finally(() =>
    rig.signal('stand-in-platform', 'SIGCONT'),
  );
  assert.is(stop.exit, 0);
  assert.ok(stop.goneMs < KILL_MS - 200, `gone after ${stop.goneMs} ms`);
  assert.equal(stop.ends.filter(({ status }) => status === 0).length, 0);
  assert.is(linesOf('entry-1', 'journal-cut-off').length, 1);
});

test.run();
