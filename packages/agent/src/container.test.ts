import { schema } from '@copperlever/configuration';
import * as awilix from 'awilix';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as containers from './container.js';
import * as settingsModule from './types/settings.js';

const test = suite('agent container');

const settings = settingsModule.settingsSchema.parse({
  agentId: 'agent-1',
  upstreamId: 'desk-1',
  region: 'r',
  failureDomain: 'd',
  listenHost: '127.0.0.1',
  listenPort: 1,
  seedAddresses: [],
  platformUrl: 'http://127.0.0.1:1',
  upstreamUrl: 'http://127.0.0.1:2',
});

const document = schema.documentSchema.parse({
  upstreams: {
    'desk-1': { kind: 'service', pool: 'desk', failureDomain: 'd', region: 'r', slotCount: 3 },
  },
});

function work(id: string) {
  return {
    id,
    target: 'entries',
    priorityClass: 'standard' as const,
    callerGroup: 'club-a',
    arrivedAtMs: 0,
    deadlineMs: 10_000,
    promptTokens: 1,
    outputTokens: 1,
  };
}

test('a queue that is made after the configuration arrived has the slots that it names', () => {
  // The agent is up, and its queue is made with the first request. Were the configuration that came
  // before not asked, requests would run one by one until the next change, and callers would wait.
  const container = containers.createContainer(settings, 1);
  const follower = { current: () => ({ version: 1, document }), onChange: () => {} };
  container.register({
    control: awilix.asValue({ follower } as unknown as containers.AgentParts['control']),
  });
  const { queue } = container.cradle;
  ['a', 'b', 'c', 'd'].forEach((id) => queue.admit(work(id), 0));
  const started = Array.from({ length: 4 }, () => queue.startNext(0)?.id ?? null);
  assert.equal(started, ['a', 'b', 'c', null]);
});

test.run();
