import { routing } from '@copperlever/decisions';
import { randoms } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as targetPaces from './target-paces.js';

const test = suite('target-paces');
const AGENT_IDS = ['jury-1', 'jury-2', 'jury-3', 'jury-4'];
const SLOW_ID = 'jury-3';

function candidate(upstreamId: string, slowness: number): routing.Candidate {
  return {
    upstreamId,
    failureDomain: 'long-bien',
    region: 'hanoi',
    hasCopy: true,
    suspected: false,
    predictedWaitMs: 0,
    inFlightCount: 0,
    latencyRatio: slowness,
  };
}

test('callers seldom meet an upstream at a fifth of its speed, and it is never given up', () => {
  // One engine's accelerator is throttled. Answers of a large and a small model end there five times
  // later than elsewhere. The entry sees it by its own latencies and sends fewer callers there.
  const paces = targetPaces.createTargetPaces();
  const random = randoms.createRandom(1);
  const counts = new Map<string, number>();
  for (let request = 0; request < 2_000; request += 1) {
    const target = request % 2 === 0 ? 'large' : 'small';
    const candidates = AGENT_IDS.map((agentId) => candidate(agentId, paces.slowness(agentId)));
    const asked = { target, prefixKey: '', localRegion: 'hanoi', excludedIds: new Set<string>() };
    const route = routing.chooseRoute(asked, candidates, random.fraction);
    assert.is(route.kind, 'send');
    if (route.kind !== 'send') continue;
    const { upstreamId } = route;
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
    const msPerByte = (target === 'large' ? 4 : 1) * (upstreamId === SLOW_ID ? 5 : 1);
    const sizeBytes = 100 + random.below(900);
    paces.observe(upstreamId, { target, runMs: msPerByte * sizeBytes, sizeBytes });
  }
  const slowCount = counts.get(SLOW_ID) ?? 0;
  assert.ok(slowCount > 0 && slowCount < 300, `the slow upstream got ${slowCount} of 2000`);
});

test('targets of different speed make no upstream look slow', () => {
  const paces = targetPaces.createTargetPaces();
  for (let round = 0; round < 50; round += 1) {
    AGENT_IDS.forEach((agentId, index) => {
      const answer = { target: `model-${index}`, runMs: 1_000 * (index + 1), sizeBytes: 100 };
      paces.observe(agentId, answer);
    });
  }
  AGENT_IDS.forEach((agentId) => assert.is(paces.slowness(agentId), 1));
});

test.run();
