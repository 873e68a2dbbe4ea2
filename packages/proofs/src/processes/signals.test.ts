import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as besideTroubles from './beside-trouble.js';
import * as rigs from './rig.js';

const test = suite('signals to entries and agents');

const TOKENS = 20;
const GAP_MS = 20;
/** Signals that ask for no end. */
const HARMLESS: NodeJS.Signals[] = ['SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGPIPE', 'SIGHUP'];
const START_TIMEOUT_MS = 3_000;
const CAUGHT_SIGNALS = /^SigCgt:\s*([0-9a-f]+)$/m;
/** The bit of SIGHUP. */
const SIGHUP_CAUGHT = 1n;

let rig: rigs.Rig;

async function sendAll(names: string[], signals: readonly NodeJS.Signals[]): Promise<void> {
  for (const signal of signals) {
    for (const name of names) rig.signal(name, signal);
    await timers.setTimeout(GAP_MS);
  }
}

/** Changes the settings file of a daemon, or writes another one beside it. */
function rewrite(name: string, changes: object, newName = name): string {
  const text = fs.readFileSync(path.join(rig.fleet.folder, `${name}.json`), 'utf8');
  const settings = JSON.parse(text) as object;
  return rig.fleet.writeFile(`${newName}.json`, { ...settings, ...changes });
}

/** What each signal came to by the daemon's own lines. */
function outcomesOf(name: string): string[] {
  const text = fs.readFileSync(path.join(rig.fleet.folder, `${name}.log`), 'utf8');
  const found = text.matchAll(/event=signal-received .*?signal=(\S+) outcome=(.*)/g);
  return [...found].map(([, signal, outcome]) => `${signal} ${outcome}`);
}

test.before(async () => {
  rig = await rigs.startRig();
  await rigs.untilServing(rig);
});

test.after(async () => {
  await (rig as rigs.Rig | undefined)?.stop();
});

// Guards against a signal that asks for no end and ends entries and agents with all they are carrying.
test('signals that ask for no end lose no call, and settings are read again', async () => {
  rig.fleet.writeFile('entry-2.json', { entryId: 'entry-2', callerPort: 'none' });
  rewrite('agent-jury-2', { drainTimeoutMs: 60_000, listenPort: 1 });
  let sent: Promise<void> = Promise.resolve();
  const failures = await besideTroubles.besideTrouble(rig, () => {
    sent = sendAll(besideTroubles.DAEMONS, HARMLESS);
  });
  await sent;
  assert.equal(failures, []);
  assert.equal(
    besideTroubles.endsOf(rig),
    besideTroubles.DAEMONS.map(() => null),
  );
  assert.equal(outcomesOf('agent-jury-1'), [
    'SIGHUP settings-unchanged',
    'SIGUSR1 ignored',
    'SIGUSR2 ignored',
    'SIGHUP settings-unchanged',
  ]);
  assert.equal(
    outcomesOf('agent-jury-2').filter((outcome) => outcome.startsWith('SIGHUP')),
    [
      'SIGHUP settings-read inForceNow=drainTimeoutMs inForceFromNextStart=listenPort',
      'SIGHUP settings-read inForceFromNextStart=listenPort',
    ],
  );
  assert.match(
    outcomesOf('entry-2').at(-1) ?? '',
    /^SIGHUP settings-rejected reason=.*entry-2\.json:\d+: \w+: .*errorCount=\d+$/,
  );
});

// Guards against a stop that a second Ctrl-C, or any signal behind the first, cuts short.
test('signals during a drain of an entry and an agent cut nothing off', async () => {
  const [, entry] = rig.entries;
  const ask = () => rigs.stream(entry?.url ?? '', TOKENS).catch(String);
  const answers = Array.from({ length: 4 }, ask);
  await timers.setTimeout(GAP_MS * 5);
  const names = ['entry-2', 'agent-jury-1'];
  await sendAll(names, ['SIGINT', 'SIGINT', ...HARMLESS, 'SIGTERM', 'SIGQUIT']);
  for (const text of await Promise.all(answers)) assert.ok(rigs.isWhole(text, TOKENS), text);
  for (const name of names) {
    const child = rig.fleet.processes.get(name);
    const endOf = async () => child?.exitCode ?? child?.signalCode ?? undefined;
    const end = await rigs.waitFor(`the end of ${name}`, endOf);
    assert.is(end, 0, name);
  }
});

/** Once the process handles SIGHUP, or will not. */
async function untilCaught(pid: number): Promise<void> {
  const untilMs = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < untilMs) {
    const status = await fs.promises.readFile(`/proc/${pid}/status`, 'utf8').catch(() => null);
    const [, caught = '0'] = CAUGHT_SIGNALS.exec(status ?? '') ?? [];
    if (status === null || BigInt(`0x${caught}`) & SIGHUP_CAUGHT) return; // eslint-disable-line no-bitwise
    await timers.setTimeout(1);
  }
}

/** Signals a program as soon as its first statement has run; resolves to how it ended. */
async function endOfStart(program: string, name: string, ports: object): Promise<string> {
  const file = rewrite(name, ports, `${program}-starting`);
  const args = [`dist/${program}.js`, '--settings', file];
  const child = childProcess.spawn(process.execPath, args, { stdio: 'ignore' });
  const ended = new Promise<string>((resolve) => {
    child.once('exit', (status, signal) => resolve(`${status ?? signal}`));
  });
  await untilCaught(child.pid ?? 0);
  for (const signal of [...HARMLESS, 'SIGTERM'] as const) {
    child.kill(signal);
    await timers.setTimeout(GAP_MS / 4);
  }
  return ended;
}

// Guards against a signal that ends a process which has only just begun, before its modules are evaluated.
test('signals to an entry and an agent that start are handled as planned', async () => {
  const [callerPort, listenPort] = [await rigs.freePort(), await rigs.freePort()];
  const ends = await Promise.all([
    endOfStart('copperlever-entry', 'entry-1', { entryId: 'entry-9', callerPort, listenPort }),
    endOfStart('copperlever-agent', 'agent-desk-1', {
      agentId: 'agent-9',
      listenPort: await rigs.freePort(),
    }),
  ]);
  assert.equal(ends, ['0', '0']);
});

test.run();
