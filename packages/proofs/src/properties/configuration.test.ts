import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as documents from '../harness/documents.js';
import * as fleets from '../harness/fleet.js';
import * as networks from '../harness/network.js';
import * as configJourney from '../matrix/config-journey.js';
import * as faults from '../matrix/faults.js';
import type * as invariants from '../matrix/invariants.js';
import * as runs from './runs.js';

const test = suite('configuration over any faults');

const CI_RUNS = 40;
const HEAL_MS = 30_000;
const FAULTS = faults.FAULTS.filter(
  (fault) => fault.isOfEngines !== true && fault.isPlanned !== true,
);

type Command =
  | { kind: 'submit'; waitMs: number }
  | { kind: 'fault'; faultIndex: number; waitMs: number; messageCount: number };

const waitMs = fc.nat({ max: 1_500 });
const command: fc.Arbitrary<Command> = fc.oneof(
  fc.record({ kind: fc.constant('submit' as const), waitMs }),
  fc.record({
    kind: fc.constant('fault' as const),
    faultIndex: fc.nat({ max: FAULTS.length - 1 }),
    waitMs,
    messageCount: fc.integer({ min: 1, max: 8 }),
  }),
);

async function runCommands(commands: readonly Command[]): Promise<invariants.Violation[]> {
  const fleet = await fleets.createFleet({ seed: 1 });
  const violations: invariants.Violation[] = [];
  configJourney.watchVersions(fleet, violations);
  await fleet.start();
  const submitted: configJourney.Submitted[] = [];
  for (const [index, { kind, ...rest }] of commands.entries()) {
    const name = `operator-${index}`;
    if (kind === 'submit') void configJourney.submit(fleet, name, submitted).done;
    else if ('faultIndex' in rest) {
      FAULTS[rest.faultIndex]?.strike({
        fleet,
        entryId: documents.ENTRY_IDS[0],
        upstreamId: 'jury-1',
        messageCount: rest.messageCount,
        isDisturbed: networks.isControl,
        replaceAfterMs: 500,
        mark: name,
      });
    }
    await fleet.clock.advance(rest.waitMs);
  }
  await fleet.clock.advance(HEAL_MS);
  const history = await configJourney.readHistory(fleet);
  return [
    ...violations,
    ...configJourney.checkHistory(history, submitted),
    ...configJourney.checkInForce(fleet, history[0]?.version ?? 0),
  ];
}

test('no process sees a version fall, and accepted patches are one line', async () => {
  // Operators race, and processes die, pause and hear late of versions, while the object API is down,
  // slow, or loses answers. An operator whose accepted patch is gone, or a process that goes back to
  // settings that were replaced, is what must not be.
  const property = fc.asyncProperty(
    fc.array(command, { minLength: 2, maxLength: 8 }),
    async (commands) => {
      assert.equal(await runCommands(commands), []);
    },
  );
  await fc.assert(property, runs.parameters(CI_RUNS));
});

test.run();
