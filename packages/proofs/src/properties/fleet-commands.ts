/** Random sequences of calls and faults on a fleet. */
import * as fc from 'fast-check';

import * as callers from '../harness/callers.js';
import * as documents from '../harness/documents.js';
import * as fleets from '../harness/fleet.js';
import * as networks from '../harness/network.js';
import * as faults from '../matrix/faults.js';

export type Command =
  | { kind: 'ask'; entryIndex: number; questionIndex: number }
  | { kind: 'fault'; faultIndex: number; upstreamIndex: number; messageCount: number }
  | { kind: 'wait'; waitMs: number };

/** Faults that leave the fleet able to come back by itself. */
const FAULTS = faults.FAULTS.filter(
  (fault) => fault.isPoison !== true && fault.ignoresFencing !== true && fault.isPlanned !== true,
);

const MAX_COMMANDS = 8;
const MAX_WAIT_MS = 4_000;
const SOON_MS = 500;
const HEAL_MS = 30_000;

export function commandsOf(questionCount: number): fc.Arbitrary<Command[]> {
  const ask = fc.record({
    kind: fc.constant('ask' as const),
    entryIndex: fc.nat({ max: documents.ENTRY_IDS.length - 1 }),
    questionIndex: fc.nat({ max: questionCount - 1 }),
  });
  const fault = fc.record({
    kind: fc.constant('fault' as const),
    faultIndex: fc.nat({ max: FAULTS.length - 1 }),
    upstreamIndex: fc.nat({ max: 1 }),
    messageCount: fc.integer({ min: 1, max: 4 }),
  });
  const wait = fc.record({
    kind: fc.constant('wait' as const),
    waitMs: fc.oneof(fc.nat({ max: 200 }), fc.nat({ max: MAX_WAIT_MS })),
  });
  return fc.array(fc.oneof(ask, fault, wait), { minLength: 2, maxLength: MAX_COMMANDS });
}

function strike(
  fleet: fleets.Fleet,
  command: Extract<Command, { kind: 'fault' }>,
  pool: string,
  mark: string,
): void {
  FAULTS[command.faultIndex]?.strike({
    fleet,
    entryId: documents.ENTRY_IDS[command.upstreamIndex] ?? documents.ENTRY_IDS[0],
    upstreamId: `${pool}-${command.upstreamIndex + 1}`,
    messageCount: command.messageCount,
    isDisturbed: (message) => !networks.isControl(message),
    replaceAfterMs: SOON_MS,
    disturbsOrders: true,
    mark,
  });
}

/** Runs the commands on a new fleet, lets every fault pass, and gives back what callers were told. */
export async function runCommands(
  commands: readonly Command[],
  questions: readonly callers.Question[],
  pool: string,
): Promise<{ fleet: fleets.Fleet; asks: callers.Ask[] }> {
  const fleet = await fleets.createFleet({ seed: 1 });
  await fleet.start();
  const asking: Promise<callers.Ask[]>[] = [];
  for (const [index, command] of commands.entries()) {
    switch (command.kind) {
      case 'ask': {
        const first = documents.ENTRY_IDS[command.entryIndex] as string;
        const rest = documents.ENTRY_IDS.filter((entryId) => entryId !== first);
        const question = questions[command.questionIndex] as callers.Question;
        asking.push(callers.askUntilEnd(fleet, [first, ...rest], question));
        await fleet.clock.settle();
        break;
      }
      case 'fault':
        strike(fleet, command, pool, `race-${index}`);
        await fleet.clock.settle();
        break;
      case 'wait':
        await fleet.clock.advance(command.waitMs);
        break;
    }
  }
  const asks = (await fleet.runHere(Promise.all(asking))).flat();
  await fleet.clock.advance(HEAL_MS);
  return { fleet, asks };
}
