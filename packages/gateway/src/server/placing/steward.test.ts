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

const ADAPTER_MS = 30;
const RUN_MS = 2_000;

const LOAD_MS = 2_000;
const REPORT_LAG_MS = 200;

type Snapshot = { atMs: number; report: fleet.UpstreamReport };

/** An upstream that takes orders one at a time, counts them, and reports what it was some time ago. */
function createUpstream(clock: fakeClocks.FakeClock, models: readonly string[]) {
  const held = new Map(models.map((name) => [name, new Set<string>()]));
  const coming = new Set<string>();
  const state = {
    orderCount: 0,
    isBusy: false,
    crashed: false,
    losesAnswers: false,
    adaptersMax: 4,
    /** An adapter that requests use goes when they have ended. */
    adaptersInUse: false,
    /** Unloads wait for runs that last so long. */
    unloadMs: 100,
  };
  const orders: string[] = [];
  const snapshots: Snapshot[] = [];

  function adapterCount(): number {
    return [...held.values()].reduce((sum, adapters) => sum + adapters.size, 0);
  }

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
      arrivingAdapters: [...coming],
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
        clock.schedule(clock.nowMs() + state.unloadMs, () => {
          held.delete(order.model);
          state.isBusy = false;
          snap();
        });
        break;
      case 'load-adapter':
        coming.add(`${order.model}/${order.adapter}`);
        if (coming.size + adapterCount() > state.adaptersMax) state.crashed = true;
        clock.schedule(clock.nowMs() + ADAPTER_MS, () => {
          coming.delete(`${order.model}/${order.adapter}`);
          held.get(order.model)?.add(order.adapter);
          snap();
        });
        break;
      case 'unload-adapter': {
        const drop = () => {
          held.get(order.model)?.delete(order.adapter);
          snap();
        };
        if (state.adaptersInUse) clock.schedule(clock.nowMs() + RUN_MS, drop);
        else drop();
        break;
      }
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
      const isImmediate = order.kind === 'unload-adapter' && !state.adaptersInUse;
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
      metrics: { orderGiven: () => {}, changeEnded: () => {} },
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

// What makes way runs streams for five seconds more. Callers who were told that its place is free at once would come
// back to a refusal, and most of them come back only once.
test('the ready time that callers are told is put off while an unload waits for its runs', async () => {
  const { clock, upstream, create } = createRig(['a', 'b', 'c']);
  upstream.state.unloadMs = 5_000;
  const steward = create();
  await clock.advance(500);
  const startedMs = clock.nowMs();
  steward.startChange(change('d', 'a'));
  const toldAtFirstMs = (steward.arrival()?.readyAtMs ?? 0) - startedMs;
  assert.ok(toldAtFirstMs > LOAD_MS && toldAtFirstMs < LOAD_MS + 1_500, `${toldAtFirstMs}`);
  await clock.advance(4_000);
  const toldLaterMs = (steward.arrival()?.readyAtMs ?? 0) - startedMs;
  assert.ok(toldLaterMs > 4_000 + LOAD_MS, `${toldLaterMs}`);
  await clock.advance(10_000);
  assert.equal(modelsOf(steward), ['b', 'c', 'd']);
  assert.is(steward.arrival(), null);
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
  steward.heardList(old);
  await clock.advance(20_000);
  steward.heardList(old);
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
  await clock.advance(4_000);
  await Promise.all(done);
  assert.not(upstream.state.crashed);
  assert.ok(await steward.ensureAdapter('a', 'a12', 4));
  steward.stop();
});

// A report that is asked for while adapters are on their way counts their orders, and does not list them yet.
// Taken for all there is, it shows free places that are none.
test('adapters on their way take places, whenever a report is asked for', async () => {
  for (let askedMs = 0; askedMs <= REPORT_LAG_MS; askedMs += 10) {
    const { clock, upstream, create } = createRig(['a']);
    const steward = create();
    await clock.advance(500);
    ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
      void steward.ensureAdapter('a', adapter, 4);
    });
    await clock.advance(1_500);
    upstream.carryOut({ kind: 'unload-adapter', model: 'a', adapter: 'a1' });
    upstream.carryOut({ kind: 'load-adapter', model: 'a', adapter: 'a9' });
    await clock.advance(askedMs);
    const later = steward.ensureAdapter('a', 'a5', 4);
    await clock.advance(3_000);
    await later;
    assert.not(upstream.state.crashed, `asked ${askedMs} ms later`);
    steward.stop();
  }
});

// All places hold adapters that requests use. The unload of one is taken, and its place stays taken until those
// requests have ended; another adapter in the meantime would be one too many.
test('an adapter in use keeps its place until it has gone', async () => {
  const { clock, upstream, create } = createRig(['a']);
  const steward = create();
  await clock.advance(500);
  ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
    void steward.ensureAdapter('a', adapter, 4);
  });
  await clock.advance(1_000);
  upstream.state.adaptersInUse = true;
  const first = steward.ensureAdapter('a', 'a5', 4);
  await clock.advance(1_000);
  const second = steward.ensureAdapter('a', 'a6', 4);
  await clock.advance(1_000);
  assert.not(upstream.state.crashed);
  await clock.advance(5_000);
  await Promise.all([first, second]);
  const third = steward.ensureAdapter('a', 'a7', 4);
  await clock.advance(5_000);
  await third;
  assert.not(upstream.state.crashed);
  steward.stop();
});

// The store was away while adapters were loaded, and its list shows the upstream as it was before. Believed, it
// shows places that are taken, and one more adapter crashes the upstream.
test('a list from before the last orders frees no places', async () => {
  const { clock, upstream, create } = createRig(['a']);
  const steward = create();
  await clock.advance(500);
  ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
    void steward.ensureAdapter('a', adapter, 4);
  });
  await clock.advance(10_000);
  const models = [{ name: 'a', version: 1, adapters: ['a1'] }];
  steward.heardList(fixtures.upstreamRecord('u1', { models }));
  const later = steward.ensureAdapter('a', 'a5', 4);
  await clock.advance(5_000);
  await later;
  assert.not(upstream.state.crashed);
  steward.stop();
});

test.run();
