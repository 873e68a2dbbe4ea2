/** Median and worst over the seeds of one load and policy. */
import type * as outcomes from './outcomes.js';

type Field = keyof outcomes.Outcome;
type Spread = { median: number; worst: number };

/** Fields of which more is better; of all others less is. */
const HIGHER_IS_BETTER: ReadonlySet<Field> = new Set<Field>([
  'attainmentPerAccelerator',
  'attainment',
  'attainmentOfBound',
  'topClassAttainment',
  'topClassOfBound',
  'topClassFirstTokenShare',
  'standardAttainment',
  'batchAttainment',
]);

function spread(field: Field, values: readonly number[]): Spread {
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const worst = HIGHER_IS_BETTER.has(field) ? sorted[0] : sorted.at(-1);
  return { median, worst: worst ?? 0 };
}

/** The figures themselves for one run, median and worst of each for several. */
export function summarize(
  runs: readonly outcomes.Outcome[],
): outcomes.Outcome | Record<Field, Spread> {
  const [first] = runs;
  if (first === undefined) throw new Error('no runs to summarize');
  if (runs.length === 1) return first;
  const fields = Object.keys(first) as Field[];
  return Object.fromEntries(
    fields.map((field) => [
      field,
      spread(
        field,
        runs.map((outcome) => outcome[field]),
      ),
    ]),
  ) as Record<Field, Spread>;
}
