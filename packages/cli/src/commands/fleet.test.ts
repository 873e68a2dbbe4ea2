import * as undici from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../testing/fixture.js';
import * as config from './config.js';
import * as fleet from './fleet.js';

const test = suite('fleet commands');
const network = undici.getGlobalDispatcher();
const desk = { kind: 'service', pool: 'desk', failureDomain: 'a', region: 'r', slotCount: 1 };

const agentMember = {
  memberId: 'agent-desk-1',
  role: 'agent',
  status: 'alive',
  address: '10.0.0.1:7100',
  failureDomain: 'a',
  upstreamId: 'desk-1',
  readyTargets: ['draws'],
};

/** Mocks an entry that answers one status request. */
function mockStatus(members: unknown[]): void {
  const mock = new undici.MockAgent();
  mock.disableNetConnect();
  const reply = { entryId: 'entry-1', configVersion: 4, openCallCount: 0, members };
  mock.get(fixtures.ENTRY_URL).intercept({ path: '/operator/status' }).reply(200, reply);
  undici.setGlobalDispatcher(mock);
}

// All test files run in one process, whose built-in fetch uses the global dispatcher as well.
test.after.each(() => {
  undici.setGlobalDispatcher(network);
});

test('upstreams are listed with their ready models', async () => {
  mockStatus([agentMember, { ...agentMember, memberId: 'entry-1', role: 'entry' }]);
  const { context, printed } = fixtures.createFixture();
  assert.is(await fleet.showUpstreams(context), 0);
  assert.equal(printed[0], [agentMember]);
});

test('an unreachable entry is reported as such', async () => {
  const mock = new undici.MockAgent();
  mock.disableNetConnect();
  undici.setGlobalDispatcher(mock);
  const { context, errors } = fixtures.createFixture();
  assert.is(await fleet.showStatus(context), 1);
  assert.is(errors[0]?.kind, 'entry-unreachable');
});

test('drain marks the upstream in a new version; an unknown upstream is rejected', async () => {
  const { context, printed, errors } = fixtures.createFixture();
  await config.patchConfig(context, 0, { upstreams: { 'desk-1': desk } });
  assert.is(await fleet.drainUpstream(context, 'desk-1'), 0);
  const change = { field: 'upstreams.desk-1.draining', before: false, after: true };
  assert.equal(printed[1], { version: 2, changes: [change] });
  assert.is(await fleet.drainUpstream(context, 'desk-9'), 2);
  assert.is(errors[0]?.kind, 'unknown-upstream');
});

test.run();
