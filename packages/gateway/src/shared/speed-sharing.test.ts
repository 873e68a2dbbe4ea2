import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as speedSharing from './speed-sharing.js';
import * as statesModule from './upstream-states.js';

const test = suite('speed sharing');

const PERIOD_MS = 250;

function createGateway(gatewayId: string) {
  const states = statesModule.createUpstreamStates({ serviceOf: () => 's' });
  return { gatewayId, states, reporter: speedSharing.createSpeedReporter(states) };
}

type TestGateway = ReturnType<typeof createGateway>;

/** One request to the holder and its reply; returns the speeds that each of them carried. */
function exchange(
  requester: TestGateway,
  aggregator: speedSharing.SpeedAggregator,
  nowMs: number,
  periodMs = PERIOD_MS,
) {
  const question = requester.reporter.createRequest(periodMs, nowMs);
  aggregator.applySpeeds(requester.gatewayId, question.speeds, nowMs);
  const answer = aggregator.updatesFor(requester.gatewayId, question.known, periodMs, nowMs);
  requester.reporter.applyReply(answer, nowMs);
  return { asked: question.speeds, answered: answer.speeds };
}

/** Records answers of a fast and a slow upstream. */
function recordAnswers({ states }: TestGateway, count: number): void {
  for (let index = 0; index < count; index += 1) {
    states.recordFirstChunk('quick', 100, 70, index);
    states.recordFirstChunk('slow', 100, 140, index);
  }
}

function loadSignal(transientFactor: number) {
  return { runningCount: 1, waitingCount: 0, slots: 8, transientFactor };
}

function latencyRatio({ states }: TestGateway, upstreamId: string, nowMs: number): number {
  return states.state(upstreamId, nowMs).latencyRatio;
}

// Guards against a gateway that has just started and treats slow upstreams like all others for minutes.
test('a gateway without answers starts from what others have learned', () => {
  const [holder, informed, fresh] = ['g0', 'g1', 'g2'].map(createGateway) as [
    TestGateway,
    TestGateway,
    TestGateway,
  ];
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  recordAnswers(informed, 60);
  exchange(informed, aggregator, 100);
  exchange(fresh, aggregator, 100);
  assert.ok(latencyRatio(fresh, 'slow', 100) > 1.1, `${latencyRatio(fresh, 'slow', 100)}`);
  assert.ok(latencyRatio(fresh, 'quick', 100) < 0.9, `${latencyRatio(fresh, 'quick', 100)}`);
});

// Guards against a gateway that receives its own figures back from the holder and takes them for those of others.
test('reports of a gateway do not come back to it as remote ones', () => {
  const holder = createGateway('g0');
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  const alone = createGateway('g1');
  recordAnswers(alone, 10);
  const before = latencyRatio(alone, 'slow', 150);
  for (let nowMs = 150; nowMs < 2_000; nowMs += PERIOD_MS) exchange(alone, aggregator, nowMs);
  assert.ok(before > 1.1 && Math.abs(latencyRatio(alone, 'slow', 150) - before) < 0.01);
});

test('only changes are sent, and no more of them than a message holds', () => {
  const holder = createGateway('g0');
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  const requester = createGateway('g1');
  const ids = Array.from({ length: 30 }, (_, index) => `u${index}`);
  ids.forEach((id) => {
    for (let count = 0; count < 20; count += 1)
      requester.states.recordFirstChunk(id, 100, 100, count);
  });
  const first = exchange(requester, aggregator, 100);
  assert.is(first.asked.length, speedSharing.MAX_SPEEDS_PER_MESSAGE);
  assert.is(first.answered.length, speedSharing.MAX_SPEEDS_PER_MESSAGE);
  for (let nowMs = 350; nowMs < 1_100; nowMs += PERIOD_MS) exchange(requester, aggregator, nowMs);
  const last = exchange(requester, aggregator, 1_200);
  assert.equal(last, { asked: [], answered: [] });
  const other = createGateway('g2');
  for (let nowMs = 1_200; nowMs < 2_000; nowMs += PERIOD_MS) exchange(other, aggregator, nowMs);
  assert.equal(exchange(other, aggregator, 2_000).answered, []);
});

