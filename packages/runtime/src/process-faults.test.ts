import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as processFaults from './process-faults.js';
import * as fakeClocks from './testing/fake-clock.js';

const test = suite('faults of a process');

const STOP_TIMEOUT_MS = 8_000;

function createProcess() {
  const clock = fakeClocks.createFakeClock();
  const exits: number[] = [];
  const faults: unknown[] = [];
  const log = {
    info: () => {},
    warn: () => {},
    error: (_event: string, fields = {}) => faults.push(fields),
  };
  const stopped = { count: 0, sinceMs: NaN, resolve: () => {}, reject: (_cause: Error) => {} };
  const processEnd = processFaults.createProcessEnd({
    clock,
    log,
    flush: () => Promise.resolve(),
    exit: (status) => exits.push(status),
  });
  processEnd.endBy({
    timeoutMs: () => STOP_TIMEOUT_MS,
    run: (sinceMs) => {
      stopped.count += 1;
      stopped.sinceMs = sinceMs;
      return new Promise((resolve, reject) => {
        Object.assign(stopped, { resolve, reject });
      });
    },
  });
  return { clock, log, exits, faults, stopped, processEnd };
}

// Guards against faults in a row that cut the planned stop short, or fill the log.
test('further faults change nothing about the stop that the first one began', async () => {
  const { clock, log, exits, faults, stopped, processEnd } = createProcess();
  processEnd.started(log);
  for (let count = 0; count < 1_000; count += 1)
    processEnd.failed('exception', new Error('broken'));
  processEnd.stop();
  await clock.advance(STOP_TIMEOUT_MS - 1);
  assert.equal(exits, []);
  assert.is(stopped.count, 1);
  assert.is(faults.length, 10);
  stopped.resolve();
  await clock.advance(0);
  assert.equal(exits, [1]);
});

// Guards against a process in an unknown state whose stop waits for what is broken, until the platform kills it.
test('a stop that a fault befalls ends after its time since the signal, with a failure', async () => {
  const { clock, log, exits, processEnd } = createProcess();
  processEnd.started(log);
  processEnd.stop();
  await clock.advance(STOP_TIMEOUT_MS - 1);
  processEnd.failed('rejection', new Error('broken'));
  assert.equal(exits, []);
  await clock.advance(1);
  assert.equal(exits, [1]);
});

// Guards against a stop that hangs, says nothing and ends only by being killed.
test('a stop that hangs is named and cut off', async () => {
  const { clock, log, exits, faults, processEnd } = createProcess();
  processEnd.started(log);
  processEnd.stop(-100);
  await clock.advance(STOP_TIMEOUT_MS - 100);
  assert.equal(exits, [1]);
  assert.equal(faults, [{ kind: 'stop', name: 'timeout' }]);
});

// Guards against an error that cannot be described and so cuts off all requests.
test('a fault that cannot be read begins the planned stop', async () => {
  const { clock, log, exits, stopped, processEnd } = createProcess();
  processEnd.started(log);
  processEnd.failed('exception', Object.assign(new Error('odd'), { message: Object.create(null) }));
  assert.is(stopped.count, 1);
  stopped.resolve();
  await clock.advance(0);
  assert.equal(exits, [1]);
});

// Guards against a process that never starts, and that its service manager takes for a running one.
test('a fault before the start is over ends the process at once', async () => {
  const { clock, exits, faults, stopped, processEnd } = createProcess();
  processEnd.failed('rejection', Object.create(null));
  await clock.advance(0);
  assert.equal(exits, [1]);
  assert.equal(faults, [{ kind: 'rejection', isStarted: false, name: 'object' }]);
  assert.is(stopped.count, 0);
});

// Guards against a stop that fails midway and is taken for a planned one.
test('a planned stop that fails is named', async () => {
  const { clock, log, exits, faults, stopped, processEnd } = createProcess();
  processEnd.started(log);
  processEnd.stop();
  stopped.reject(new Error('not closed'));
  await clock.advance(0);
  assert.equal(exits, [1]);
  assert.is(faults.length, 1);
});

// Guards against a stop that is taken for a failure, and one whose time counts from when it was looked at.
test('a planned stop ends the process with 0, its time from the signal', async () => {
  const { clock, log, exits, stopped, processEnd } = createProcess();
  processEnd.started(log);
  await clock.advance(500);
  processEnd.stop(120);
  assert.is(stopped.sinceMs, 120);
  stopped.resolve();
  await clock.advance(0);
  assert.equal(exits, [0]);
});

// Guards against a part that is given up and cuts off all requests.
test('a part that is given up begins the planned stop', async () => {
  const { clock, log, exits, stopped, processEnd } = createProcess();
  processEnd.started(log);
  processEnd.partGivenUp();
  await clock.advance(0);
  assert.equal(exits, []);
  stopped.resolve();
  await clock.advance(0);
  assert.equal(exits, [1]);
});

test.run();
