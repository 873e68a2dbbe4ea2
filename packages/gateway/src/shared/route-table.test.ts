import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as fleet from '../types/fleet.js';
import * as routeTables from './route-table.js';

const test = suite('route table');

function route(name: string, host: string, pathPrefix: string): fleet.Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    targets: [{ service: 'desk', weight: 1 }],
    maxAttempts: 1,
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    pauseObjectiveMs: null,
    priority: 0,
    isResumable: false,
    isPublic: false,
  };
}

test('the longest prefix of the host wins, whatever the order', () => {
  const table = routeTables.createRouteTable([
    route('short', 'a.example', '/x/'),
    route('long', 'a.example', '/x/y/'),
    route('other', 'b.example', '/x/y/z/'),
  ]);
  assert.is(table.find('A.example:8080', '/x/y/z/1')?.name, 'long');
  assert.is(table.find('a.example', '/x/1')?.name, 'short');
});

test('a prefix ends with its slash: a longer path segment does not match', () => {
  const table = routeTables.createRouteTable([route('x', 'a.example', '/x/')]);
  assert.is(table.find('a.example', '/x'), null);
  assert.is(table.find('a.example', '/xy/1'), null);
  assert.is(table.find('c.example', '/x/1'), null);
});

test('requests are distributed by weight', () => {
  const targets = [
    { service: 'old', weight: 90 },
    { service: 'new', weight: 10 },
  ];
  assert.is(routeTables.chooseService(targets, 0), 'old');
  assert.is(routeTables.chooseService(targets, 0.899), 'old');
  assert.is(routeTables.chooseService(targets, 0.9), 'new');
  assert.is(routeTables.chooseService(targets, 0.999), 'new');
});

test.run();
