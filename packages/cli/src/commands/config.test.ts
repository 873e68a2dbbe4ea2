import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from '../testing/fixture.js';
import * as config from './config.js';

const test = suite('config commands');

const desk = { kind: 'service', pool: 'desk', failureDomain: 'a', region: 'r', slotCount: 1 };

test('a stale patch exits 3 and reports the current version and the changes since', async () => {
  // Two operators read version 1 and both submit a patch. The second patch must not silently undo the first.
  const { context, errors } = fixtures.createFixture();
  await config.patchConfig(context, 0, { upstreams: { 'desk-1': desk } });
  const first = await config.patchConfig(context, 1, {
    upstreams: { 'desk-1': { slotCount: 2 } },
  });
  const second = await config.patchConfig(context, 1, {
    upstreams: { 'desk-1': { slotCount: 9 } },
  });
  assert.is(first, 0);
  assert.is(second, 3);
  assert.is(errors[0]?.kind, 'stale');
  assert.is(errors[0]?.presentVersion, 2);
  const change = { field: 'upstreams.desk-1.slotCount', before: 1, after: 2 };
  assert.equal(errors[0]?.changes, [change]);
});

test('an invalid patch is rejected with the field at fault and changes nothing', async () => {
  const { context, errors, printed } = fixtures.createFixture();
  const status = await config.patchConfig(context, 0, { services: { proofs: { pool: 'desk' } } });
  assert.is(status, 2);
  assert.equal(errors[0]?.problems, [
    { kind: 'unknown-reference', field: 'services.proofs.pool', name: 'desk' },
  ]);
  await config.showConfig(context);
  assert.is((printed[0] as { version: number }).version, 0);
});

test('a patch against a version that never existed is reported as stale, without changes', async () => {
  const { context, errors } = fixtures.createFixture();
  const status = await config.patchConfig(context, 7, { upstreams: { 'desk-1': desk } });
  assert.is(status, 3);
  assert.equal(errors[0], { kind: 'stale', presentVersion: 0, changes: [] });
});

test('each accepted patch is recorded in the audit trail with its operator', async () => {
  const { context, printed } = fixtures.createFixture();
  await config.patchConfig(context, 0, { upstreams: { 'desk-1': desk } });
  await config.showHistory(context, 10);
  const [record] = printed[1] as Record<string, unknown>[];
  assert.is(record?.operator, 'lan');
  assert.equal(record?.patch, { upstreams: { 'desk-1': desk } });
});

test('the difference between two versions is printed; a version that does not exist is an error', async () => {
  const { context, printed, errors } = fixtures.createFixture();
  await config.patchConfig(context, 0, { upstreams: { 'desk-1': desk } });
  await config.patchConfig(context, 1, { upstreams: { 'desk-1': { draining: true } } });
  assert.is(await config.showDifference(context, 1, 2), 0);
  assert.equal(printed[2], [{ field: 'upstreams.desk-1.draining', before: false, after: true }]);
  assert.is(await config.showDifference(context, 1, 9), 2);
  assert.equal(errors[0], { kind: 'no-such-version', version: 9 });
});

test.run();
