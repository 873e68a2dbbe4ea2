import { logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as copyPlan from '../../shared/placement/copy-plan.js';
import * as lateLoads from '../../shared/placement/late-loads.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import * as copyControllers from './copy-controller.js';

const test = suite('copy controller');

const ADAPTER_MS = 30;
const REQUEST_MS = 2_000;

const LOAD_MS = 2_000;
const REPORT_LAG_MS = 200;

type Snapshot = { atMs: number; report: fleet.UpstreamReport };

/** Simulates an upstream that accepts orders one at a time, counts them, and reports its state with a delay. */
function createUpstream(clock: fakeClocks.FakeClock, models: readonly string[]) {
  const held = new Map(models.map((name) => [name, new Set<string>()]));
  const loading = new Set<string>();
  const state = {
    orderCount: 0,
    isBusy: false,
    crashed: false,
    dropsAnswers: false,
    /** Number of the next orders that get no answer and are not carried out. */
    dropOrderCount: 0,
    /** Number of the next requests for a report that get no answer. */
    dropReportCount: 0,
    /** Number of the next requests for a report that fail in a way that nobody expects. */
    brokenReportCount: 0,
    adaptersMax: 4,
    /** Orders for adapters are refused until this time. */
    refuseAdaptersUntilMs: 0,
    /** Whether running requests use the adapters, which delays their unload until the requests have ended. */
    areAdaptersInUse: false,
    /** How long an unload of a model takes, including the running requests that it waits for. */
    unloadMs: 100,
    /** Orders refused as conflicting. */
    refusedCount: 0,
    /** When the latest unload of a model finished. */
    unloadedMs: 0,
    loadBeganMs: 0,
  };
  /** Requests in flight for each model, as reported by gateways. */
  const reportedInFlight = new Map<string, number>();
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
      tokens: null,
      arrivingAdapters: [...loading],
      softwareVersion: 'v1',
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
        state.loadBeganMs = clock.nowMs();
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
          state.unloadedMs = clock.nowMs();
          snap();
        });
        break;
      case 'load-adapter':
        loading.add(`${order.model}/${order.adapter}`);
        if (loading.size + adapterCount() > state.adaptersMax) state.crashed = true;
        clock.schedule(clock.nowMs() + ADAPTER_MS, () => {
          loading.delete(`${order.model}/${order.adapter}`);
          held.get(order.model)?.add(order.adapter);
          snap();
        });
        break;
      case 'unload-adapter': {
        const drop = () => {
          held.get(order.model)?.delete(order.adapter);
          snap();
        };
        if (state.areAdaptersInUse) clock.schedule(clock.nowMs() + REQUEST_MS, drop);
        else drop();
        break;
      }
    }
    snap();
  }

  snap();
  const control: dialects.UpstreamControl = {
    report: () => {
      if (state.brokenReportCount > 0) {
        state.brokenReportCount -= 1;
        return Promise.reject(new Error('broken'));
      }
      if (state.dropReportCount > 0) {
        state.dropReportCount -= 1;
        return Promise.resolve(results.Err({ kind: 'no-answer', reason: 'silent' } as const));
      }
      const asOfMs = clock.nowMs() - REPORT_LAG_MS;
      const known = snapshots.filter(({ atMs }) => atMs <= asOfMs).at(-1) ?? snapshots[0];
      const { report } = known as Snapshot;
      return Promise.resolve(results.Ok({ report, limit: { kind: 'unlimited' } } as const));
    },
    order: (_target, order, context) => {
      orders.push(`${order.kind} ${order.model}${'adapter' in order ? `/${order.adapter}` : ''}`);
      if (state.dropOrderCount > 0) {
        state.dropOrderCount -= 1;
        return Promise.resolve(results.Err({ kind: 'no-answer', reason: 'silent' } as const));
      }
      const isRefused = 'adapter' in order && clock.nowMs() < state.refuseAdaptersUntilMs;
      if (isRefused || state.isBusy || context.expectedOrderCount !== state.orderCount) {
        state.refusedCount += 1;
        return Promise.resolve(results.Ok({ kind: 'conflict' } as const));
      }
      carryOut(order);
      if (state.dropsAnswers) {
        return Promise.resolve(results.Err({ kind: 'no-answer', reason: 'lost' } as const));
      }
      const isImmediate = order.kind === 'unload-adapter' && !state.areAdaptersInUse;
      const kind = isImmediate ? 'holds-already' : 'accepted';
      return Promise.resolve(results.Ok({ kind } as const));
    },
  };
  return { control, state, held, orders, reportedInFlight, carryOut };
}

