/** A small fleet of real processes on loopback, for what only the operating system can do. */
import * as net from 'node:net';
import * as path from 'node:path';
import type * as streams from 'node:stream';
import * as url from 'node:url';

type Started = { url: string; controlUrl: string };
type Child = {
  pid?: number;
  kill: (signal: NodeJS.Signals) => boolean;
  exitCode: number | null;
  signalCode: NodeJS.Signals | null;
  stdout: streams.Readable | null;
};

/** Where the log lines of the processes go. */
export type Output = 'files' | 'pipe' | number;

/** What scripts/fleet.mjs offers. */
export type ProcessFleet = {
  folder: string;
  processes: Map<string, Child>;
  writeFile: (name: string, value: unknown) => string;
  startStandIn: (name: string, kind: string, options?: string[]) => Promise<Started>;
  startEntry: (settings: object) => Promise<{ url: string; address: string }>;
  startAgent: (settings: object) => Promise<{ address: string }>;
  operate: (args: string[]) => { status: number | null; out: string; error: string };
  stop: () => Promise<void>;
};

type FleetModule = {
  createFleet: (output?: Output) => ProcessFleet;
  freePort: () => Promise<number>;
  waitFor: <Value>(what: string, probe: () => Promise<Value | undefined>) => Promise<Value>;
};

const script = url.pathToFileURL(path.resolve('scripts/fleet.mjs')).href;
const scripts = (await import(script)) as FleetModule;

export const { waitFor, createFleet, freePort } = scripts;

const GIGABYTE = 1_000_000_000;
/** A caller that would rather ask again than wait for an agent that is not there yet. */
const FIRST_ANSWER_MS = 3_000;
const PLACE = { region: 'hanoi', failureDomain: 'long-bien', journalFlushIntervalMs: 500 };

const engine = {
  kind: 'engine',
  pool: 'jury-models',
  region: 'hanoi',
  failureDomain: 'long-bien',
  acceleratorCount: 1,
  memoryBytes: 40 * GIGABYTE,
  slotCount: 8,
  checksFencing: true,
};

const configuration = {
  upstreams: {
    'jury-1': engine,
    'jury-2': engine,
    'desk-1': {
      kind: 'service',
      pool: 'entry-desk',
      region: 'hanoi',
      failureDomain: 'long-bien',
      slotCount: 4,
    },
  },
  models: { draws: { version: 'v1', sizeBytes: 16 * GIGABYTE, pools: ['jury-models'] } },
  services: {
    desk: {
      pool: 'entry-desk',
      nonIdempotentRoutes: [{ method: 'POST', pathPrefix: '/submissions' }],
    },
  },
};

