import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as checks from './checks.js';
import * as schema from './schema.js';

const test = suite('checks');

function engine(memoryBytes: number) {
  return {
    kind: 'engine',
    pool: 'jury',
    failureDomain: 'long-bien',
    region: 'hanoi',
    acceleratorCount: 1,
    memoryBytes,
    slotCount: 4,
    checksFencing: true,
  };
}

function model(sizeBytes: number, fields: Record<string, unknown> = {}) {
  return { version: 'v1', sizeBytes, pools: ['jury'], ...fields };
}

function problemsOf(document: Record<string, unknown>): string[] {
  return checks.findProblems(schema.documentSchema.parse(document)).map(checks.describeProblem);
}

test('a valid document whose models fit has no problems', () => {
  const upstreams = { 'jury-1': engine(100) };
  assert.equal(problemsOf({ upstreams, models: { draws: model(60) } }), []);
});

test('an unknown reference is reported with its field', () => {
  const upstreams = { 'jury-1': engine(100) };
  const models = { draws: model(60, { pools: ['jury', 'nowhere'] }) };
  const adapters = { club: { model: 'protests', version: 'v1', sizeBytes: 1 } };
  const services = { proofs: { pool: 'desk' } };
  assert.equal(problemsOf({ upstreams, models, adapters, services }), [
    'models.draws.pools.1: there is no "nowhere"',
    'adapters.club.model: there is no "protests"',
    'services.proofs.pool: there is no "desk"',
  ]);
});

test('a model and an adapter may not have the same name', () => {
  const upstreams = { 'jury-1': engine(100) };
  const adapters = { draws: { model: 'draws', version: 'v1', sizeBytes: 1 } };
  assert.equal(problemsOf({ upstreams, models: { draws: model(60) }, adapters }), [
    'adapters.draws: a model has the same name',
  ]);
});

test('a model with its adapters must fit on one engine; the problem gives needed and available bytes', () => {
  const upstreams = { 'jury-1': engine(100), 'jury-2': engine(100) };
  const adapters = { club: { model: 'draws', version: 'v1', sizeBytes: 45 } };
  assert.equal(problemsOf({ upstreams, models: { draws: model(60) }, adapters }), [
    'models.draws.sizeBytes: needs 105 bytes of accelerator memory, 100 are there',
  ]);
});

test('the minimum copies of all models together must fit into their pools', () => {
  const upstreams = { 'jury-1': engine(100) };
  const models = { draws: model(60), protests: model(50) };
  assert.equal(problemsOf({ upstreams, models }), [
    'models (pools jury): needs 110 bytes of accelerator memory, 100 are there',
  ]);
});

test.run();