function createHarness(models: readonly string[]) {
  const clock = fakeClocks.createFakeClock();
  const upstream = createUpstream(clock, models);
  const create = (inheritedLateLoads: readonly lateLoads.LateLoad[] = []) =>
    copyControllers.createCopyController(fixtures.upstreamRecord('u1'), {
      clock,
      log: logs.createSilentLogger(),
      control: upstream.control,
      signals: { applyReport: () => {} },
      holderId: 'g1',
      orderTerm: () => 1,
      onFenced: () => {},
      onStoreLoad: () => {},
      adapterLastRequestedMs: (_model, adapter) => Number(adapter.slice(1)),
      onChanged: () => {},
      drainNoticeMs: () => 300,
      inheritedLateLoads,
      inFlight: (model) => upstream.reportedInFlight.get(model) ?? 0,
      metrics: { orderGiven: () => {}, changeEnded: () => {} },
    });
  return { clock, upstream, create };
}

function change(load: string, unload: string | null): copyPlan.CopyChange {
  return { upstreamId: 'u1', load, unload, level: 'disk', loadMs: LOAD_MS };
}

const modelsOf = (controller: copyControllers.CopyController) =>
  (controller.placed()?.copies ?? []).map(({ model }) => model).sort();

test('a swap unloads one model, then loads the other, and ends when the upstream reports it', async () => {
  const { clock, upstream, create } = createHarness(['a', 'b', 'c']);
  const controller = create();
  await clock.advance(500);
  controller.startChange(change('d', 'a'));
  assert.ok(controller.view(() => 0)?.copies.find(({ model }) => model === 'a')?.isClosing);
  await clock.advance(10_000);
  assert.equal(modelsOf(controller), ['b', 'c', 'd']);
  assert.not(upstream.state.crashed);
  assert.not(controller.view(() => 0)?.isChanging);
  controller.stop();
});

// The evicted copy still runs streams for five seconds. Callers that got a retry time without these would be refused
// again when they retry, and most of them retry only once.
test('the reported ready time is postponed while an unload waits for running requests', async () => {
  const { clock, upstream, create } = createHarness(['a', 'b', 'c']);
  upstream.state.unloadMs = 5_000;
  const controller = create();
  await clock.advance(500);
  const startedMs = clock.nowMs();
  controller.startChange(change('d', 'a'));
  const firstReadyInMs = (controller.placed()?.arrival?.readyAtMs ?? 0) - startedMs;
  assert.ok(firstReadyInMs > LOAD_MS && firstReadyInMs < LOAD_MS + 1_500, `${firstReadyInMs}`);
  await clock.advance(4_000);
  const laterReadyInMs = (controller.placed()?.arrival?.readyAtMs ?? 0) - startedMs;
  assert.ok(laterReadyInMs > 4_000 + LOAD_MS, `${laterReadyInMs}`);
  await clock.advance(10_000);
  assert.equal(modelsOf(controller), ['b', 'c', 'd']);
  assert.is(controller.placed()?.arrival, null);
  controller.stop();
});

type Swap = { load: string; unload: string; requestsMs: number; areReported: boolean };

/**
 * Swaps `unload` for `load` while requests run for `requestsMs`. If `areReported`, gateways report their end 250 ms
 * late.
 */
