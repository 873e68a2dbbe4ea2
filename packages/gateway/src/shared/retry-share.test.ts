import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as retryShares from './retry-share.js';

const test = suite('retry share');

const LIMITS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

function takeAll(share: retryShares.RetryShare, gatewayCount: number, nowMs: number): number {
  let taken = 0;
  while (taken < 10_000 && share.tryTake('desk', gatewayCount, nowMs)) taken += 1;
  return taken;
}

// All upstreams fail for some seconds and every request would be sent again. Four gateways know nothing
// of each other's retries; together they must stay within the operators' limit in any window.
test('four gateways together stay within the limit in every window', () => {
  const gateways = Array.from({ length: 4 }, () => retryShares.createRetryShare(LIMITS));
  const retriesMs: number[] = [];
  for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
    gateways.forEach((share) => {
      for (let count = 0; count < 3; count += 1) share.noteRequest('desk', nowMs);
      for (let taken = takeAll(share, 4, nowMs); taken > 0; taken -= 1) retriesMs.push(nowMs);
    });
  }
  for (let startMs = 0; startMs <= 20_000; startMs += 500) {
    const within = retriesMs.filter((atMs) => atMs >= startMs && atMs < startMs + 10_000).length;
    const requests = 4 * 3 * 100;
    assert.ok(within <= LIMITS.ratio * requests + LIMITS.slack, `${within} from ${startMs}`);
  }
});

test('a quiet service still has its part of the slack', () => {
  const share = retryShares.createRetryShare(LIMITS);
  assert.ok(takeAll(share, 4, 0) >= 8);
});

test.run();
