import { logs } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as openCalls from './open-calls.js';

const test = suite('open calls');

// Guards against a stop of which nobody can tell what it did to a call.
test('a call that is cut is told with its times and its agent, one that was answered is not', async () => {
  const clock = fakeClock.createFakeClock();
  const lines: object[] = [];
  const note = (event: string, fields: object = {}) => void lines.push({ event, ...fields });
  const log: logs.Logger = { ...logs.createSilentLogger(), error: note };
  const calls = openCalls.createOpenCalls(clock, log);
  calls.add('r-1');
  calls.add('r-2');
  calls.notePassedOn('r-1', 'agent-1');
  await clock.advance(1_000);
  calls.noteStopBegan(clock.nowMs());
  calls.noteAnswered('r-2');
  await clock.advance(3_000);
  calls.noteStarted('r-1');
  await clock.advance(4_000);
  calls.logCut();
  assert.equal(lines, [
    {
      event: 'call-at-stop',
      requestId: 'r-1',
      outcome: 'cut',
      cause: 'stop-over',
      agent: 'agent-1',
      readSinceStopMs: -1_000,
      passedOnSinceStopMs: -1_000,
      startedSinceStopMs: 3_000,
      sinceStopMs: 7_000,
    },
  ]);
});

test.run();