async function swapBehindRequests(
  { clock, upstream }: ReturnType<typeof createHarness>,
  controller: copyControllers.CopyController,
  { load, unload, requestsMs, areReported }: Swap,
): Promise<void> {
  const noticeMs = 300;
  upstream.state.unloadMs = requestsMs + 100;
  if (areReported && requestsMs > 0) {
    upstream.reportedInFlight.set(unload, 1);
    clock.schedule(clock.nowMs() + noticeMs + requestsMs + 250, () =>
      upstream.reportedInFlight.delete(unload),
    );
  }
  controller.startChange(change(load, unload));
  await clock.advance(requestsMs + LOAD_MS + 2_500);
  assert.ok(upstream.held.has(load), `${load} behind ${requestsMs} ms`);
}

// A load that is sent again and again while the unload before it waits for streams of some seconds is refused each
// time: all but two of the orders of a swap were refused.
test('a load behind an unload is ordered when the unload is done, with hardly any order refused', async () => {
  const harness = createHarness(['a', 'b', 'c']);
  const { clock, upstream } = harness;
  const controller = harness.create();
  await clock.advance(500);
  const runs = [0, 50, 200, 500, 900, 1_300, 1_700, 2_100, 3_000, 5_000];
  const names = ['a', ...runs.map((_, index) => `m${index}`)];
  for (const [index, requestsMs] of runs.entries()) {
    const [unload, load] = [names[index] ?? '', names[index + 1] ?? ''];
    await swapBehindRequests(harness, controller, {
      load,
      unload,
      requestsMs,
      areReported: true,
    });
    const lateMs = upstream.state.loadBeganMs - upstream.state.unloadedMs;
    assert.ok(lateMs <= 500, `${lateMs} ms after the unload behind ${requestsMs} ms`);
  }
  const { refusedCount } = upstream.state;
  assert.ok(refusedCount <= upstream.orders.length / 10, `${refusedCount}, ${upstream.orders}`);
  assert.not(upstream.state.crashed);
  controller.stop();
});

// The gateways that sent the running requests have stopped and report nothing. Only the upstream's reports show when it
// is free.
test('a load behind requests that no gateway reports is refused at most twice', async () => {
  const harness = createHarness(['a', 'b', 'c']);
  const { clock, upstream } = harness;
  const controller = harness.create();
  await clock.advance(500);
  await swapBehindRequests(harness, controller, {
    load: 'd',
    unload: 'a',
    requestsMs: 4_000,
    areReported: false,
  });
  assert.ok(upstream.state.refusedCount <= 2, `${upstream.state.refusedCount}`);
  const lateMs = upstream.state.loadBeganMs - upstream.state.unloadedMs;
  assert.ok(lateMs <= 1_000, `${lateMs} ms after the unload`);
  controller.stop();
});

// If half of the orders to a busy upstream are refused, requests that need an adapter or a model wait meanwhile.
test('at most one in ten orders is refused by an upstream whose models and adapters change all the time', async () => {
  const totals = { orders: 0, refused: 0 };
  for (let seed = 1; seed <= 10; seed += 1) {
    const random = randoms.createRandom(seed);
    const harness = createHarness(['a', 'b', 'c']);
    const { clock, upstream } = harness;
    const controller = harness.create();
    await clock.advance(500);
    let isRequesting = true;
    const requestAdapters = () => {
      if (!isRequesting) return;
      const held = [...upstream.held.keys()];
      const model = held[random.below(held.length)] ?? 'a';
      void controller.ensureAdapter(model, `a${1 + random.below(8)}`, 4);
      clock.schedule(clock.nowMs() + 20 + random.below(160), requestAdapters);
    };
    requestAdapters();
    for (let swap = 0; swap < 6; swap += 1) {
      upstream.state.areAdaptersInUse = random.fraction() < 0.5;
      const unload = [...upstream.held.keys()][0] ?? '';
      const requestsMs = random.below(4_000);
      await swapBehindRequests(harness, controller, {
        load: `m${swap}`,
        unload,
        requestsMs,
        areReported: true,
      });
      await clock.advance(random.below(2_000));
    }
    isRequesting = false;
    await clock.advance(3_000);
    assert.not(upstream.state.crashed, `seed ${seed}`);
    totals.orders += upstream.orders.length;
    totals.refused += upstream.state.refusedCount;
    controller.stop();
  }
  assert.ok(totals.refused <= totals.orders / 10, JSON.stringify(totals));
});

