import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as logs from './logs.js';
import * as supervisor from './supervisor.js';
import * as fakeClock from './testing/fake-clock.js';

const test = suite('supervisor');

/** A part whose present run the test can break. */
function createPart(name: string, events: string[]) {
  let breakDown: (failure: Error) => void = () => {};
  const spec: supervisor.PartSpec = {
    name,
    start: async () => {
      events.push(`start ${name}`);
      const failed = new Promise<Error>((resolve) => {
        breakDown = resolve;
      });
      return { failed, stop: async () => void events.push(`stop ${name}`) };
    },
  };
  return { spec, breakDown: () => breakDown(new Error('broken')) };
}

function createTree(specs: supervisor.PartSpec[], events: string[] = []) {
  const clock = fakeClock.createFakeClock();
  const tree = supervisor.createSupervisor(specs, {
    clock,
    log: logs.createSilentLogger(),
    onGiveUp: (name) => events.push(`give up ${name}`),
  });
  return { clock, tree };
}

test('parts start in order and stop in reverse', async () => {
  const events: string[] = [];
  const { tree } = createTree([createPart('a', events).spec, createPart('b', events).spec]);
  await tree.start();
  await tree.stop();
  assert.equal(events, ['start a', 'start b', 'stop b', 'stop a']);
});

test('a part that breaks down is stopped and started again, the others run on', async () => {
  const events: string[] = [];
  const part = createPart('a', events);
  const { clock, tree } = createTree([part.spec, createPart('b', events).spec]);
  await tree.start();
  part.breakDown();
  await clock.advance(1_000);
  assert.equal(events, ['start a', 'start b', 'stop a', 'start a']);
});

test('a part that keeps breaking down is given up, once and loudly', async () => {
  // Restarting for ever would hide the fault; the daemon says so and ends, and others take over.
  const events: string[] = [];
  const part = createPart('a', events);
  const { clock, tree } = createTree([part.spec], events);
  await tree.start();
  for (let count = 0; count < 8; count += 1) {
    part.breakDown();
    await clock.advance(6_000);
  }
  assert.is(events.filter((event) => event === 'start a').length, 6);
  assert.is(events.filter((event) => event === 'give up a').length, 1);
});

test('a part that cannot start again is tried again', async () => {
  let startCount = 0;
  let breakDown: (failure: Error) => void = () => {};
  const spec = {
    name: 'a',
    start: async () => {
      startCount += 1;
      if (startCount === 2) throw new Error('port in use');
      const failed = new Promise<Error>((resolve) => {
        breakDown = resolve;
      });
      return { failed, stop: async () => {} };
    },
  };
  const { clock, tree } = createTree([spec]);
  await tree.start();
  breakDown(new Error('broken'));
  await clock.advance(1_000);
  assert.is(startCount, 3);
});

test.run();
