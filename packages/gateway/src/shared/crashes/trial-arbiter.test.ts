import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as crashEvidence from './crash-evidence.js';
import * as trialArbiters from './trial-arbiter.js';

const test = suite('trial arbiter');

const BAD = 'request:bad';
const SOUND = 'request:sound';

/** Two requests were beside the end of `u1` at 0. */
function createFixture() {
  const evidence = crashEvidence.createCrashEvidence();
  evidence.add({ upstreamId: 'u1', atMs: 0, suspects: [[BAD], [SOUND]] });
  const arbiter = trialArbiters.createTrialArbiter(evidence, () => []);
  const ask = (trait: string, upstreamId: string, otherIds: readonly string[], nowMs: number) => {
    const question = { trait, upstreamId, otherIds };
    return arbiter.ask({ ...question, crashCount: 1, untilMs: nowMs + 1_000 }, nowMs).kind;
  };
  return { evidence, arbiter, ask };
}

// Guards against a bad request and a sound one at one upstream, whose end would then speak against both.
test('a suspect is sent to an upstream where no other one is tried', () => {
  const { ask, arbiter } = createFixture();
  assert.is(ask(BAD, 'u2', ['u3', 'u4'], 100), 'alone');
  assert.is(ask(SOUND, 'u2', ['u3', 'u4'], 101), 'busy');
  assert.is(ask(SOUND, 'u3', ['u2', 'u4'], 102), 'alone');
  arbiter.ended({ trait: BAD, upstreamId: 'u2', outcome: 'crashed' }, 110);
  assert.is(arbiter.traitAt('u2'), undefined);
  assert.is(arbiter.traitAt('u3'), SOUND);
});

// Guards against one request at two upstreams at a time, sent by two gateways.
test('a suspect is tried once at a time, and again only when the reports of its end are there', () => {
  const { ask, arbiter } = createFixture();
  assert.is(ask(BAD, 'u2', ['u3', 'u4'], 100), 'alone');
  assert.is(ask(BAD, 'u3', ['u2', 'u4'], 101), 'busy');
  arbiter.ended({ trait: BAD, upstreamId: 'u2', outcome: 'crashed' }, 110);
  assert.is(ask(BAD, 'u3', ['u4'], 120), 'busy');
  assert.is(ask(BAD, 'u3', ['u4'], 110 + trialArbiters.POOLED_AFTER_MS), 'alone');
});

// Guards against a service without any upstream that is up.
test('a suspect is not sent to the last upstream that is up, unless there is no other for long', () => {
  const { ask } = createFixture();
  assert.is(ask(BAD, 'u2', ['u1'], 100), 'last-up');
  assert.is(ask(BAD, 'u2', ['u1', 'u3'], 101), 'alone');
  assert.is(ask(SOUND, 'u3', ['u1', 'u2'], 102), 'last-up');
  assert.is(ask(SOUND, 'u3', [], 20_000), 'alone');
});

// Guards against trials that are not counted since the gateway that made them has ended.
test('a trial of which nothing is heard counts as an end', () => {
  const { ask, evidence } = createFixture();
  assert.is(ask(BAD, 'u2', ['u3', 'u4'], 100), 'alone');
  assert.is(ask(SOUND, 'u2', ['u3', 'u4'], 3_000), 'alone');
  assert.is(evidence.endCount(BAD), 2);
});

// Guards against one request that counts as two suspects of its end, the second without the parts that it has.
test('the end of a trial that was reported is not added once more', () => {
  const evidence = crashEvidence.createCrashEvidence();
  evidence.add({ upstreamId: 'u2', atMs: 0, suspects: [[BAD, 'part:x']], trialTrait: BAD });
  const added: string[] = [];
  const add = (crash: crashEvidence.Crash) => {
    added.push(crash.upstreamId);
    return evidence.add(crash);
  };
  const arbiter = trialArbiters.createTrialArbiter({ ...evidence, add }, () => []);
  arbiter.ended({ trait: BAD, upstreamId: 'u2', outcome: 'crashed' }, 10);
  arbiter.ended({ trait: BAD, upstreamId: 'u3', outcome: 'crashed' }, 20);
  assert.equal(added, ['u3']);
});

// Guards against requests that wait for a trial after one of them was answered.
test('a request that was sound since is free', () => {
  const { ask, evidence } = createFixture();
  evidence.noteSound(SOUND, 50);
  assert.is(ask(SOUND, 'u2', ['u3'], 100), 'free');
});

test.run();