// A holder dies while an upstream carries out its load. The report that its successor gets lacks the model, so memory
// looks free; another load would be one too many and crash the upstream.
test("an upstream that carries out an earlier holder's load gets no orders until it has finished", async () => {
  const { clock, upstream, create } = createHarness(['a', 'b']);
  upstream.carryOut({ kind: 'load-model', model: 'c' });
  await clock.advance(300);
  const controller = create();
  await clock.advance(300);
  assert.ok(controller.view(() => 0)?.isChanging);
  controller.startChange(change('d', null));
  await clock.advance(10_000);
  assert.not(upstream.state.crashed);
  assert.equal(modelsOf(controller), ['a', 'b', 'c']);
  controller.stop();
});

// The answer to a load is lost, and the load is carried out. Ordering it again without requesting a report would assign
// the same memory twice.
test('a load whose answer is lost is found in the report, not ordered twice', async () => {
  const { clock, upstream, create } = createHarness(['a', 'b']);
  const controller = create();
  await clock.advance(500);
  upstream.state.dropsAnswers = true;
  controller.startChange(change('c', null));
  await clock.advance(15_000);
  assert.not(upstream.state.crashed);
  assert.ok(upstream.held.has('c'));
  assert.equal(modelsOf(controller), ['a', 'b', 'c']);
  controller.stop();
});

// The platform's list still shows the models from before the swap: a gateway that cannot reach the store keeps seeing
// the same old record.
test('an old record of the list does not override the state known from orders', async () => {
  const { clock, create } = createHarness(['a', 'b', 'c']);
  const controller = create();
  const resident = (name: string) => ({ name, version: 1, adapters: [] });
  const old = fixtures.upstreamRecord('u1', { models: ['a', 'b'].map(resident) });
  await clock.advance(500);
  controller.startChange(change('d', 'a'));
  await clock.advance(4_000);
  controller.applyList(old);
  await clock.advance(20_000);
  controller.applyList(old);
  assert.equal(modelsOf(controller), ['b', 'c', 'd']);
  controller.stop();
});

// Many requests need different adapters at once, more than there are slots.
test('adapters never exceed their slots, however many are requested at once', async () => {
  const { clock, upstream, create } = createHarness(['a']);
  const controller = create();
  await clock.advance(500);
  const requested = Array.from({ length: 12 }, (_, index) => `a${index + 1}`);
  const done = requested.map((adapter) => controller.ensureAdapter('a', adapter, 4));
  await clock.advance(4_000);
  await Promise.all(done);
  assert.not(upstream.state.crashed);
  assert.ok(await controller.ensureAdapter('a', 'a12', 4));
  controller.stop();
});

// A report that is requested while adapters are being loaded counts their orders but does not list the adapters yet. By
// its list alone, slots would look free that are in use.
test('adapters that are being loaded use slots, whenever a report is requested', async () => {
  for (let delayMs = 0; delayMs <= REPORT_LAG_MS; delayMs += 10) {
    const { clock, upstream, create } = createHarness(['a']);
    const controller = create();
    await clock.advance(500);
    ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
      void controller.ensureAdapter('a', adapter, 4);
    });
    await clock.advance(1_500);
    upstream.carryOut({ kind: 'unload-adapter', model: 'a', adapter: 'a1' });
    upstream.carryOut({ kind: 'load-adapter', model: 'a', adapter: 'a9' });
    await clock.advance(delayMs);
    const later = controller.ensureAdapter('a', 'a5', 4);
    await clock.advance(3_000);
    await later;
    assert.not(upstream.state.crashed, `requested ${delayMs} ms later`);
    controller.stop();
  }
});

