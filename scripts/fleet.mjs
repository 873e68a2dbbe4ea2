// Starts a small fleet on loopback for the demo and for measurements: stand-ins, entries, agents.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const STOP_TIMEOUT_MS = 10_000;
const HOST = '127.0.0.1';

/** A port that was free a moment ago. */
export function freePort() {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, HOST, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Polls `probe` until it returns something other than undefined. */
export async function waitFor(what, probe) {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const value = await probe().catch(() => undefined);
    if (value !== undefined) return value;
    await timers.setTimeout(POLL_MS);
  }
  throw new Error(`timed out waiting for ${what}`);
}

/** `output`: where the log lines of the processes go, `files` of their own in the fleet's folder by default. */
export function createFleet(output = 'files') {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'copperlever-'));
  const processes = new Map();

  function spawn(name, program, args) {
    const logFile = fs.openSync(path.join(folder, `${name}.log`), 'w');
    const child = childProcess.spawn(process.execPath, [`dist/${program}.js`, ...args], {
      stdio: ['ignore', output === 'files' ? logFile : output, logFile],
    });
    child.stdout?.resume();
    processes.set(name, child);
    return child;
  }

  function writeFile(name, value) {
    const file = path.join(folder, name);
    fs.writeFileSync(file, JSON.stringify(value, null, 2));
    return file;
  }

  async function startStandIn(name, kind, options = []) {
    const [port, controlPort] = [await freePort(), await freePort()];
    const ports = ['--port', String(port), '--control-port', String(controlPort)];
    spawn(name, `stand-in-${kind}`, [...ports, ...options]);
    const controlUrl = `http://${HOST}:${controlPort}`;
    await waitFor(name, async () => (await fetch(`${controlUrl}/counters`)).ok || undefined);
    return { url: `http://${HOST}:${port}`, controlUrl };
  }

  async function startEntry(settings) {
    const callerPort = settings.callerPort ?? (await freePort());
    const listenPort = await freePort();
    const file = writeFile(`${settings.entryId}.json`, {
      callerHost: HOST,
      callerPort,
      listenHost: HOST,
      listenPort,
      ...settings,
    });
    const child = spawn(settings.entryId, 'copperlever-entry', ['--settings', file]);
    const url = `http://${HOST}:${callerPort}`;
    const isOver = async () =>
      child.exitCode !== null || (await fetch(`${url}/healthz`)).ok || undefined;
    await waitFor(settings.entryId, isOver);
    if (child.exitCode !== null) throw new Error(`${settings.entryId} ended: ${child.exitCode}`);
    return { url, address: `${HOST}:${listenPort}` };
  }

  async function startAgent(settings) {
    const listenPort = await freePort();
    const file = writeFile(`${settings.agentId}.json`, {
      listenHost: HOST,
      listenPort,
      ...settings,
    });
    spawn(settings.agentId, 'copperlever-agent', ['--settings', file]);
    return { address: `${HOST}:${listenPort}` };
  }

  /** Runs the operators' command line and returns its status and output. */
  function operate(args) {
    const done = childProcess.spawnSync(process.execPath, ['dist/copperlever.js', ...args], {
      encoding: 'utf8',
    });
    return { status: done.status, out: done.stdout, error: done.stderr };
  }

  async function stopOne(child) {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGTERM');
    const stopped = await Promise.race([
      exited.then(() => true),
      timers.setTimeout(STOP_TIMEOUT_MS, undefined, { ref: false }).then(() => false),
    ]);
    if (!stopped) child.kill('SIGKILL');
  }

  return {
    folder,
    processes,
    writeFile,
    startStandIn,
    startEntry,
    startAgent,
    operate,
    /** Planned stops: daemons first, so that they can still write to the platform. */
    stop: async () => {
      const [standIns, daemons] = [[], []];
      for (const [name, child] of processes) {
        (name.startsWith('stand-in') ? standIns : daemons).push(child);
      }
      await Promise.all(daemons.map(stopOne));
      await Promise.all(standIns.map(stopOne));
    },
  };
}
