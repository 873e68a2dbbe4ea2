/** `npm run matrix`: every fault at every step; one row each, then the counts; status 1 on red. */
import * as fs from 'node:fs';

import * as commander from 'commander';

import * as cells from './cells.js';
import * as report from './report.js';
import * as runner from './runner.js';
import * as safeguards from './safeguards.js';
import * as workers from './workers.js';

type Options = { only: string; without?: string; list?: boolean; passKnownRed?: boolean };

const BAD_OPTION_STATUS = 2;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

function readOptions(): Options {
  return new commander.Command('matrix')
    .description('Runs the fault matrix')
    .option('--only <text>', 'cells whose row contains the text', '')
    .option('--without <safeguard>', 'switches one safeguard off, to see which cells turn red')
    .option('--pass-known-red', 'status 0 if every red row is named in KNOWN-RED.txt')
    .option('--list', 'names the safeguards')
    .parse()
    .opts<Options>();
}

async function runShare(share: workers.Share): Promise<void> {
  const wanted = cells.listCells().filter((cell) => cells.isWanted(cell, share.only));
  const own = wanted.filter((_, index) => index % share.count === share.index);
  const removed = share.without === null ? undefined : safeguards.findSafeguard(share.without);
  workers.postRows(await runner.runCells(own, removed?.without));
}

/** A known red is named by its row: "journey, fault, step". It is printed as red all the same. */
function isPassed(row: runner.Row, options: Options): boolean {
  if (options.passKnownRed !== true || !fs.existsSync(KNOWN_RED_FILE)) return false;
  const name = `"${row.journey}, ${row.fault}, ${row.step}"`;
  return fs.readFileSync(KNOWN_RED_FILE, 'utf8').includes(name);
}

async function runAll(): Promise<void> {
  const options = readOptions();
  if (options.list === true) {
    safeguards.SAFEGUARDS.forEach(({ name, prevents }) => console.log(`${name}: ${prevents}`));
    return;
  }
  const without = options.without ?? null;
  if (without !== null && safeguards.findSafeguard(without) === undefined) {
    console.error(`there is no safeguard "${without}"; --list names them`);
    process.exitCode = BAD_OPTION_STATUS;
    return;
  }
  const rows = await workers.runShares(new URL(import.meta.url), options.only, without);
  rows.forEach((row) => console.log(report.formatRow(row)));
  report.formatCounts(rows).forEach((line) => console.log(line));
  const unknownRed = rows.filter((row) => row.verdict === 'red' && !isPassed(row, options));
  process.exitCode = unknownRed.length > 0 ? 1 : 0;
}

const share = workers.ownShare();
await (share === null ? runAll() : runShare(share));
