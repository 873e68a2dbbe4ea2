import * as events from 'node:events';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as acceptWatches from './accept-watch.js';

const test = suite('accept watch');

// Guards against requests that get no answer and leave no line, because their connections were not accepted in time.
test('connections that wait long are told at a bounded pace, and when they no longer do', () => {
  let nowMs = 0;
  let waitMs = 1_500;
  const lines: string[] = [];
  const server = new events.EventEmitter();
  acceptWatches.watchAccepts({
    clock: { nowMs: () => nowMs },
    log: {
      info: (event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`),
      warn: (event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`),
    },
    server: server as never,
    loopAges: { acceptWaitMs: () => waitMs, turnMs: () => 40 },
    callerCount: () => 7,
  });
  for (; nowMs < 1_500; nowMs += 10) server.emit('connection');
  waitMs = 20;
  server.emit('connection');
  server.emit('connection');
  assert.equal(lines, [
    'accepts-late {"acceptWaitMs":1500,"acceptedCount":1,"callerCount":7,"turnMs":40}',
    'accepts-late {"acceptWaitMs":1500,"acceptedCount":100,"callerCount":7,"turnMs":40}',
    'accepts-in-time {"lateForMs":1500}',
  ]);
});

test.run();
