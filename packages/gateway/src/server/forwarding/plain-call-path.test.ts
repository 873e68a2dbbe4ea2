import { logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as plainServiceTimes from '../../shared/plain-service-times.js';
import type * as upstreamChoice from '../../shared/upstream-choice.js';
import * as upstreamStates from '../../shared/upstream-states.js';
import * as settingsModule from '../../types/settings.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import * as plainAdmissions from './plain-admission.js';
import * as plainCallPaths from './plain-call-path.js';
import * as runs from './run.js';

const test = suite('path of plain calls');

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
  bufferedMs: 0,
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
  softwareVersion: 'v1',
  hostModels: [],
  diskModels: [],
};

const SINK = { isCallerGone: () => false, onCallerGone: () => {} };

function start(
  setting: settingsModule.Settings['plainQueues'],
  transientFactor: number | null,
  needsModel = false,
) {
  const clock = fakeClocks.createFakeClock();
  const states = upstreamStates.createUpstreamStates();
  states.applyLoadSignal(
    'u1',
    { runningCount: 6, waitingCount: 0, slots: 6, transientFactor },
    0,
    0,
  );
  const times = plainServiceTimes.createPlainServiceTimes();
  times.recordAnswer('s', 60, 1);
  const rooms: string[] = [];
  const outcomes: string[] = [];
  const path = plainCallPaths.createPlainCallPath({
    clock,
    states,
    plainTimes: times,
    log: logs.createSilentLogger(),
    metrics: { plainCall: (outcome) => outcomes.push(outcome) },
    setting,
    gate: plainAdmissions.createPlainAdmission({ clock }),
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
  return { path, rooms, outcomes };
}

function isQueued(...of: Parameters<typeof start>): boolean {
  return start(...of).path.admit(CALL, runs.createRun(), SINK) !== null;
}

// A deployment whose upstreams report nothing about their machines must not be served differently because of the queue.
test('calls are queued where upstreams report a transient factor, always, or never, by the setting', () => {
  assert.equal([isQueued('auto', 1), isQueued('auto', null)], [true, false]);
  assert.equal([isQueued('on', 1), isQueued('on', null)], [true, true]);
  assert.equal([isQueued('off', 1), isQueued('off', null)], [false, false]);
});

test('requests for models and streams are never queued here', () => {
  assert.not(isQueued('on', 1, true));
  const { path } = start('on', 1);
  const route = { ...ROUTE, kind: 'stream' as const };
  assert.is(path.admit({ ...CALL, route }, runs.createRun(), SINK), null);
});

test('the default setting depends on what upstreams report', () => {
  assert.is(settingsModule.settingsSchema.shape.plainQueues.parse(undefined), 'auto');
});

// Guards against queueing a call that can't be in time.
test('the time that the caller waited before is subtracted from the time that a call may be queued', async () => {
  const { path, outcomes } = start('auto', 1);
  const late = { ...CALL, elapsedBeforeMs: 250 };
  const result = await path.admit(late, runs.createRun(), SINK);
  assert.equal(result, { kind: 'refused', retryAfterMs: 400 });
  assert.equal(outcomes, ['refused']);
});

test.run();
