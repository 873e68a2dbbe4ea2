/** `bench-control`: what control costs, with real daemons on loopback; one JSON line for each part. */
import * as timers from 'node:timers/promises';

import * as commander from 'commander';

import * as claimRates from './claim-rates.js';
import * as fleets from './fleet.js';
import * as platforms from './platform.js';
import * as pureRun from './pure-run.js';
import * as scenarios from './scenarios.js';

type Options = {
  daemons: number;
  steadyMs: number;
  patches: number;
  basePort: number;
  journalEvents: number;
  only?: string;
  pure?: number;
  claims?: boolean;
};

const WARM_UP_MS = 15_000;

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count >= 0) return count;
  throw new commander.InvalidArgumentError('must be a whole number of at least 0');
}

const program = new commander.Command('bench-control')
  .description('CPU, memory, bytes and object API calls of control, and how fast news spreads')
  .option('--daemons <count>', 'daemon processes', parseCount, 10)
  .option('--steady-ms <ms>', 'how long the steady state is measured', parseCount, 30_000)
  .option('--patches <count>', 'patches made one after the other', parseCount, 5)
  .option('--base-port <port>', 'the first of the ports used', parseCount, 21_000)
  .option('--journal-events <count>', 'journal events a second of each daemon', parseCount, 0)
  .option('--pure <members>', 'no processes: this many members on a virtual clock', parseCount)
  .option('--claims', 'no processes: rates of claims on a virtual clock, by way of keeping them')
  .option('--only <part>', 'steady: no faults; idle: no membership; attributes: with --pure')
  .parse();
const options = program.opts<Options>();

function report(part: string, result: unknown): void {
  console.log(JSON.stringify({ bench: 'control', daemons: options.daemons, part, result }));
}

async function runFaults(fleet: fleets.Fleet, platform: platforms.Platform): Promise<void> {
  report('patches', await scenarios.measurePatches(fleet, options.patches));
  report('leaving', await scenarios.measureLeaving(fleet, 4));
  report('killed', await scenarios.measureKilled(fleet, 5));
  await scenarios.waitForWholeViews(fleet);

  await platform.setDown(true);
  report('store-down-steady', await scenarios.measureSteady(fleet, options.steadyMs));
  report('store-down-leaving', await scenarios.measureLeaving(fleet, 6));
  report('store-down-killed', await scenarios.measureKilled(fleet, 7));
  await platform.setDown(false);
  report('store-back-patches', await scenarios.measurePatches(fleet, 1));
  await scenarios.waitForWholeViews(fleet);

  report('tenth-restarts', await scenarios.measureRestarts(fleet, options.steadyMs));
}

async function run(fleet: fleets.Fleet, platform: platforms.Platform): Promise<void> {
  await fleet.startAll();
  if (options.only !== 'idle') {
    report('whole-views-seconds', await scenarios.waitForWholeViews(fleet));
    await scenarios.measurePatches(fleet, 1);
  }
  await timers.setTimeout(WARM_UP_MS);
  const callsBefore = await platform.readCalls();
  report('steady', await scenarios.measureSteady(fleet, options.steadyMs));
  report('platform-calls', { before: callsBefore, after: await platform.readCalls() });
  if (options.only === undefined) await runFaults(fleet, platform);
}

if (options.pure !== undefined) {
  const members = options.pure;
  const runMembers = options.only === 'attributes' ? pureRun.runAttributes : pureRun.runPure;
  await runMembers(members, (part, result) => {
    console.log(JSON.stringify({ bench: 'control', pureMembers: members, part, result }));
  });
  process.exit(0);
}

if (options.claims === true) {
  await claimRates.runClaimRates((result) => {
    console.log(JSON.stringify({ bench: 'control', part: 'claims', result }));
  });
  process.exit(0);
}

const platform = await platforms.startPlatform(options.basePort - 2, options.basePort - 1);
const fleet = fleets.createFleet({
  count: options.daemons,
  basePort: options.basePort,
  storePort: platform.port,
  journalEventsPerSecond: options.journalEvents,
  isIdle: options.only === 'idle',
});
process.once('SIGINT', () => process.exit(1));
process.once('SIGTERM', () => process.exit(1));
process.once('exit', () => {
  fleet.stop();
  platform.stop();
});
await run(fleet, platform);
process.exit(0);