// Guards against reports that are lost for good when the holder changes.
test('a new holder receives everything, and passes on its own changes', () => {
  const [first, second, requester, fresh] = ['g0', 'g1', 'g2', 'g3'].map(createGateway) as [
    TestGateway,
    TestGateway,
    TestGateway,
    TestGateway,
  ];
  const aggregator = speedSharing.createSpeedAggregator(first.states, 1);
  recordAnswers(requester, 60);
  exchange(requester, aggregator, 100);
  const next = speedSharing.createSpeedAggregator(second.states, 2);
  exchange(requester, next, 400);
  exchange(requester, next, 650);
  exchange(fresh, next, 700);
  assert.ok(latencyRatio(fresh, 'slow', 700) > 1.1);
});

// Guards against remote ratios that are dropped at once, or kept for good, when the holder no longer answers.
test('while the holder is silent remote ratios decay', () => {
  const [holder, informed, fresh] = ['g0', 'g1', 'g2'].map(createGateway) as [
    TestGateway,
    TestGateway,
    TestGateway,
  ];
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  recordAnswers(informed, 60);
  exchange(informed, aggregator, 100);
  exchange(fresh, aggregator, 100);
  // What a request without a reply carried is sent again with the next.
  recordAnswers(fresh, 40);
  assert.is(fresh.reporter.createRequest(PERIOD_MS, 200).speeds.length, 2);
  assert.is(fresh.reporter.createRequest(PERIOD_MS, 450).speeds.length, 2);
  const late = createGateway('g3');
  exchange(late, aggregator, 500);
  assert.ok(latencyRatio(late, 'slow', 3_000) > 1.1);
  assert.is(latencyRatio(late, 'slow', 300_000), 1);
});

test('the figures of a gateway that has gone are dropped', () => {
  const [holder, stopped, fresh] = ['g0', 'g1', 'g2'].map(createGateway) as [
    TestGateway,
    TestGateway,
    TestGateway,
  ];
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  recordAnswers(stopped, 60);
  exchange(stopped, aggregator, 100);
  exchange(fresh, aggregator, 12_000);
  assert.is(latencyRatio(fresh, 'slow', 12_000), 1);
});

// Guards against a slowdown that is over when its report arrives and makes others avoid a healthy upstream.
test('slowdowns are reported while they are recent, and so is the return to the baseline', () => {
  const [holder, observer, remote] = ['g0', 'g1', 'g2'].map(createGateway) as [
    TestGateway,
    TestGateway,
    TestGateway,
  ];
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  exchange(remote, aggregator, 900);
  observer.states.applyLoadSignal('u1', loadSignal(2.5), 950, 950);
  exchange(observer, aggregator, 1_000);
  exchange(remote, aggregator, 1_100);
  assert.ok(remote.states.state('u1', 1_100).transientFactor > 2);
  assert.is(remote.states.state('u1', 1_100).transientAgeMs, 150);
  observer.states.applyLoadSignal('u1', loadSignal(1), 1_200, 1_200);
  exchange(observer, aggregator, 1_250);
  exchange(remote, aggregator, 1_350);
  assert.is(remote.states.state('u1', 1_350).transientFactor, 1);
  observer.states.applyLoadSignal('u1', loadSignal(2.5), 1_400, 1_400);
  exchange(observer, aggregator, 1_700);
  exchange(remote, aggregator, 1_750);
  assert.is(remote.states.state('u1', 1_750).transientFactor, 1, 'too old when it could be sent');
});

test('gateways with long exchange intervals report no slowdowns', () => {
  const holder = createGateway('g0');
  const aggregator = speedSharing.createSpeedAggregator(holder.states, 1);
  const requester = createGateway('g1');
  requester.states.applyLoadSignal('u1', loadSignal(2.5), 950, 950);
  assert.equal(exchange(requester, aggregator, 1_000, 500).asked, []);
});

test('invalid figures from a peer are ignored or clamped', () => {
  const { states } = createGateway('g1');
  states.applyRemoteLatencyRatio('u1', { latencyRatioLog: 50, answerCount: 1e9 }, 0);
  assert.ok(states.state('u1', 0).latencyRatio <= 3);
  states.applyRemoteLatencyRatio('u2', { latencyRatioLog: NaN, answerCount: 5 }, 0);
  assert.is(states.state('u2', 0).latencyRatio, 1);
  states.applyRemoteSlowdown('u3', -3, 0, 10);
  states.applyRemoteSlowdown('u3', 2.5, 500, 10);
  assert.is(states.state('u3', 10).transientFactor, 1);
});

test.run();
