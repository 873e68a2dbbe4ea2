/** `npm run matrix`: every fault at every step; one row each, then the counts; status 1 on red. */
import * as commander from 'commander';

import * as cells from './cells.js';
import * as report from './report.js';
import * as runner from './runner.js';

const program = new commander.Command('matrix')
  .description('Runs the fault matrix')
  .option('--only <text>', 'cells whose row contains the text')
  .parse();
const options = program.opts<{ only?: string }>();

function isWanted(cell: cells.Cell): boolean {
  return `${cell.journey} ${cell.fault} ${cell.step}`.includes(options.only ?? '');
}

const rows = await runner.runCells(cells.listCells().filter(isWanted));
rows.forEach((row) => console.log(report.formatRow(row)));
report.formatCounts(rows).forEach((line) => console.log(line));
process.exit(report.countVerdict(rows, 'red') > 0 ? 1 : 0);
