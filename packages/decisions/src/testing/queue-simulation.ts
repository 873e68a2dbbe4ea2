/** Simulates a real queue on a virtual clock and records the answer to each request. */
import * as queues from '../queues.js';
import type * as types from '../types.js';

export type Arrival = types.WorkItem & {
  /** The actual service time; the queue expects `expectedMs`. */
  serviceMs: number;
  expectedMs: number;
};

export type Answer =
  | { kind: 'served'; startedAtMs: number; doneAtMs: number; inTime: boolean }
  | { kind: 'refused'; cause: types.RefusalCause; retryAtMs: number }
  | { kind: 'given-up'; atMs: number };

export type SimulationResult = { answers: Map<string, Answer>; maxRunning: number };

let nextId = 0;

/** A request that needs its answer within `withinMs` and takes `serviceMs`. */
export function arrival(
  atMs: number,
  withinMs: number,
  serviceMs: number,
  fields: Partial<Arrival> = {},
): Arrival {
  nextId += 1;
  return {
    id: `work-${nextId}`,
    target: 'draws',
    priorityClass: 'critical',
    callerGroup: 'club-1',
    arrivedAtMs: atMs,
    deadlineMs: atMs + withinMs,
    promptTokens: 0,
    outputTokens: 0,
    serviceMs,
    expectedMs: serviceMs,
    ...fields,
  };
}

/** Creates `count` requests, one every `everyMs`. */
export function stream(
  count: number,
  everyMs: number,
  create: (atMs: number, index: number) => Arrival,
): Arrival[] {
  return Array.from({ length: count }, (_, index) => create(index * everyMs, index));
}

export function simulate(
  slotCount: number,
  arrivals: readonly Arrival[],
  limits: Partial<queues.QueueLimits> = {},
): SimulationResult {
  const known = new Map(arrivals.map((item) => [item.id, item]));
  const expectedMs = (item: unknown) => (item as Arrival).expectedMs;
  const queue = queues.createWorkQueue({ slotCount, maxWaiting: 500, ...limits }, { expectedMs });
  const answers = new Map<string, Answer>();
  const pending = [...arrivals].sort((left, right) => left.arrivedAtMs - right.arrivedAtMs);
  let running: { id: string; startedAtMs: number; doneAtMs: number }[] = [];
  let maxRunning = 0;

  function startAll(nowMs: number): void {
    queue.takeExpired(nowMs).forEach(({ id }) => {
      answers.set(id, { kind: 'given-up', atMs: nowMs });
    });
    for (let item = queue.startNext(nowMs); item !== null; item = queue.startNext(nowMs)) {
      const doneAtMs = nowMs + (known.get(item.id) as Arrival).serviceMs;
      running.push({ id: item.id, startedAtMs: nowMs, doneAtMs });
    }
    maxRunning = Math.max(maxRunning, queue.runningCount());
  }

  function finishFirst(): void {
    running.sort((left, right) => left.doneAtMs - right.doneAtMs);
    const [done, ...rest] = running as [(typeof running)[number], ...typeof running];
    running = rest;
    const inTime = done.doneAtMs <= (known.get(done.id) as Arrival).deadlineMs;
    const { startedAtMs, doneAtMs } = done;
    answers.set(done.id, { kind: 'served', startedAtMs, doneAtMs, inTime });
    queue.finish(done.id, doneAtMs);
    startAll(doneAtMs);
  }

  while (pending.length > 0 || running.length > 0) {
    const next = pending[0];
    const doneFirstAtMs = Math.min(...running.map((entry) => entry.doneAtMs));
    if (next === undefined || doneFirstAtMs <= next.arrivedAtMs) {
      finishFirst();
      continue;
    }
    pending.shift();
    const decision = queue.admit(next, next.arrivedAtMs);
    if (decision.kind === 'refuse') {
      const { cause, retryAtMs } = decision;
      answers.set(next.id, { kind: 'refused', cause, retryAtMs });
    }
    startAll(next.arrivedAtMs);
  }
  return { answers, maxRunning };
}

/** Number of `arrivals` that were answered within their deadlines. */
export function countInTime(result: SimulationResult, arrivals: readonly Arrival[]): number {
  return arrivals.filter(({ id }) => {
    const answer = result.answers.get(id);
    return answer?.kind === 'served' && answer.inTime;
  }).length;
}

export function listAnswers<Kind extends Answer['kind']>(
  result: SimulationResult,
  arrivals: readonly Arrival[],
  kind: Kind,
): Extract<Answer, { kind: Kind }>[] {
  return arrivals
    .map(({ id }) => result.answers.get(id))
    .filter((answer): answer is Extract<Answer, { kind: Kind }> => answer?.kind === kind);
}