/** Forwards TCP; `silence` makes the open connections forget each other, and new ones work. */
export async function startRelay(targetUrl: string) {
  const target = new URL(targetUrl);
  let pairs: [net.Socket, net.Socket][] = [];
  const server = net.createServer((near) => {
    const far = net.connect(Number(target.port), target.hostname);
    near.pipe(far).pipe(near);
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
    pairs.push([near, far]);
  });
  const port = await scripts.freePort();
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${port}`,
    silence: () => {
      pairs.forEach(([near, far]) => {
        near.unpipe(far);
        far.unpipe(near);
        near.resume();
        far.resume();
      });
      pairs = [];
    },
    close: () => {
      server.close();
      pairs.flat().forEach((socket) => socket.destroy());
    },
  };
}

export type RigChanges = {
  /** Settings of that daemon, beside the usual ones. */
  settingsOf?: (daemonId: string) => object;
  /** The URL under which the daemons know that stand-in. */
  reroute?: (name: string, url: string) => Promise<string>;
};

/** `settings`: of all entries and agents. */
export async function startRig(
  output: Output = 'files',
  settings: object = {},
  { settingsOf = () => ({}), reroute = async (_name, to) => to }: RigChanges = {},
) {
  const fleet = createFleet(output);
  const platform = await fleet.startStandIn('stand-in-platform', 'platform');
  const relay = await startRelay(await reroute('platform', platform.url));
  const engineOptions = ['--memory-bytes', String(40 * GIGABYTE), '--token-gap-ms', '40'];
  const engines = [
    await fleet.startStandIn('stand-in-engine-1', 'engine', engineOptions),
    await fleet.startStandIn('stand-in-engine-2', 'engine', engineOptions),
  ];
  const service = await fleet.startStandIn('stand-in-service', 'service', ['--work-ms', '1500']);
  const upstreamUrls: Record<string, string> = {
    'jury-1': await reroute('jury-1', engines[0]?.url ?? ''),
    'jury-2': await reroute('jury-2', engines[1]?.url ?? ''),
    'desk-1': await reroute('desk-1', service.url),
  };
  const seeds: string[] = [];
  const place = { ...PLACE, ...settings, platformUrl: relay.url };

  async function startEntry(entryId: string) {
    const entry = await fleet.startEntry({
      ...place,
      ...settingsOf(entryId),
      entryId,
      seedAddresses: [...seeds],
    });
    seeds.push(entry.address);
    return entry;
  }

  async function startAgent(upstreamId: string): Promise<void> {
    const upstreamUrl = upstreamUrls[upstreamId] ?? '';
    const agentId = `agent-${upstreamId}`;
    await fleet.startAgent({
      ...place,
      ...settingsOf(agentId),
      agentId,
      upstreamId,
      upstreamUrl,
      seedAddresses: [...seeds],
    });
  }

  function signal(name: string, kind: NodeJS.Signals): void {
    fleet.processes.get(name)?.kill(kind);
  }

  const entries = [await startEntry('entry-1'), await startEntry('entry-2')];
  for (const upstreamId of Object.keys(upstreamUrls)) await startAgent(upstreamId);
  const file = fleet.writeFile('configuration.json', configuration);
  const patched = fleet.operate([
    '--platform',
    platform.url,
    'config',
    'patch',
    '--against',
    '0',
    file,
  ]);
  if (patched.status !== 0) throw new Error(patched.error);
  return {
    fleet,
    platform,
    relay,
    engines,
    service,
    entries,
    startEntry,
    startAgent,
    signal,
    stop: async () => {
      await fleet.stop();
      relay.close();
    },
  };
}

export type Rig = Awaited<ReturnType<typeof startRig>>;

export async function setFault(standIn: Started, name: string, value: unknown): Promise<void> {
  await fetch(`${standIn.controlUrl}/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ name, value }),
  });
}

export async function clearFaults(standIn: Started): Promise<void> {
  await fetch(`${standIn.controlUrl}/faults`, { method: 'DELETE' });
}

/** The proofs that the service has done, by their text. */
export async function submissionsOf(service: Started): Promise<string[]> {
  const counters = (await (await fetch(`${service.controlUrl}/counters`)).json()) as {
    submissions: { proof: unknown }[];
  };
  return counters.submissions.map(({ proof }) => JSON.stringify(proof));
}

export async function submit(
  entryUrl: string,
  key: string,
): Promise<{ status: number; body: string }> {
  const response = await fetch(`${entryUrl}/services/desk/submissions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'idempotency-key': key },
    body: JSON.stringify({ key }),
  });
  return { status: response.status, body: await response.text() };
}

/** Once both entries serve streams and submissions. */
export async function untilServing(rig: Rig): Promise<void> {
  for (const { url: entryUrl } of rig.entries) {
    await waitFor('an entry that serves both kinds', async () => {
      const ready = await fetch(`${entryUrl}/readyz`);
      if (!ready.ok) return undefined;
      const text = await stream(entryUrl, 2, () => {}, FIRST_ANSWER_MS);
      return isWhole(text, 2) ? true : undefined;
    });
    await waitFor('an answer to the first submission', async () => {
      const { status } = await submit(entryUrl, 'first');
      return status === 201 ? true : undefined;
    });
  }
}

/** Streams an answer; `onFirst` is told of its first bytes. */
export async function stream(
  entryUrl: string,
  tokens: number,
  onFirst = () => {},
  timeoutMs = 60_000,
): Promise<string> {
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-request-deadline': new Date(Date.now() + timeoutMs).toISOString(),
    },
    body: JSON.stringify({
      model: 'draws',
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content: 'lane seven' }],
    }),
  });
  let text = '';
  const decoder = new TextDecoder();
  for await (const part of response.body ?? []) {
    if (text === '') onFirst();
    text += decoder.decode(part as Uint8Array, { stream: true });
  }
  return text;
}

/** Whether a streamed answer came to its own end with all its tokens. */
export function isWhole(text: string, tokens: number): boolean {
  const count = [...text.matchAll(/"content":/g)].length;
  return text.trimEnd().endsWith('data: [DONE]') && count === tokens;
}
