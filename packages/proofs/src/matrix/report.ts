/** The matrix as lines of text, and the counts that go with it. */
import type * as invariants from './invariants.js';
import type * as runner from './runner.js';

const JOURNEY_WIDTH = 20;
const FAULT_WIDTH = 66;
const STEP_WIDTH = 22;
const VERDICT_WIDTH = 15;

export function formatRow(row: runner.Row): string {
  const columns = [
    row.journey.padEnd(JOURNEY_WIDTH),
    row.fault.padEnd(FAULT_WIDTH),
    row.step.padEnd(STEP_WIDTH),
    row.verdict.padEnd(VERDICT_WIDTH),
  ];
  return `${columns.join(' ')}${row.detail}`.trimEnd();
}

function countKind(rows: readonly runner.Row[], kind: invariants.ViolationKind): number {
  return rows.flatMap((row) => row.violations).filter((found) => found.kind === kind).length;
}

export function countVerdict(rows: readonly runner.Row[], verdict: runner.Verdict): number {
  return rows.filter((row) => row.verdict === verdict).length;
}

export function formatCounts(rows: readonly runner.Row[]): string[] {
  const faultCount = rows.reduce((sum, row) => sum + row.strikeCount, 0);
  const verdicts = (['held', 'red', 'not covered', 'not applicable'] as const).map(
    (verdict) => `${countVerdict(rows, verdict)} ${verdict}`,
  );
  return [
    `cells: ${verdicts.join(', ')}`,
    `faults injected: ${faultCount}`,
    [
      `requests: ${countKind(rows, 'lost')} lost`,
      `${countKind(rows, 'doubled')} doubled`,
      `${countKind(rows, 'wrong-answer')} answered wrongly`,
      `${countKind(rows, 'untruthful')} refused untruthfully`,
    ].join(', '),
  ];
}
