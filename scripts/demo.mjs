// The whole path on loopback: two entries, two engines and a plain service with an agent each, and a
// small platform. One streamed answer, one proof submission sent twice, and the trace of each.
import * as fleets from './fleet.mjs';

const GIGABYTE = 1_000_000_000;

const configuration = {
  upstreams: {
    'jury-1': {
      kind: 'engine',
      pool: 'jury-models',
      failureDomain: 'long-bien',
      region: 'hanoi',
      acceleratorCount: 1,
      memoryBytes: 40 * GIGABYTE,
      slotCount: 8,
      checksFencing: true,
    },
    'jury-2': {
      kind: 'engine',
      pool: 'jury-models',
      failureDomain: 'tay-ho',
      region: 'hanoi',
      acceleratorCount: 1,
      memoryBytes: 40 * GIGABYTE,
      slotCount: 8,
      checksFencing: true,
    },
    'proofs-1': {
      kind: 'service',
      pool: 'proof-desk',
      failureDomain: 'long-bien',
      region: 'hanoi',
      slotCount: 4,
    },
  },
  models: {
    'draw-writer': { version: 'v1', sizeBytes: 16 * GIGABYTE, pools: ['jury-models'] },
    'protest-summary': {
      version: 'v1',
      sizeBytes: 14 * GIGABYTE,
      pools: ['jury-models'],
      priorityClass: 'batch',
    },
  },
  adapters: {
    'club-a-draws': { model: 'draw-writer', version: 'v1', sizeBytes: GIGABYTE },
  },
  services: {
    proofs: {
      pool: 'proof-desk',
      priorityClass: 'critical',
      nonIdempotentRoutes: [{ method: 'POST', pathPrefix: '/submissions' }],
    },
  },
};

function check(what, held) {
  console.log(`${held ? 'held' : 'RED '}  ${what}`);
  if (!held) process.exitCode = 1;
}

async function askStreamed(entryUrl, model) {
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      model,
      stream: true,
      max_tokens: 8,
      messages: [{ role: 'user', content: 'lane draw for heat three' }],
    }),
  });
  const text = await response.text();
  const tokens = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1]);
  return {
    status: response.status,
    requestId: response.headers.get('x-request-id'),
    answer: tokens.join('').trim(),
    isWhole: text.endsWith('data: [DONE]\n\n'),
  };
}

async function submitProof(entryUrl, key) {
  const response = await fetch(`${entryUrl}/services/proofs/submissions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'idempotency-key': key },
    body: JSON.stringify({ proof: 'carton 12, front panel' }),
  });
  return {
    status: response.status,
    requestId: response.headers.get('x-request-id'),
    body: await response.text(),
    replayed: response.headers.get('idempotency-replayed') === 'true',
  };
}

async function startAll(fleet) {
  const platform = await fleet.startStandIn('stand-in-platform', 'platform');
  const engines = [
    await fleet.startStandIn('stand-in-engine-1', 'engine', ['--memory-bytes', '40000000000']),
    await fleet.startStandIn('stand-in-engine-2', 'engine', ['--memory-bytes', '40000000000']),
  ];
  const service = await fleet.startStandIn('stand-in-service', 'service');
  const place = {
    region: 'hanoi',
    failureDomain: 'long-bien',
    platformUrl: platform.url,
    journalFlushIntervalMs: 500,
  };
  const first = await fleet.startEntry({ ...place, entryId: 'entry-1', seedAddresses: [] });
  const seeds = { ...place, seedAddresses: [first.address] };
  const second = await fleet.startEntry({ ...seeds, entryId: 'entry-2' });
  const upstreamUrls = {
    'jury-1': engines[0].url,
    'jury-2': engines[1].url,
    'proofs-1': service.url,
  };
  for (const [upstreamId, upstreamUrl] of Object.entries(upstreamUrls)) {
    await fleet.startAgent({ ...seeds, agentId: `agent-${upstreamId}`, upstreamId, upstreamUrl });
  }
  return { platform, service, entries: [first, second] };
}

async function waitUntilServing(entries) {
  for (const entry of entries) {
    await fleets.waitFor('an entry that is ready and sees all agents', async () => {
      const ready = await fetch(`${entry.url}/readyz`);
      const status = await (await fetch(`${entry.url}/operator/status`)).json();
      const agents = status.members.filter((member) => member.role === 'agent');
      return ready.ok && agents.length === 3 ? true : undefined;
    });
  }
}

/** A dispatched request has also the events of its agent. */
function isComplete(text) {
  return !/ {2}dispatched/.test(text) || / {2}answered/.test(text);
}

async function showTrace(fleet, platform, requestId) {
  const args = ['--platform', platform.url, 'trace', requestId];
  const trace = await fleets.waitFor(`the trace of ${requestId}`, async () => {
    const done = fleet.operate(args);
    return done.status === 0 && /outcome=answered/.test(done.out) && isComplete(done.out)
      ? done.out
      : undefined;
  });
  console.log(`\ntrace ${requestId}\n${trace}`);
  return trace;
}

async function runDemo(fleet) {
  const { platform, service, entries } = await startAll(fleet);
  const patch = fleet.writeFile('configuration.json', configuration);
  const platformArgs = ['--platform', platform.url, '--operator', 'demo'];
  const patched = fleet.operate([...platformArgs, 'config', 'patch', '--against', '0', patch]);
  check(`the first configuration is accepted: ${patched.out.trim()}`, patched.status === 0);
  const stale = fleet.operate([...platformArgs, 'config', 'patch', '--against', '0', patch]);
  check('the same patch again is stale', stale.status === 3);
  await waitUntilServing(entries);

  const streamed = await askStreamed(entries[0].url, 'club-a-draws');
  check(`a streamed answer from an adapter: "${streamed.answer}"`, streamed.isWhole);
  const firstProof = await submitProof(entries[0].url, 'carton-12');
  check(`a proof submission: ${firstProof.status} ${firstProof.body}`, firstProof.status === 201);
  const repeat = await submitProof(entries[1].url, 'carton-12');
  check('its repeat to the other entry gets the same answer', repeat.body === firstProof.body);
  const counters = await (await fetch(`${service.controlUrl}/counters`)).json();
  check('the submission ran once', counters.submissions.length === 1);

  await showTrace(fleet, platform, streamed.requestId);
  await showTrace(fleet, platform, firstProof.requestId);
  const repeatTrace = await showTrace(fleet, platform, repeat.requestId);
  check('the trace of the repeat shows no dispatch', !/dispatched/.test(repeatTrace));
}

const fleet = fleets.createFleet();
try {
  await runDemo(fleet);
} catch (cause) {
  console.error(cause);
  console.error(`logs: ${fleet.folder}`);
  process.exitCode = 1;
} finally {
  await fleet.stop();
}
console.log(process.exitCode === 1 ? 'the demo failed' : 'the demo held');
