import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as rigs from '../testing/rig.js';
import * as config from './config.js';

const test = suite('config commands');

const desk = { kind: 'service', pool: 'desk', failureDomain: 'a', region: 'r', slotCount: 1 };

test('a stale patch exits 3 with the present version and what changed since', async () => {
  // Minh and Lan both read version 1; Lan is first. Minh's patch must not silently undo hers.
  const { context, errors } = rigs.createRig();
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

test('a patch that cannot be in force is rejected with the field, and changes nothing', async () => {
  const { context, errors, printed } = rigs.createRig();
  const status = await config.patchConfig(context, 0, { services: { proofs: { pool: 'desk' } } });
  assert.is(status, 2);
  assert.equal(errors[0]?.problems, [
    { kind: 'unknown-reference', field: 'services.proofs.pool', name: 'desk' },
  ]);
  await config.showConfig(context);
  assert.is((printed[0] as { version: number }).version, 0);
});

test('a version that never was is not taken for a stale one', async () => {
  const { context, errors } = rigs.createRig();
  const status = await config.patchConfig(context, 7, { upstreams: { 'desk-1': desk } });
  assert.is(status, 3);
  assert.equal(errors[0], { kind: 'stale', presentVersion: 0, changes: [] });
});

test('each accepted patch is in the audit trail with its operator', async () => {
  const { context, printed } = rigs.createRig();
  await config.patchConfig(context, 0, { upstreams: { 'desk-1': desk } });
  await config.showHistory(context, 10);
  const [record] = printed[1] as Record<string, unknown>[];
  assert.is(record?.operator, 'lan');
  assert.equal(record?.patch, { upstreams: { 'desk-1': desk } });
});

test('the difference between two versions is told, also for one that is not there', async () => {
  const { context, printed, errors } = rigs.createRig();
  await config.patchConfig(context, 0, { upstreams: { 'desk-1': desk } });
  await config.patchConfig(context, 1, { upstreams: { 'desk-1': { draining: true } } });
  assert.is(await config.showDifference(context, 1, 2), 0);
  assert.equal(printed[2], [{ field: 'upstreams.desk-1.draining', before: false, after: true }]);
  assert.is(await config.showDifference(context, 1, 9), 2);
  assert.equal(errors[0], { kind: 'no-such-version', version: 9 });
});

test.run();
