/** The cells of the matrix: one for each fault, or pair of faults, and step of a journey. */
import type * as fleets from '../harness/fleet.js';
import * as faults from './faults.js';
import type * as invariants from './invariants.js';
import * as requestJourney from './request-journey.js';

export type CellOutcome = { violations: readonly invariants.Violation[]; strikeCount: number };

export type Cell = {
  journey: string;
  fault: string;
  step: string;
  work:
    | { kind: 'run'; run: (overrides?: fleets.Overrides) => Promise<CellOutcome> }
    /** The combination has no meaning. */
    | { kind: 'not-applicable'; reason: string }
    | { kind: 'not-covered'; reason: string };
};

function requestWork(strikes: readonly requestJourney.Strike[]): Cell['work'] {
  for (const { fault, step } of strikes) {
    const reason = fault.unfit?.(step) ?? null;
    if (reason !== null) return { kind: 'not-applicable', reason: `${fault.name}: ${reason}` };
  }
  return { kind: 'run', run: (overrides) => requestJourney.runCell(strikes, overrides) };
}

function requestCells(): Cell[] {
  return faults.FAULTS.flatMap((fault) =>
    requestJourney.STEPS.map((step) => ({
      journey: 'request',
      fault: fault.name,
      step,
      work: requestWork([{ fault, step }]),
    })),
  );
}

export function listCells(): Cell[] {
  return [...requestCells()];
}
