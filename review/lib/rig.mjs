/**
 * What the scripts of the cases share: gateways started by the deploy file's command, each at a loopback address of its own, the
 * temporary folder, the record, and the exit status.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';

import * as templates from './template.mjs';

export const { setTimeout: sleep } = timers;

const ROOT = url.fileURLToPath(new url.URL('../..', import.meta.url));
const ZONES = ['long-bien', 'tay-ho', 'cau-giay'];
const READY_POLL_MS = 50;
const START_MAX_MS = 20_000;
/** A script has 120 seconds; the rest is for its end. */
const WATCHDOG_MS = 110_000;

/** The bounds of the two sites' sheets, in the names of the settings page. */
const BOUNDS = {
  graceS: 8,
  drainMs: 2_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 58,
  leaseMs: 3_000,
  fencingEnforced: true,
  ceilingWindowS: 5,
  ceilingOverage: 1.1,
};

function deployFile() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command = ''] = /^run = "(.*)"$/m.exec(text) ?? [];
  const [, template = ''] = /^template = "(.*)"$/m.exec(text) ?? [];
  return { words: command.split(' '), template: path.join(ROOT, template) };
}

export async function freePort(host) {
  const server = net.createServer();
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** A loopback network of this run: the metrics port of the deploy file is the same for all gateways. */
function loopbackNetwork() {
  const octet = () => 1 + Math.floor(Math.random() * 250);
  return `127.${octet()}.${octet()}`;
}

export function createRig(caseUrl) {
  const folder = path.dirname(url.fileURLToPath(caseUrl));
  const record = fs.createWriteStream(path.join(folder, 'record.txt'));
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const network = loopbackNetwork();
  const startedMs = performance.now();
  const children = new Set();
  const closers = [];
  let isEnding = false;

  const nowMs = () => Math.round(performance.now() - startedMs);

  /** One line an event: the time since the start of the script, what it is, and its fields. */
  function note(event, fields = {}) {
    const words = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    record.write(`${String(nowMs()).padStart(7)} ms ${event} ${words.join(' ')}\n`);
  }

  function watch(name, child) {
    children.add(child);
    child.once('exit', (code, signal) => {
      children.delete(child);
      note('process-ended', { name, code, signal });
    });
  }

  /**
   * `index` from 1 is the machine's number. Its addresses stay the same when it is started again, as after a restart by the
   * platform.
   */
  async function createMachine(index, { storeAddress, seeds, bounds = {}, isFirstStart = true }) {
    const ip = `${network}.${index}`;
    const name = `front-${index}`;
    const ports = [await freePort(ip), await freePort(ip), await freePort(ip)];
    const [front, ready, control] = ports.map((port) => `${ip}:${port}`);
    const { words, template } = deployFile();
    const file = path.join(temporary, `${name}.json`);
    let child = null;

    function writeSettings(firstStart) {
      const fields = {
        nodeName: name,
        zone: ZONES[(index - 1) % ZONES.length],
        region: 'hanoi',
        ip,
        firstStart,
        seeds: seeds(),
        listen: { front, ready, control },
        limits: { cpuShare: 0.513, cores: 1 },
        bounds: { ...BOUNDS, ...bounds },
        platform: { address: storeAddress },
      };
      fs.writeFileSync(file, templates.render(fs.readFileSync(template, 'utf8'), fields));
    }

    async function isReady() {
      try {
        const answer = await fetch(`http://${ready}/v1/ready`);
        await answer.arrayBuffer();
        return answer.status === 200;
      } catch {
        return false;
      }
    }

    function start(firstStart = isFirstStart) {
      writeSettings(firstStart);
      const { PATH, HOME, LANG } = process.env;
      const log = fs.openSync(path.join(temporary, `${name}.log`), 'a');
      child = childProcess.spawn(words[0], words.slice(1), {
        cwd: ROOT,
        env: { PATH, HOME, LANG, COPPERLEVER_CONFIG: file },
        stdio: ['ignore', log, log],
      });
      fs.closeSync(log);
      watch(name, child);
      note('process-started', { name, pid: child.pid, front });
    }

    return {
      name,
      front,
      control,
      start,
      isReady,
      awaitReady: async () => {
        const untilMs = performance.now() + START_MAX_MS;
        while (!(await isReady())) {
          if (performance.now() > untilMs) throw new Error(`${name} is not ready`);
          await sleep(READY_POLL_MS);
        }
        note('ready', { name });
      },
      signal: (signal) => {
        note('signal', { name, signal });
        child.kill(signal);
      },
      awaitExit: async () => {
        const present = child;
        if (present.exitCode !== null || present.signalCode !== null) return;
        await new Promise((resolve) => {
          present.once('exit', resolve);
        });
      },
      log: () => fs.readFileSync(path.join(temporary, `${name}.log`), 'utf8'),
    };
  }

  async function end(status, summary) {
    if (isEnding) return;
    isEnding = true;
    note('verdict', { status, summary: JSON.stringify(summary) });
    process.stdout.write(`exit ${status}: ${summary}\n`);
    const ended = [...children].map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(ended);
    await Promise.race([Promise.all(closers.map((close) => close())), sleep(1_000)]);
    await new Promise((resolve) => {
      record.end(resolve);
    });
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(temporary, { recursive: true, force: true });
    else process.stdout.write(`logs: ${temporary}\n`);
    process.exit(status);
  }

  /** `play` returns the words for a broken rule, or null if it held; what it throws means that the case could not run. */
  async function run(play) {
    setTimeout(() => void end(2, 'out of time'), WATCHDOG_MS).unref();
    ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => void end(2, signal)));
    try {
      const broken = await play();
      await end(broken === null ? 0 : 1, broken ?? 'the rule held');
    } catch (cause) {
      await end(2, String(cause?.stack ?? cause));
    }
  }

  return {
    hasTrouble: process.env.TROUBLE !== '0',
    host: `${network}.100`,
    note,
    nowMs,
    createMachine,
    onEnd: (close) => closers.push(close),
    run,
  };
}
