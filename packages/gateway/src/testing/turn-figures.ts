/** Prints the comparison of docs/design/prefill-turns.md: `npx tsx turn-figures.ts [gateways] [faults|load]`. */
import { randoms } from '@copperlever/runtime';

import * as turnFleets from './turn-fleet.js';

const UPSTREAMS: Record<number, number> = { 6: 8, 23: 29, 410: 730 };
const SEEDS = [1, 2, 3];
const WARM_UP_MS = 4_000;
const WAYS: readonly turnFleets.TurnWay[] = ['alone', 'owners', 'model-queues'];
const FAULTS: readonly turnFleets.TurnFault[] = [
  'none',
  'killed',
  'paused',
  'partitioned',
  'duplicated',
];

export function baseLoad(gatewayCount: number): turnFleets.TurnLoad {
  return {
    way: 'owners',
    gatewayCount,
    upstreamCount: UPSTREAMS[gatewayCount] ?? gatewayCount,
    modelsPerUpstream: 1,
    streamsPerSecond: 8,
    fault: 'none',
    lengthMs: WARM_UP_MS + (gatewayCount > 100 ? 6_000 : 60_000),
    knowsSpeed: true,
    hasQueueLimit: false,
    warmUpMs: WARM_UP_MS,
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

export function describe(outcomes: readonly turnFleets.TurnOutcome[]): string {
  const sum = (of: (outcome: turnFleets.TurnOutcome) => number) =>
    outcomes.reduce((total, outcome) => total + of(outcome), 0);
  const mean = (of: (outcome: turnFleets.TurnOutcome) => number) => sum(of) / outcomes.length;
  const waits = outcomes.flatMap(({ turnWaitsMs }) => turnWaitsMs).sort((a, b) => a - b);
  const requests = sum((outcome) => outcome.requests);
  const prefills = sum((outcome) => outcome.prefills);
  return [
    `harmful ${(sum(({ harmful }) => harmful) / prefills).toFixed(3)}`,
    `late streams ${(sum(({ lateStreams }) => lateStreams) / prefills).toFixed(3)}`,
    `late first ${(sum(({ lateFirst }) => lateFirst) / prefills).toFixed(3)}`,
    `refused ${(sum(({ refused }) => refused) / requests).toFixed(3)}`,
    `unanswered ${(sum(({ unanswered }) => unanswered) / requests).toFixed(3)}`,
    `wait ${quantile(waits, 0.5).toFixed(0)}/${quantile(waits, 0.99).toFixed(0)} ms`,
    `messages ${mean(({ messagesPerSecond }) => messagesPerSecond).toFixed(1)}/s`,
    `busiest ${mean((outcome) => outcome.busiestMessagesPerSecond).toFixed(0)}/s`,
    `bytes ${mean(({ bytesPerSecond }) => bytesPerSecond).toFixed(0)}/s`,
  ].join(', ');
}

function print(load: turnFleets.TurnLoad, name: string): void {
  const seeds = load.gatewayCount > 100 ? SEEDS.slice(0, 1) : SEEDS;
  const outcomes = seeds.map((seed) => turnFleets.playTurns(load, randoms.createRandom(seed)));
  process.stdout.write(`${load.gatewayCount} gateways, ${name}: ${describe(outcomes)}\n`);
}

function main(): void {
  const [count = '23', what = 'load'] = process.argv.slice(2);
  const base = baseLoad(Number(count));
  const faults = what === 'faults' ? FAULTS : (['none'] as const);
  const shapes = what === 'faults' ? ([1] as const) : ([1, 2] as const);
  shapes.forEach((modelsPerUpstream) =>
    faults.forEach((fault) =>
      WAYS.forEach((way) => {
        const lengthMs = what === 'faults' ? WARM_UP_MS + 6_000 : base.lengthMs;
        const load = { ...base, modelsPerUpstream, fault, way, lengthMs };
        print(load, `${modelsPerUpstream} models an upstream, fault ${fault}, ${way}`);
      }),
    ),
  );
}

if (process.argv[1]?.endsWith('turn-figures.ts') === true) main();
