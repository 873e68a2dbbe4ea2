import { schema } from '@copperlever/configuration';
import type * as membership from '@copperlever/coordination/membership/types';
import { attributes } from '@copperlever/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as directories from './agent-directory.js';

const test = suite('agent-directory');

function upstream(fields: { pool?: string; draining?: boolean }) {
  return {
    kind: 'service',
    pool: 'desk',
    failureDomain: 'long-bien',
    region: 'hanoi',
    slotCount: 1,
    ...fields,
  };
}

const document = schema.documentSchema.parse({
  upstreams: {
    'desk-1': upstream({}),
    'desk-2': upstream({ draining: true }),
    'other-1': upstream({ pool: 'other' }),
  },
  services: { entries: { pool: 'desk' } },
});

function agentAt(upstreamId: string, status: membership.MemberStatus): membership.Member {
  const said = attributes.DaemonAttributes.fromPartial({
    role: attributes.DaemonRole.DAEMON_ROLE_AGENT,
    upstreamId,
  });
  return {
    memberId: `agent-${upstreamId}`,
    incarnation: 3,
    revision: 1,
    status,
    address: '127.0.0.1:1',
    region: 'hanoi',
    failureDomain: 'long-bien',
    attributes: Buffer.from(attributes.DaemonAttributes.encode(said).finish()),
  };
}

function find(members: membership.Member[], nowMs = () => 0) {
  const unreadable: string[] = [];
  const directory = directories.createAgentDirectory({
    members: () => members,
    nowMs,
    onUnreadable: (memberId) => unreadable.push(memberId),
  });
  const target = { kind: 'service', name: 'entries', pool: 'desk' } as const;
  return { directory, unreadable, known: () => directory.find(target, document) };
}

test('leaving and dead agents, draining upstreams and other pools are left out', () => {
  const { known } = find([
    agentAt('desk-1', 'alive'),
    agentAt('desk-1', 'leaving'),
    agentAt('desk-1', 'dead'),
    agentAt('desk-2', 'alive'),
    agentAt('other-1', 'alive'),
    agentAt('removed-1', 'alive'),
  ]);
  assert.equal(
    known().map((one) => one.target.agentId),
    ['agent-desk-1'],
  );
});

test('a suspected agent stays known, marked as such', () => {
  const { known } = find([agentAt('desk-1', 'suspected')]);
  assert.is(known()[0]?.candidate.suspected, true);
});

test('a predicted wait runs down with time, and a tick belongs to its incarnation', () => {
  let atMs = 0;
  const { directory, known } = find([agentAt('desk-1', 'alive')], () => atMs);
  const load = {
    incarnation: 3,
    tick: 9,
    queueLength: 1,
    predictedWaitMs: 100,
    runningCount: 1,
  };
  directory.noteLoad('agent-desk-1', load);
  atMs = 40;
  assert.is(known()[0]?.candidate.predictedWaitMs, 60);
  assert.is(directory.tickOf('agent-desk-1', 3), 9);
  assert.is(directory.tickOf('agent-desk-1', 4), 0);
});

// Guards against one member whose bytes make every entry refuse every call.
test('a member whose attributes cannot be read is left out, and told once', () => {
  const odd = { ...agentAt('desk-1', 'alive'), memberId: 'odd', attributes: Buffer.from([255]) };
  const { known, unreadable } = find([odd, agentAt('desk-1', 'alive')]);
  known();
  assert.equal(
    known().map((one) => one.target.agentId),
    ['agent-desk-1'],
  );
  assert.equal(unreadable, ['odd']);
});

test.run();