// All slots hold adapters that requests use. The unload of one is accepted, but its slot stays in use until those
// requests have ended; loading another adapter meanwhile would be one too many.
test('an adapter in use keeps its slot until it is unloaded', async () => {
  const { clock, upstream, create } = createHarness(['a']);
  const controller = create();
  await clock.advance(500);
  ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
    void controller.ensureAdapter('a', adapter, 4);
  });
  await clock.advance(1_000);
  upstream.state.areAdaptersInUse = true;
  const first = controller.ensureAdapter('a', 'a5', 4);
  await clock.advance(1_000);
  const second = controller.ensureAdapter('a', 'a6', 4);
  await clock.advance(1_000);
  assert.not(upstream.state.crashed);
  await clock.advance(5_000);
  await Promise.all([first, second]);
  const third = controller.ensureAdapter('a', 'a7', 4);
  await clock.advance(5_000);
  await third;
  assert.not(upstream.state.crashed);
  controller.stop();
});

// While the evicted adapter is still in use, a second and a third one must not be unloaded for the same load: requests
// for them would reach an upstream without them.
test('a load evicts only one adapter', async () => {
  const { clock, upstream, create } = createHarness(['a']);
  const controller = create();
  await clock.advance(500);
  ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
    void controller.ensureAdapter('a', adapter, 4);
  });
  await clock.advance(1_000);
  upstream.state.areAdaptersInUse = true;
  void controller.ensureAdapter('a', 'a5', 4);
  await clock.advance(1_000);
  const unloads = upstream.orders.filter((order) => order.startsWith('unload-adapter'));
  assert.equal(unloads, ['unload-adapter a/a1']);
  controller.stop();
});

// Without back-off, an upstream that refuses orders for adapters for some seconds would get them all the time, from
// requests and from the plan.
test('orders for adapters to an upstream that refuses them back off, and resume in time', async () => {
  const { clock, upstream, create } = createHarness(['a']);
  const controller = create();
  await clock.advance(500);
  const startedMs = clock.nowMs();
  upstream.state.refuseAdaptersUntilMs = startedMs + 2_000;
  const requestAdapters = async (durationMs: number) => {
    for (let askedMs = 0; askedMs < durationMs; askedMs += 100) {
      ['a1', 'a2'].forEach((adapter) => void controller.ensureAdapter('a', adapter, 4));
      await clock.advance(100);
    }
  };
  await requestAdapters(1_000);
  assert.ok((controller.placed()?.blockedUntilMs ?? 0) > clock.nowMs());
  await requestAdapters(3_000);
  assert.equal([...(upstream.held.get('a') ?? [])].sort(), ['a1', 'a2']);
  assert.ok(upstream.state.refusedCount <= 6, `${upstream.state.refusedCount} refused`);
  controller.stop();
});

// The pause between two attempts to load an adapter must not delay the orders for models behind it.
test('a change does not wait for the next attempt to load an adapter', async () => {
  const { clock, upstream, create } = createHarness(['a', 'b']);
  const controller = create();
  await clock.advance(500);
  upstream.state.refuseAdaptersUntilMs = clock.nowMs() + 1_000;
  void controller.ensureAdapter('a', 'a1', 4);
  await clock.advance(10);
  const startedMs = clock.nowMs();
  controller.startChange(change('c', null));
  await clock.advance(3_000);
  assert.ok(upstream.state.loadBeganMs - startedMs < 50, `${upstream.state.loadBeganMs}`);
  controller.stop();
});

// The store was unavailable while adapters were loaded, and its list shows the upstream as it was before. Relying on it
// would reuse slots that are in use, and one more adapter crashes the upstream.
test('a list from before the last orders frees no slots', async () => {
  const { clock, upstream, create } = createHarness(['a']);
  const controller = create();
  await clock.advance(500);
  ['a1', 'a2', 'a3', 'a4'].forEach((adapter) => {
    void controller.ensureAdapter('a', adapter, 4);
  });
  await clock.advance(10_000);
  const models = [{ name: 'a', version: 1, adapters: ['a1'] }];
  controller.applyList(fixtures.upstreamRecord('u1', { models }));
  const later = controller.ensureAdapter('a', 'a5', 4);
  await clock.advance(5_000);
  await later;
  assert.not(upstream.state.crashed);
  controller.stop();
});

