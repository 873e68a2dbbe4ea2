/** One or more entries in memory, with scripted agents, a store that can be down, and a fake clock. */
import { schema } from '@copperlever/configuration';
import { claims as claimsModule, memoryStore } from '@copperlever/coordination';
import type * as claimTypes from '@copperlever/coordination/claims/types';
import type * as membership from '@copperlever/coordination/membership/types';
import { longestTimes } from '@copperlever/decisions';
import { attributes } from '@copperlever/protocol';
import { logs, metrics, randoms, results } from '@copperlever/runtime';
import * as fakeClock from '@copperlever/runtime/testing/fake-clock';

import * as openCalls from '../server/requests/open-calls.js';
import * as plannedStops from '../server/requests/planned-stop.js';
import * as serving from '../server/requests/serve.js';
import * as settlementsModule from '../server/requests/settlements.js';
import * as directories from '../shared/agent-directory.js';
import * as retryBudgets from '../shared/retry-budget.js';
import * as suspectsModule from '../shared/suspects.js';
import type * as calls from '../types/calls.js';
import * as fakeAgents from './fake-agents.js';

const INCARNATION = 7;

const document = schema.documentSchema.parse({
  upstreams: Object.fromEntries(
    ['a', 'b', 'c'].map((name) => [
      `desk-${name}`,
      { kind: 'service', pool: 'desk', failureDomain: 'd', region: 'r', slotCount: 1 },
    ]),
  ),
  services: { entries: { pool: 'desk' } },
});

function memberAt(upstreamId: string): membership.Member {
  const said = attributes.DaemonAttributes.fromPartial({
    role: attributes.DaemonRole.DAEMON_ROLE_AGENT,
    upstreamId,
    readyTargets: ['entries'],
  });
  return {
    memberId: upstreamId,
    incarnation: INCARNATION,
    revision: 1,
    status: 'alive',
    address: `${upstreamId}:1`,
    region: 'r',
    failureDomain: 'd',
    attributes: Buffer.from(attributes.DaemonAttributes.encode(said).finish()),
  };
}

/** A sink that keeps the body; `isStreamed` tells whether its first byte counts as begun. */
export function createSink(isStreamed = false) {
  const parts: Buffer[] = [];
  const sink: calls.AnswerSink = {
    head: () => {},
    chunk: async (data) => {
      parts.push(data);
    },
    hasBegun: () => isStreamed && parts.length > 0,
  };
  return { sink, text: () => Buffer.concat(parts).toString() };
}

export type RigOptions = { agentCount?: number; retryBudget?: retryBudgets.RetryBudget };

export function createRig(options: RigOptions = {}) {
  const clock = fakeClock.createFakeClock();
  const agents = fakeAgents.createFakeAgents();
  const members = ['desk-a', 'desk-b', 'desk-c'].slice(0, options.agentCount ?? 2).map(memberAt);
  const store = memoryStore.createMemoryStore(clock);
  const notices = new Map<string, membership.Notice>();
  const state = { storeIsDown: false };
  const reported: string[] = [];
  const events: string[] = [];

  const claimStore: claimTypes.ClaimStore = {
    get: (key, deadlineMs) => (state.storeIsDown ? unavailable() : store.get(key, deadlineMs)),
    put: (key, value, condition, deadlineMs) =>
      state.storeIsDown ? unavailable() : store.put(key, value, condition, deadlineMs),
  };

  async function unavailable() {
    const retryAtMs = clock.nowMs() + 3_000;
    return results.Err({ kind: 'unavailable', retryAtMs, reason: 'down' } as const);
  }

  let entryCount = 0;

  function createEntry(entryId: string) {
    entryCount += 1;
    const log = logs.createSilentLogger();
    const silent = metrics.createSilentMetrics();
    const random = randoms.createRandom(entryCount);
    const claims = claimsModule.createClaims({ store: claimStore, clock, random });
    const settlements = settlementsModule.createSettlements({
      clock,
      claims,
      log,
      metrics: silent,
    });
    const stop = plannedStops.createPlannedStop(clock, longestTimes.createLongestTimes());
    const serve = serving.createServe({
      clock,
      random,
      log,
      metrics: silent,
      journal: {
        record: (_requestId, event) => events.push(event),
        flush: async () => {},
        droppedCount: () => 0,
        start: () => {},
        stop: async () => {},
      },
      link: agents.link,
      directory: directories.createAgentDirectory({
        members: () => members,
        nowMs: clock.nowMs,
        onUnreadable: () => {},
      }),
      claims,
      settlements,
      suspects: suspectsModule.createSuspects({
        clock,
        notices: {
          publish: (notice) => void notices.set(`${notice.topic}/${notice.key}`, notice),
          has: (topic, key) => (notices.get(`${topic}/${key}`)?.expiresAtMs ?? 0) > clock.nowMs(),
          list: (topic) => [...notices.values()].filter((notice) => notice.topic === topic),
        },
      }),
      retryBudget: options.retryBudget ?? retryBudgets.createRetryBudget(0),
      reportUnreachable: (agentId) => reported.push(agentId),
      configuration: () => ({ version: 1, document }),
      calls: openCalls.createOpenCalls(clock, log),
      stop,
      entryId,
      region: 'r',
    });
    return { serve, settlements, stop };
  }

  return { clock, agents, members, state, reported, events, store, createEntry };
}

export type Rig = ReturnType<typeof createRig>;

export function createCall(fields: Partial<calls.Call> = {}): calls.Call {
  return {
    requestId: 'r-1',
    target: { kind: 'service', name: 'entries', pool: 'desk' },
    method: 'POST',
    path: '/entries',
    headers: [],
    body: Buffer.from('boat 7'),
    priorityClass: 'standard',
    callerGroup: 'club-a',
    deadlineMs: 10_000,
    idempotencyKey: null,
    promptTokens: 0,
    outputTokens: 0,
    prefixKey: '',
    fingerprint: 'f-1',
    ...fields,
  };
}

/** Moves time on until `work` is done, at most `limitMs`. */
export async function settle<Value>(
  rig: Rig,
  work: Promise<Value>,
  limitMs = 30_000,
): Promise<Value> {
  const state: { value?: Value; isDone: boolean } = { isDone: false };
  void work.then((value) => {
    state.value = value;
    state.isDone = true;
  });
  await rig.clock.settle();
  for (let waitedMs = 0; !state.isDone && waitedMs < limitMs; waitedMs += 10) {
    await rig.clock.advance(10);
  }
  if (!state.isDone) throw new Error(`not done after ${limitMs} ms`);
  return state.value as Value;
}
