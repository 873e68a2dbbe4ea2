import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as logs from './logs.js';
import * as supervisor from './supervisor.js';
import * as fakeClock from './testing/fake-clock.js';

const test = suite('supervisor');

/** A part whose current run the test can make fail. */
function createPart(name: string, events: string[]) {
  let fail: (failure: Error) => void = () => {};
  const spec: supervisor.PartSpec = {
    name,
    start: async () => {
      events.push(`start ${name}`);
      const failed = new Promise<Error>((resolve) => {
        fail = resolve;
      });
      return { failed, stop: async () => void events.push(`stop ${name}`) };
    },
  };
  return { spec, fail: () => fail(new Error('broken')) };
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

test('a part that fails is stopped and restarted while the others keep running', async () => {
  const events: string[] = [];
  const part = createPart('a', events);
  const { clock, tree } = createTree([part.spec, createPart('b', events).spec]);
  await tree.start();
  part.fail();
  await clock.advance(1_000);
  assert.equal(events, ['start a', 'start b', 'stop a', 'start a']);
});

test('a part that keeps failing is given up after five restarts, and this is reported once', async () => {
  // Endless restarts would hide the fault. The daemon reports it and stops, so that other daemons take its load.
  const events: string[] = [];
  const part = createPart('a', events);
  const { clock, tree } = createTree([part.spec], events);
  await tree.start();
  for (let count = 0; count < 8; count += 1) {
    part.fail();
    await clock.advance(6_000);
  }
  assert.is(events.filter((event) => event === 'start a').length, 6);
  assert.is(events.filter((event) => event === 'give up a').length, 1);
});

// Guards against a part that takes all the time of a stop, and its process with it.
test('a stop goes on by its end without a part that does not stop', async () => {
  const events: string[] = [];
  const hanging = createPart('b', events);
  const start = async () => ({
    ...(await hanging.spec.start()),
    stop: () => new Promise<void>(() => {}),
  });
  const { clock, tree } = createTree([createPart('a', events).spec, { name: 'b', start }], events);
  await tree.start();
  let isStopped = false;
  void tree.stop(1_000).then(() => {
    isStopped = true;
  });
  await clock.advance(999);
  assert.is(isStopped, false);
  await clock.advance(1);
  assert.equal([isStopped, events.at(-1)], [true, 'stop a']);
});

test('a restart that fails is retried', async () => {
  let startCount = 0;
  let fail: (failure: Error) => void = () => {};
  const spec = {
    name: 'a',
    start: async () => {
      startCount += 1;
      if (startCount === 2) throw new Error('port in use');
      const failed = new Promise<Error>((resolve) => {
        fail = resolve;
      });
      return { failed, stop: async () => {} };
    },
  };
  const { clock, tree } = createTree([spec]);
  await tree.start();
  fail(new Error('broken'));
  await clock.advance(1_000);
  assert.is(startCount, 3);
});

test.run();
