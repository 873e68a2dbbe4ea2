import { logs, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as copyPlan from '../../shared/placing/copy-plan.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import * as stewards from './steward.js';

const test = suite('steward');

const LOAD_MS = 2_000;
const REPORT_LAG_MS = 200;

type Snapshot = { atMs: number; report: fleet.UpstreamReport };

/** An upstream that takes orders one at a time, counts them, and reports what it was some time ago. */
function createUpstream(clock: fakeClocks.FakeClock, models: readonly string[]) {
  const held = new Map(models.map((name) => [name, new Set<string>()]));
  const state = { orderCount: 0, isBusy: false, crashed: false, losesAnswers: false };
  const orders: string[] = [];
  const snapshots: Snapshot[] = [];

  function snap(): void {
    const residents = [...held].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
    const report = {
      models: residents,
      isBusy: state.isBusy,
      orderCount: state.orderCount,
      runningCount: 0,
      waitingCount: 0,
      arrivingAdapters: [],
      hostModels: [],
      diskModels: [],
    };
    snapshots.push({ atMs: clock.nowMs(), report });
  }

  function carryOut(order: dialects.Order): void {
    state.orderCount += 1;
    switch (order.kind) {
      case 'load-model':
        state.isBusy = true;
        if (held.size >= 3) state.crashed = true;
        clock.schedule(clock.nowMs() + LOAD_MS, () => {
          held.set(order.model, new Set());
          state.isBusy = false;
          snap();
        });
        break;
      case 'unload-model':
        state.isBusy = true;
        clock.schedule(clock.nowMs() + 100, () => {
          held.delete(order.model);
          state.isBusy = false;
          snap();
        });
        break;
      case 'load-adapter':
        held.get(order.model)?.add(order.adapter);
        break;
      case 'unload-adapter':
        held.get(order.model)?.delete(order.adapter);
        break;
    }
    snap();
  }

  snap();
  const control: dialects.UpstreamControl = {
    report: () => {
      const asOfMs = clock.nowMs() - REPORT_LAG_MS;
      const known = snapshots.filter(({ atMs }) => atMs <= asOfMs).at(-1) ?? snapshots[0];
      return Promise.resolve(results.Ok((known as Snapshot).report));
    },
    order: (_target, order, context) => {
      orders.push(`${order.kind} ${order.model}${'adapter' in order ? `/${order.adapter}` : ''}`);
      if (state.isBusy || context.expectedOrderCount !== state.orderCount) {
        return Promise.resolve(results.Ok({ kind: 'conflict' } as const));
      }
      carryOut(order);
      if (state.losesAnswers) {
        return Promise.resolve(results.Err({ kind: 'no-answer', reason: 'lost' } as const));
      }
      const isImmediate = order.kind === 'unload-adapter';
      const kind = isImmediate ? 'holds-already' : 'accepted';
      return Promise.resolve(results.Ok({ kind } as const));
    },
  };
  return { control, state, held, orders, carryOut };
}

function createRig(models: readonly string[]) {
  const clock = fakeClocks.createFakeClock();
  const upstream = createUpstream(clock, models);
  const create = () =>
    stewards.createSteward(fixtures.upstreamRecord('u1'), {
      clock,
      log: logs.createSilentLogger(),
      control: upstream.control,
      holderId: 'g1',
      orderTerm: () => 1,
      onFenced: () => {},
      onStoreLoad: () => {},
      adapterLastAskedMs: (_model, adapter) => Number(adapter.slice(1)),
      onChanged: () => {},
    });
  return { clock, upstream, create };
}

function change(load: string, unload: string | null): copyPlan.CopyChange {
  return { upstreamId: 'u1', load, unload, level: 'disk', loadMs: LOAD_MS };
}

const modelsOf = (steward: stewards.Steward) =>
  (steward.placed()?.copies ?? []).map(({ model }) => model).sort();

test('a swap unloads, loads behind it, and ends when the upstream says so', async () => {
  const { clock, upstream, create } = createRig(['a', 'b', 'c']);
  const steward = create();
  await clock.advance(500);
  steward.startChange(change('d', 'a'));
  assert.ok(steward.view(() => 0)?.copies.find(({ model }) => model === 'a')?.isClosing);
  await clock.advance(10_000);
  assert.equal(modelsOf(steward), ['b', 'c', 'd']);
  assert.not(upstream.state.crashed);
  assert.not(steward.view(() => 0)?.isChanging);
  steward.stop();
});

// A holder dies while a load that it ordered is on its way. Its successor's report lacks the model, so a
// place looks free; the next load would be one too many and crash the upstream.
test("an upstream that carries out an earlier holder's load is left alone until it has done", async () => {
  const { clock, upstream, create } = createRig(['a', 'b']);
  upstream.carryOut({ kind: 'load-model', model: 'c' });
  await clock.advance(300);
  const steward = create();
  await clock.advance(300);
  assert.ok(steward.view(() => 0)?.isChanging);
  steward.startChange(change('d', null));
  await clock.advance(10_000);
  assert.not(upstream.state.crashed);
  assert.equal(modelsOf(steward), ['a', 'b', 'c']);
  steward.stop();
});

// The answer to a load is lost, and the load is carried out. Ordered once more without asking, the same
// memory would be promised twice.
test('a load whose answer is lost is found by its report, not ordered twice', async () => {
  const { clock, upstream, create } = createRig(['a', 'b']);
  const steward = create();
  await clock.advance(500);
  upstream.state.losesAnswers = true;
  steward.startChange(change('c', null));
  await clock.advance(15_000);
  assert.not(upstream.state.crashed);
  assert.ok(upstream.held.has('c'));
  assert.equal(modelsOf(steward), ['a', 'b', 'c']);
  steward.stop();
});

// The platform's list still shows what was there before the swap: a gateway that is cut from the store sees
// the same old record for ever.
test('an old record of the list does not undo what orders have shown', async () => {
  const { clock, create } = createRig(['a', 'b', 'c']);
  const steward = create();
  const resident = (name: string) => ({ name, version: 1, adapters: [] });
  const old = fixtures.upstreamRecord('u1', { models: ['a', 'b'].map(resident) });
  await clock.advance(500);
  steward.startChange(change('d', 'a'));
  await clock.advance(4_000);
  steward.adopt(old);
  await clock.advance(20_000);
  steward.adopt(old);
  assert.equal(modelsOf(steward), ['b', 'c', 'd']);
  steward.stop();
});

// Many requests ask for different adapters at once, more than there are places.
test('adapters never exceed their places, however many are asked for at once', async () => {
  const { clock, upstream, create } = createRig(['a']);
  const steward = create();
  await clock.advance(500);
  const asked = Array.from({ length: 12 }, (_, index) => `a${index + 1}`);
  const done = asked.map((adapter) => steward.ensureAdapter('a', adapter, 4));
  let most = 0;
  for (let step = 0; step < 200; step += 1) {
    await clock.advance(10);
    most = Math.max(most, upstream.held.get('a')?.size ?? 0);
  }
  await Promise.all(done);
  assert.ok(most <= 4, `${most}`);
  assert.ok(await steward.ensureAdapter('a', 'a12', 4));
  steward.stop();
});

test.run();
