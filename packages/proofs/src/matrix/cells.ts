/** The cells of the matrix: one for each fault, or pair of faults, and step of a journey. */
import type * as fleets from '../harness/fleet.js';
import * as configJourney from './config-journey.js';
import * as faults from './faults.js';
import type * as invariants from './invariants.js';
import * as modelJourney from './model-journey.js';
import * as requestJourney from './request-journey.js';

export type Cell = {
  journey: string;
  fault: string;
  step: string;
  work:
    | { kind: 'run'; run: (overrides?: fleets.Overrides) => Promise<invariants.CellOutcome> }
    /** The combination has no meaning. */
    | { kind: 'not-applicable'; reason: string }
    | { kind: 'not-covered'; reason: string };
};

function requestWork(
  strikes: readonly requestJourney.Strike[],
  pairIndex: number | null = null,
): Cell['work'] {
  for (const { fault, step } of strikes) {
    const reason = fault.unfit?.(step) ?? null;
    if (reason !== null) return { kind: 'not-applicable', reason: `${fault.name}: ${reason}` };
  }
  return {
    kind: 'run',
    run: (overrides) =>
      pairIndex === null
        ? requestJourney.runCell(strikes, overrides)
        : requestJourney.runPair(strikes, pairIndex, overrides),
  };
}

/** Two faults at the same step, for every pair that is one of the request journey. */
function pairCells(): Cell[] {
  const found: Cell[] = [];
  const own = faults.FAULTS.filter((fault) =>
    requestJourney.STEPS.some((step) => fits(fault, step)),
  );
  own.forEach((first, firstIndex) =>
    own.slice(firstIndex + 1).forEach((second, offset) =>
      requestJourney.STEPS.forEach((step, stepIndex) => {
        const strikes = [
          { fault: first, step },
          { fault: second, step },
        ];
        found.push({
          journey: 'request, two faults',
          fault: `${first.name} + ${second.name}`,
          step,
          work: requestWork(strikes, offset + stepIndex),
        });
      }),
    ),
  );
  return found;
}

function fits(fault: faults.Fault, step: string): boolean {
  return (fault.unfit?.(step) ?? null) === null;
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

function configCells(): Cell[] {
  return [...faults.OPERATOR_FAULTS, ...faults.FAULTS].flatMap((fault) =>
    configJourney.STEPS.map((step): Cell => {
      const journey = 'configuration patch';
      if (fault.isOfEngines === true) {
        const reason = 'no engine takes part in a patch';
        return { journey, fault: fault.name, step, work: { kind: 'not-applicable', reason } };
      }
      const run = (overrides?: fleets.Overrides) => configJourney.runCell(fault, step, overrides);
      return { journey, fault: fault.name, step, work: { kind: 'run', run } };
    }),
  );
}

function modelCells(): Cell[] {
  return faults.FAULTS.flatMap((fault) =>
    modelJourney.STEPS.map((step): Cell => {
      const journey = 'model change';
      const reason = fault.isOfRequests === true ? 'it happens to a request' : fault.unfit?.(step);
      if (typeof reason === 'string') {
        return { journey, fault: fault.name, step, work: { kind: 'not-applicable', reason } };
      }
      const run = (overrides?: fleets.Overrides) => modelJourney.runCell(fault, step, overrides);
      return { journey, fault: fault.name, step, work: { kind: 'run', run } };
    }),
  );
}

export function listCells(): Cell[] {
  return [...requestCells(), ...modelCells(), ...configCells(), ...pairCells()];
}

export function isWanted(cell: Cell, only: string): boolean {
  return `${cell.journey} ${cell.fault} ${cell.step}`.includes(only);
}
