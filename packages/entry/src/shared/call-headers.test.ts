import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as callHeaders from './call-headers.js';

const test = suite('call-headers');

function failedHeader(headers: callHeaders.IncomingHeaders): string | null {
  const parsed = callHeaders.parseCallHeaders(headers);
  return parsed.err ? parsed.val.header : null;
}

test('a call without headers has defaults and no deadline of its own', () => {
  assert.equal(callHeaders.parseCallHeaders({}).unwrap(), {
    deadlineWallMs: null,
    priorityClass: null,
    callerGroup: 'default',
    idempotencyKey: null,
  });
});

test('each header is read', () => {
  const parsed = callHeaders.parseCallHeaders({
    'x-request-deadline': '2026-01-01T00:00:05Z',
    'x-priority-class': 'critical',
    'x-caller-group': 'club-a',
    'idempotency-key': 'boat-7',
  });
  assert.equal(parsed.unwrap(), {
    deadlineWallMs: Date.UTC(2026, 0, 1, 0, 0, 5),
    priorityClass: 'critical',
    callerGroup: 'club-a',
    idempotencyKey: 'boat-7',
  });
});

test('a value that is not understood is named, never ignored', () => {
  assert.is(failedHeader({ 'x-request-deadline': 'soon' }), 'x-request-deadline');
  assert.is(failedHeader({ 'x-priority-class': 'urgent' }), 'x-priority-class');
  assert.is(failedHeader({ 'x-caller-group': '../a' }), 'x-caller-group');
  assert.is(failedHeader({ 'idempotency-key': '' }), 'idempotency-key');
  assert.is(failedHeader({ 'idempotency-key': 'k'.repeat(256) }), 'idempotency-key');
});

test.run();
