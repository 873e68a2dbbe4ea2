/** Compares ways to bring short calls to a few upstreams, on a virtual clock; one line for each way and load. */
import * as plainFleets from '@copperlever/gateway/testing/plain-fleet';
import { randoms } from '@copperlever/runtime';
import * as commander from 'commander';

type Options = {
  seeds: number;
  lengthS: number;
  perSecond: string[];
  way: plainFleets.PlainWay[];
  wordAgeMs: string[];
  gateways: number;
  asked: number;
};

const WAYS: readonly plainFleets.PlainWay[] = ['as-before', 'by-finish', 'queue'];
const PERCENT = 100;
const MS_PER_SECOND = 1_000;

function percentile(sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
}

function summarize(outcomes: readonly plainFleets.PlainOutcome[]) {
  const sum = (of: (outcome: plainFleets.PlainOutcome) => number) =>
    outcomes.reduce((total, outcome) => total + of(outcome), 0);
  const asked = sum((outcome) => outcome.asked);
  const percent = (count: number) => Number(((PERCENT * count) / asked).toFixed(2));
  const latencies = outcomes.flatMap(({ latenciesMs }) => latenciesMs).sort((a, b) => a - b);
  return {
    asked,
    inTimePercent: percent(sum(({ inTime }) => inTime)),
    latePercent: percent(sum(({ late }) => late)),
    refusedPercent: percent(sum(({ refused }) => refused)),
    lostPercent: percent(sum(({ lost }) => lost)),
    rejected: sum(({ rejected }) => rejected),
    sentAgain: sum(({ sentAgain }) => sentAgain),
    toldBack: sum(({ toldBack }) => toldBack),
    medianMs: percentile(latencies, 0.5),
    p95Ms: percentile(latencies, 0.95),
    p99Ms: percentile(latencies, 0.99),
  };
}

async function compare(options: Options, way: plainFleets.PlainWay): Promise<void> {
  // What upstreams tell changes nothing there.
  const ages = way === 'as-before' ? ['own'] : options.wordAgeMs;
  for (const perSecond of options.perSecond.map(Number)) {
    for (const wordAge of ages) {
      const wordAgeMs = wordAge === 'own' ? null : Number(wordAge);
      const outcomes: plainFleets.PlainOutcome[] = [];
      for (let seed = 1; seed <= options.seeds; seed += 1) {
        const load: plainFleets.PlainFleetLoad = {
          ...plainFleets.TARGET_LOAD,
          way,
          perSecond,
          wordAgeMs,
          lengthMs: options.lengthS * MS_PER_SECOND,
          gatewayCount: options.gateways,
          askedGatewayCount: Math.min(options.asked, options.gateways),
        };
        outcomes.push(await plainFleets.playPlainFleet(load, randoms.createRandom(seed)));
      }
      console.log(JSON.stringify({ way, perSecond, wordAge, ...summarize(outcomes) }));
    }
  }
}

const program = new commander.Command('bench-plain')
  .description('Short calls before a few upstreams on shared machines, with no sockets.')
  .option('--seeds <n>', 'plays of each', Number, 3)
  .option('--length-s <s>', 'of a play', Number, 65)
  .option('--per-second <n...>', 'calls a second', ['84', '120', '200'])
  .addOption(new commander.Option('--way <names...>', 'ways').choices(WAYS).default([...WAYS]))
  .option('--word-age-ms <ms...>', 'words are at most so old; own: of own answers alone', [
    'own',
    '1',
    '250',
    '500',
  ])
  .option('--gateways <n>', 'gateways', Number, plainFleets.TARGET_LOAD.gatewayCount)
  .option('--asked <n>', 'gateways that callers reach', Number, Infinity);

const options = program.parse().opts<Options>();
for (const way of options.way) await compare(options, way);
