import type * as http from 'node:http';

import * as hashers from '@copperlever/runtime/hasher';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as deadlineBaselines from '../../shared/deadline-baselines.js';
import * as streamCalls from '../../testing/stream-calls.js';
import * as testDialects from '../../testing/test-dialect.js';
import type * as calls from '../../types/calls.js';
import * as callBuilding from './call-building.js';

const test = suite('calls from requests');

const hasher = await hashers.createHasher();
const SPLIT = {
  ...streamCalls.RESUMABLE_ROUTE,
  targets: ['blue', 'green', 'red'].map((service) => ({ service, weight: 1 })),
};

function build(headers: Record<string, string>): calls.Call {
  const dialect = testDialects.createTestDialect();
  const request = { method: 'POST', url: '/chat/1', headers, rawHeaders: [] };
  return callBuilding.buildCall(
    { dialect, norms: deadlineBaselines.createDeadlineBaselines(), hasher },
    request as unknown as http.IncomingMessage,
    { route: SPLIT, facts: dialect.readCall(headers), organisation: null },
    Buffer.from('prompt'),
    { arrivedAtMs: 0, bufferedMs: 0, isNewConnection: true },
  );
}

// Guards against a stream that goes on at another service of its route, since its caller's new try has an id of its own.
test('a stream that is taken up goes to the service at which it began', () => {
  const services = Array.from({ length: 40 }, (_, index) => {
    const { service } = build({ 't-id': `r${index}` });
    assert.is(build({ 't-id': `again${index}`, 't-origin': `r${index}` }).service, service);
    return service;
  });
  assert.is(new Set(services).size, 3);
});

// Guards against a request that crashes upstreams and, tried again, reaches another service under another fingerprint.
test('a request that is tried again keeps its fingerprint whichever service of a split route it goes to', () => {
  const tries = Array.from({ length: 40 }, (_, index) => build({ 't-id': `r${index}` }));
  assert.is(new Set(tries.map(({ service }) => service)).size, 3);
  assert.is(new Set(tries.map(({ fingerprint }) => fingerprint)).size, 1);
});

test.run();