// All adapter slots are in use. The order that frees one gets no answer and is not carried out, and the next request
// for a report gets no answer either. The slot is still in use, so nothing may be loaded into it.
test('a slot that may not have been freed is not reused', async () => {
  const { clock, upstream, create } = createHarness(['m1']);
  const controller = create();
  await clock.advance(10);
  for (const adapter of ['a1', 'a2', 'a3', 'a4']) {
    void controller.ensureAdapter('m1', adapter, 4);
    await clock.advance(300);
  }
  upstream.state.dropOrderCount = 1;
  upstream.state.dropReportCount = 1;
  void controller.ensureAdapter('m1', 'a5', 4);
  await clock.advance(1_000);
  assert.is(upstream.state.crashed, false);
});

// Three orders in ten get no answer and arrive seconds late. When a change was given up after the first of these, every
// other change failed and started again a second later, while callers of the model in demand were refused.
test('an order without an answer is sent again, and the change goes on', async () => {
  const { clock, upstream, create } = createHarness(['m1', 'm2', 'm3']);
  const controller = create();
  await clock.advance(10);
  upstream.state.dropOrderCount = 2;
  controller.startChange(change('m4', 'm3'));
  await clock.advance(LOAD_MS + 3_000);
  assert.ok(upstream.held.has('m4'));
  assert.is(upstream.state.crashed, false);
});

// A load and its answer are lost. Meanwhile the upstream has accepted a late order of another holder, which its report
// shows by the order count: the plan was made for what the upstream held before and must not go on.
test('a load whose answer was lost is not sent again once the upstream has taken another order', async () => {
  const { clock, upstream, create } = createHarness(['m1', 'm2']);
  const controller = create();
  await clock.advance(10);
  upstream.state.dropOrderCount = 1;
  controller.startChange(change('m3', null));
  await clock.advance(20);
  upstream.carryOut({ kind: 'load-model', model: 'm4' });
  await clock.advance(LOAD_MS * 3);
  assert.is(upstream.state.crashed, false);
  assert.ok(upstream.held.has('m4'));
});

// A load order gets no answer, and the upstream restarts under the same name, empty and with a new order count. The
// late order may match that count by chance. If its memory were assigned to another load, one model too many would be
// loaded.
test('memory stays reserved for a late load after the upstream restarts', async () => {
  const { clock, upstream, create } = createHarness(['m1', 'm2']);
  const before = create();
  await clock.advance(10);
  upstream.state.dropsAnswers = true;
  before.startChange(change('m3', null));
  await clock.advance(500);
  const late = before.lateLoads();
  assert.equal(
    late.map(({ model }) => model),
    ['m3'],
  );
  const again = createHarness(['m1', 'm2']);
  const after = again.create(late);
  await again.clock.advance(10);
  const held = () => (after.view(() => 0)?.copies ?? []).map(({ model }) => model).sort();
  assert.equal(held(), ['m1', 'm2', 'm3']);
  await again.clock.advance(lateLoads.LATE_ORDER_MS);
  assert.equal(held(), ['m1', 'm2']);
});

test('a slot stays reserved for a late load of an adapter', async () => {
  const { clock, create } = createHarness(['m1']);
  const untilMs = clock.nowMs() + 5_000;
  const controller = create([{ model: 'm1', adapter: 'a1', untilMs }]);
  await clock.advance(10);
  assert.is(controller.adapterCount(), 1);
  await clock.advance(5_000);
  assert.is(controller.adapterCount(), 0);
});

// Guards against a report that cannot be applied and ends the gateway that holds the lease.
test('a report that breaks its reader counts as missing, and the next one is read', async () => {
  const { clock, upstream, create } = createHarness(['a']);
  upstream.carryOut({ kind: 'load-model', model: 'b' });
  await clock.advance(REPORT_LAG_MS);
  const controller = create();
  await clock.advance(REPORT_LAG_MS);
  assert.ok(controller.view(() => 0)?.isChanging);
  upstream.state.brokenReportCount = 1;
  await clock.advance(LOAD_MS * 3);
  assert.equal(modelsOf(controller), ['a', 'b']);
  controller.stop();
});

test.run();
