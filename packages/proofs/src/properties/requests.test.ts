import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as callers from '../harness/callers.js';
import * as invariants from '../matrix/invariants.js';
import * as fleetCommands from './fleet-commands.js';
import * as runs from './runs.js';

const test = suite('requests over any faults');

const CI_RUNS = 40;

test('a key runs at most once, and every caller is told the truth', async () => {
  // Two crews submit, each again and again at either entry, while processes die and pause, messages
  // and answers get lost, and the object API is down. A second run would put two boats in one lane;
  // a false "not run" makes a crew submit what has run.
  const questions: callers.Question[] = [
    { kind: 'submission', mark: 'lane-1' },
    { kind: 'submission', mark: 'lane-2' },
  ];
  const property = fc.asyncProperty(
    fleetCommands.commandsOf(questions.length),
    async (commands) => {
      const { fleet, asks } = await fleetCommands.runCommands(commands, questions, 'desk');
      assert.equal(invariants.checkAll(fleet, asks), []);
    },
  );
  await fc.assert(property, runs.parameters(CI_RUNS));
});

test('a model that could be reached can be reached again, and memory is never overcommitted', async () => {
  // Callers ask for three models and an adapter that do not all fit into one engine, so that copies
  // come and go while agents die and orders get lost, late and doubled. Then every fault passes. A
  // model whose last copy was given up, or that waits for memory for good, is answered by nobody.
  const questions: callers.Question[] = ['draws', 'protests', 'coach', 'club-a'].map(
    (model, index) => ({ kind: 'chat', mark: `word-${index}`, model }),
  );
  const property = fc.asyncProperty(
    fleetCommands.commandsOf(questions.length),
    async (commands) => {
      const { fleet, asks } = await fleetCommands.runCommands(commands, questions, 'jury');
      const found = [
        ...invariants.checkAll(fleet, asks),
        ...(await invariants.checkReachable(fleet, ['club-a'])),
      ];
      assert.equal(found, []);
    },
  );
  await fc.assert(property, runs.parameters(CI_RUNS));
});

test.run();
