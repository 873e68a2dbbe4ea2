/** `npm run bench:path`: what the way through entry and agent adds to calling the engine directly. */
import * as timers from 'node:timers/promises';

import * as commander from 'commander';
import * as undici from 'undici';

import * as clients from './client.js';
import * as latencies from './latencies.js';
import * as pathFleets from './path-fleet.js';

type Options = {
  pairs: number;
  streams: number;
  loadedPairs: number;
  tokens: number;
  firstTokenMs: number;
  tokenGapMs: number;
  agentSettings: string;
};

const WARM_UP_PAIRS = 10;

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new commander.InvalidArgumentError('must be a whole number above 0');
}

const program = new commander.Command('bench-path')
  .description('Added time to first token and between tokens, against calling the engine directly')
  .option('--pairs <count>', 'pairs of requests, direct and through', parseCount, 150)
  .option('--streams <count>', 'streams side by side in the loaded part', parseCount, 32)
  .option('--loaded-pairs <count>', 'pairs of each of these streams', parseCount, 10)
  .option('--tokens <count>', 'tokens of each answer', parseCount, 32)
  .option('--first-token-ms <ms>', 'of the engine', parseCount, 20)
  .option('--token-gap-ms <ms>', 'of the engine', parseCount, 5)
  .option('--agent-settings <json>', 'settings of the agent to be tried', '{}')
  .parse();
const options = program.opts<Options>();

type Side = { firstToken: latencies.Latencies; gap: latencies.Latencies; tokenCount: number };

function createSide(): Side {
  return {
    firstToken: latencies.createLatencies(),
    gap: latencies.createLatencies(),
    tokenCount: 0,
  };
}

const client = new undici.Agent({ connections: options.streams * 2 });
const fleet = await pathFleets.startPathFleet(
  { firstTokenMs: options.firstTokenMs, tokenGapMs: options.tokenGapMs },
  JSON.parse(options.agentSettings) as Record<string, unknown>,
);
let failedCount = 0;

async function ask(url: string, side: Side): Promise<void> {
  const request = { url, model: pathFleets.MODEL, tokenCount: options.tokens };
  const times = await clients.streamOnce(client, request);
  if ('kind' in times) {
    failedCount += 1;
    return;
  }
  side.firstToken.add(times.firstTokenMs);
  times.gapsMs.forEach((gapMs) => side.gap.add(gapMs));
  side.tokenCount += times.gapsMs.length + 1;
}

type Worker = { index: number; count: number };

/** How long one answer takes at the engine. */
const answerMs = options.firstTokenMs + options.tokens * options.tokenGapMs;

/**
 * Pairs that follow each other, so that both sides meet the same state of the machine. Workers begin
 * one after another and half of them with the other side: requests that all arrive in one instant would
 * measure a queue, not the path.
 */
async function runPairs(worker: Worker, count: number, direct: Side, through: Side): Promise<void> {
  await timers.setTimeout((worker.index / worker.count) * answerMs);
  for (let pair = 0; pair < count; pair += 1) {
    const isDirectFirst = (pair + worker.index) % 2 === 0;
    const order = isDirectFirst ? ['direct', 'through'] : ['through', 'direct'];
    for (const which of order) {
      if (which === 'direct') await ask(fleet.directUrl, direct);
      else await ask(fleet.throughUrl, through);
    }
  }
}

async function measure(streamCount: number, pairsEach: number) {
  const [direct, through] = [createSide(), createSide()];
  const before = fleet.processorUs();
  const workers = Array.from({ length: streamCount }, (_, index) =>
    runPairs({ index, count: streamCount }, pairsEach, direct, through),
  );
  await Promise.all(workers);
  const after = fleet.processorUs();
  const perToken = (usedUs: number) => Math.round((usedUs / through.tokenCount) * 10) / 10;
  return {
    streams: streamCount,
    firstToken: latencies.compare(direct.firstToken, through.firstToken),
    tokenGap: latencies.compare(direct.gap, through.gap),
    processorUsPerToken: {
      entry: perToken(after.entry - before.entry),
      agent: perToken(after.agent - before.agent),
      tokenCount: through.tokenCount,
    },
  };
}

/** The first request loads the model; the next ones warm both ways. */
async function warmUp(): Promise<void> {
  await pathFleets.waitFor('the first answer', async () => {
    const side = createSide();
    await ask(fleet.throughUrl, side);
    return side.tokenCount > 0 ? true : undefined;
  });
  const unused = createSide();
  await runPairs({ index: 0, count: 1 }, WARM_UP_PAIRS, unused, unused);
  failedCount = 0;
}

process.once('SIGTERM', () => {
  void fleet.stop().finally(() => process.exit(1));
});

try {
  await warmUp();
  const alone = await measure(1, options.pairs);
  const loaded = await measure(options.streams, options.loadedPairs);
  console.log(JSON.stringify({ options, alone, loaded, failedCount }, null, 2));
  process.exitCode = failedCount > 0 ? 1 : 0;
} finally {
  await client.close();
  await fleet.stop();
}
