import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as plainTimes from '../../shared/plain-times.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import * as upstreamStates from '../../shared/upstream-states.js';
import * as settingsModule from '../../types/settings.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import * as plainGates from './plain-gate.js';
import * as plainPassages from './plain-passage.js';
import * as runs from './run.js';

const test = suite('passage of plain calls');

const ROUTE: fleet.Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'idempotent',
  targets: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  timeoutMs: 3_000,
  latencyObjectiveMs: 300,
  pauseObjectiveMs: null,
  priority: 0,
  isResumable: false,
  isPublic: true,
};

const CALL: calls.Call = {
  requestId: 'r1',
  route: ROUTE,
  service: 's',
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  facts: {
    model: null,
    adapter: null,
    promptTokens: 0,
    promptParts: [],
  } as unknown as calls.Call['facts'],
  organisation: null,
  priority: 0,
  arrivedAtMs: 0,
  unreadMs: 0,
  elapsedBeforeMs: 0,
  deadlineMs: 3_000,
  fingerprint: 'f',
  resumeAfterId: null,
};

const RECORD: fleet.UpstreamRecord = {
  upstreamId: 'u1',
  name: 'u1',
  service: 's',
  address: 'localhost:1',
  failureDomain: 'd',
  slots: 6,
  state: 'ready',
  models: [],
  hostModels: [],
  diskModels: [],
};

const SINK = { isCallerGone: () => false, onCallerGone: () => {} };

function start(
  setting: settingsModule.Settings['plainQueues'],
  momentFactor: number | null,
  needsModel = false,
) {
  const clock = fakeClocks.createFakeClock();
  const states = upstreamStates.createUpstreamStates();
  states.told('u1', { runningCount: 6, waitingCount: 0, slots: 6, momentFactor }, 0, 0);
  const times = plainTimes.createPlainTimes();
  times.answered('s', 60, 1);
  const rooms: string[] = [];
  const outcomes: string[] = [];
  const passage = plainPassages.createPlainPassage({
    clock,
    states,
    plainTimes: times,
    log: logs.createSilentLogger(),
    metrics: { plainCall: (outcome) => outcomes.push(outcome) },
    setting,
    gate: plainGates.createPlainGate({ clock }),
    gatewayCount: () => 23,
    directory: { eligible: () => [RECORD] },
    router: {
      needsModel: () => needsModel,
      priorityOf: () => 0,
      choose: (_call, _run, room = 'any'): upstreamChoice.Choice => {
        rooms.push(room);
        return { kind: 'no-room', freeInMs: 400 };
      },
    },
  });
  return { passage, rooms, outcomes };
}

function isHeld(...of: Parameters<typeof start>): boolean {
  return start(...of).passage.pass(CALL, runs.createRun(), SINK) !== null;
}

// Failure: a deployment whose upstreams tell nothing of their machines is served otherwise than before.
test('calls are held where upstreams tell a moment factor, or always, or never', () => {
  assert.equal([isHeld('auto', 1), isHeld('auto', null)], [true, false]);
  assert.equal([isHeld('on', 1), isHeld('on', null)], [true, true]);
  assert.equal([isHeld('off', 1), isHeld('off', null)], [false, false]);
});

test('requests for models and streams are never held', () => {
  assert.not(isHeld('on', 1, true));
  const { passage } = start('on', 1);
  const route = { ...ROUTE, kind: 'stream' as const };
  assert.is(passage.pass({ ...CALL, route }, runs.createRun(), SINK), null);
});

test('without a setting it is on where upstreams tell', () => {
  assert.is(settingsModule.settingsSchema.shape.plainQueues.parse(undefined), 'auto');
});

// Failure: a call without a chance to be in time is held all the same.
test('what the caller waited before counts against the time that a call may be held', async () => {
  const { passage, outcomes } = start('auto', 1);
  const late = { ...CALL, elapsedBeforeMs: 250 };
  const result = await passage.pass(late, runs.createRun(), SINK);
  assert.equal(result, { kind: 'refused', retryAfterMs: 400 });
  assert.equal(outcomes, ['refused']);
});

test.run();
