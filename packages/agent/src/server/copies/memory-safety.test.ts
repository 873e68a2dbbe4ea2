import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../../testing/copies-fixture.js';
import type * as fakeEngines from '../../testing/fake-engine.js';

const test = suite('memory safety');

const MEMORY_BYTES = 100;
const RUN_COUNT = 150;
const MODELS = {
  small: { sizeBytes: 30 },
  medium: { sizeBytes: 45 },
  large: { sizeBytes: 60 },
  huge: { sizeBytes: 90 },
};

type Step =
  | { kind: 'ask'; model: string; agent: 'old' | 'new' }
  | { kind: 'fate'; fate: fakeEngines.OrderFate }
  | { kind: 'advance'; durationMs: number }
  | { kind: 'restart-engine' }
  | { kind: 'replace-agent' }
  | { kind: 'resume-old' }
  | { kind: 'store-fault'; isOut: boolean };

const delayMs = fc.integer({ min: 1, max: 9_000 });

/** An engine that ignores fencing numbers cannot be guarded against an order that comes twice. */
function fates(checksFencing: boolean): fc.Arbitrary<fakeEngines.OrderFate> {
  const common: fc.Arbitrary<fakeEngines.OrderFate>[] = [
    fc.constant({ kind: 'lost' }),
    fc.constant({ kind: 'answer-lost' }),
    delayMs.map((ms) => ({ kind: 'late', delayMs: ms })),
  ];
  const repeated = delayMs.map((ms) => ({ kind: 'repeated', delayMs: ms }) as const);
  return fc.oneof(...common, ...(checksFencing ? [repeated] : []));
}

function steps(checksFencing: boolean): fc.Arbitrary<Step[]> {
  const step: fc.Arbitrary<Step> = fc.oneof(
    {
      weight: 5,
      arbitrary: fc.record({
        kind: fc.constant('ask' as const),
        model: fc.constantFrom(...Object.keys(MODELS)),
        agent: fc.constantFrom('old' as const, 'new' as const),
      }),
    },
    { weight: 4, arbitrary: fates(checksFencing).map((fate) => ({ kind: 'fate', fate }) as const) },
    {
      weight: 5,
      arbitrary: fc
        .integer({ min: 1, max: 3_000 })
        .map((durationMs) => ({ kind: 'advance', durationMs }) as const),
    },
    { weight: 1, arbitrary: fc.constant({ kind: 'restart-engine' } as const) },
    { weight: 1, arbitrary: fc.constant({ kind: 'replace-agent' } as const) },
    { weight: 1, arbitrary: fc.constant({ kind: 'resume-old' } as const) },
    {
      weight: 1,
      arbitrary: fc.boolean().map((isOut) => ({ kind: 'store-fault', isOut }) as const),
    },
  );
  return fc.array(step, { minLength: 5, maxLength: 40 });
}

async function play(checksFencing: boolean, script: readonly Step[]): Promise<number> {
  const world = fixtures.createCopiesFixture({
    memoryBytes: MEMORY_BYTES,
    checksFencing,
    models: MODELS,
  });
  let incarnation = 1;
  const agents = [world.startAgent(incarnation)];
  for (const step of script) {
    const newest = agents[agents.length - 1];
    const asked = agents[agents.length - 2] ?? newest;
    switch (step.kind) {
      case 'ask':
        void (step.agent === 'new' ? newest : asked)?.copies.ensureReady(
          step.model,
          world.clock.nowMs() + 5_000,
        );
        break;
      case 'fate':
        world.engine.setNextFate(step.fate);
        break;
      case 'advance':
        await world.clock.advance(step.durationMs);
        break;
      case 'restart-engine':
        world.engine.restart();
        break;
      case 'replace-agent':
        newest?.gate.pause();
        incarnation += 1;
        agents.push(world.startAgent(incarnation));
        break;
      case 'resume-old':
        agents.forEach((agent) => agent.gate.resume());
        break;
      case 'store-fault':
        world.store.setFault(step.isOut ? { kind: 'outage', retryAfterMs: 500 } : { kind: 'none' });
    }
    await world.clock.settle();
  }
  agents.forEach((agent) => agent.gate.resume());
  await world.clock.advance(12_000);
  agents.forEach((agent) => agent.stop());
  return world.engine.peakBytes();
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'checks' : 'ignores';
  // Callers see failed loads and crashed engines when memory is given away twice. Orders are lost,
  // late or answered into the void, the engine restarts, and an agent that was paused wakes beside
  // its successor: at no instant may the engine be asked to hold more than it has.
  test(`an engine that ${kind} fencing numbers is never overcommitted`, async () => {
    await fc.assert(
      fc.asyncProperty(steps(checksFencing), async (script) => {
        assert.ok((await play(checksFencing, script)) <= MEMORY_BYTES);
      }),
      { seed: 20_261_202, numRuns: RUN_COUNT },
    );
  });
}

test.run();
