import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as memoryRecords from '../../testing/memory-records.js';
import * as metricsApp from './app.js';
import * as measuredStores from './measured-store.js';
import * as metricsModule from './metrics.js';

const test = suite('metrics');

const READINGS: metricsModule.Readings = {
  openCallCount: 3,
  unstartedCount: 4,
  acceptWaitMs: 20,
  bodyBytes: 70_000,
  answerBytes: 0,
  configVersion: 12,
  configAgeMs: 2_500,
  storePosition: { era: 0, revision: 40 },
  listAgeMs: 300,
  upstreamCount: 11,
  avoidedCount: 1,
  speeds: { slowCount: 2, disturbedCount: 3, distrustedCount: 0 },
  limitedCount: 0,
  leavingCount: 0,
  keptCount: 0,
  placementAgeMs: 250,
  plainWaitingCount: 0,
  heldTerm: null,
  startWaitingCount: 0,
  descriptors: { callerCount: 5, callersMax: 6, exhaustedCount: 8, failedConnectCount: 9 },
  logLines: { lostCount: 7, pendingCharacters: 120, isFailing: true },
};

const STREAM = { kind: 'stream', priority: 1 } as const;

function createMetrics() {
  return metricsModule.createGatewayMetrics(() => READINGS);
}

test('requests are counted by class, outcome and cause, with their times', async () => {
  const metrics = createMetrics();
  const refusal = { kind: 'not-run', cause: 'overloaded', retryAfterMs: 900 } as const;
  metrics.requestEnded(STREAM, refusal, 2);
  metrics.requestEnded(STREAM, { kind: 'answered', status: 200, upstreamId: 'u1' }, 1_400);
  metrics.firstPiece(STREAM, 130);
  const text = await metrics.text();
  const refused =
    'copperlever_requests_total{kind="stream",priority="1",outcome="not-run",cause="overloaded"} 1';
  assert.ok(text.includes(refused), text);
  assert.ok(
    text.includes('copperlever_first_piece_seconds_bucket{le="0.2",kind="stream",priority="1"} 1'),
    text,
  );
  assert.ok(text.includes('copperlever_request_seconds_count{kind="stream",priority="1"} 2'));
});

test('what a gateway knows is read when it is asked for', async () => {
  const text = await createMetrics().text();
  assert.ok(text.includes('copperlever_config_age_seconds 2.5'));
  assert.ok(text.includes('copperlever_upstreams_avoided 1'));
  assert.ok(text.includes('copperlever_lease_term 0'));
  assert.ok(text.includes('copperlever_descriptors_exhausted 8'));
  assert.ok(text.includes('copperlever_log_lines_lost 7'));
  assert.ok(text.includes('copperlever_log_failing 1'));
});

// Failure: predictions are off for long prompts only, and a figure over all hides it.
test('first events are compared with their predictions by band', async () => {
  const metrics = createMetrics();
  metrics.predicted(40, 44);
  metrics.predicted(900, 2_000);
  metrics.predicted(0, 10);
  const text = await metrics.text();
  assert.ok(text.includes('copperlever_first_piece_ratio_bucket{le="1.25",band="below-50ms"} 1'));
  assert.ok(text.includes('copperlever_first_piece_ratio_bucket{le="1.25",band="longer"} 0'));
  assert.ok(text.includes('copperlever_upstreams_slow 2'));
  assert.ok(text.includes('copperlever_upstreams_disturbed 3'));
});

test('store calls are counted with their results, and passed on', async () => {
  const metrics = createMetrics();
  const records = memoryRecords.createMemoryRecords();
  const store = measuredStores.createMeasuredStore(records, metrics);
  assert.is((await store.get('leases', 'placing', 0)).ok, true);
  records.setFault('down');
  assert.is((await store.get('leases', 'placing', 0)).ok, false);
  const text = await metrics.text();
  assert.ok(text.includes('copperlever_store_calls_total{call="get",result="ok"} 1'), text);
  assert.ok(text.includes('copperlever_store_calls_total{call="get",result="unavailable"} 1'));
});

test('the text is served where collectors look for it', async () => {
  const app = metricsApp.createMetricsApp(createMetrics());
  const answer = await app.inject({ url: metricsApp.METRICS_PATH });
  assert.is(answer.statusCode, 200);
  assert.match(String(answer.headers['content-type']), /^text\/plain/);
  assert.ok(answer.body.includes('# TYPE copperlever_requests_total counter'));
  await app.close();
});

test.run();
