/** Upstreams in process: a model engine and a plain service that count what ran. */
import type * as upstreamTypes from '@copperlever/agent/types/upstreams';
import { clocks, results } from '@copperlever/runtime';
import { completions, engineState } from '@copperlever/stand-ins';

import type * as processes from './processes.js';

/** One run of a request, whoever sent it. */
export type Run = {
  requestId: string;
  body: string;
  isSubmission: boolean;
  startedAtMs: number;
  outcome: 'running' | 'completed' | 'cut-off' | 'cancelled';
};

export type OrderFate = { delaysMs: readonly number[]; answers: boolean };

export type OrderStage = 'sent' | 'taken' | 'loaded';

export type FakeUpstream = {
  name: string;
  runs: Run[];
  state: engineState.EngineState;
  /** The upstream as the agent in `process` reaches it. */
  portFor: (process: processes.FakeProcess) => upstreamTypes.EnginePort & {
    close: () => Promise<void>;
  };
  /** Loses its memory and what runs; a new process answers soon after. */
  crash: () => void;
  crashCount: () => number;
  /** The next run is done, and its answer is lost. */
  losesNextAnswer: (loses: boolean) => void;
  setChecksFencing: (checks: boolean) => void;
  /** What happens to the next orders. */
  setOrderFate: (fate: ((order: upstreamTypes.NumberedOrder) => OrderFate | null) | null) => void;
  /** Told of each order as it is sent, as it takes effect, and of each copy that gets ready. */
  onOrder: (listener: (stage: OrderStage, order: upstreamTypes.NumberedOrder) => void) => void;
};

/** A body with one of these words crashes every engine that runs it, at that point of the run. */
export const POISONS = {
  started: 'poison-at-start',
  streaming: 'poison-while-streaming',
  finished: 'poison-at-end',
} as const;

const RESTART_MS = 200;
const LOAD_MS = 300;
const TOKEN_GAP_MS = 20;
const FIRST_DATA_MS = 40;
const SERVICE_WORK_MS = 100;
const ORDER_LATENCY_MS = 1;

export function submissionAnswer(body: string): string {
  return JSON.stringify({ accepted: body });
}

/** The bytes of a streamed chat completion. */
export function chatAnswer(requestId: string, body: string): string {
  const chat = JSON.parse(body) as completions.ChatBody;
  const tokens = completions.tokensOf(chat);
  const events = tokens.map((token, index) =>
    completions.chunkEvent(requestId, chat.model, token, index === tokens.length - 1),
  );
  return events.join('') + completions.LAST_EVENT;
}

export function createUpstream(
  name: string,
  clock: clocks.Clock,
  memoryBytes: number,
): FakeUpstream {
  const state = engineState.createEngineState(memoryBytes, 1);
  const runs: Run[] = [];
  const orderListeners: ((stage: OrderStage, order: upstreamTypes.NumberedOrder) => void)[] = [];
  let checksFencing = true;
  let epoch = 1;
  let isDown = false;
  let losesAnswer = false;
  let fateOf: ((order: upstreamTypes.NumberedOrder) => OrderFate | null) | null = null;

  function crash(): void {
    epoch += 1;
    isDown = true;
    state.crash();
    clock.schedule(clock.nowMs() + RESTART_MS, () => {
      isDown = false;
    });
  }

  function piecesOf(call: upstreamTypes.UpstreamCall, isSubmission: boolean): string[] {
    const body = call.body.toString();
    if (isSubmission) return [submissionAnswer(body)];
    return chatAnswer(call.requestId, body).split(/(?<=\n\n)/);
  }

  async function* run(
    call: upstreamTypes.UpstreamCall,
    signal: AbortSignal,
  ): AsyncGenerator<upstreamTypes.UpstreamPart> {
    const isSubmission = call.path.startsWith('/submissions');
    const body = call.body.toString();
    if (isDown) {
      yield { kind: 'not-sent', detail: 'ECONNREFUSED' };
      return;
    }
    if (
      !isSubmission &&
      state.findReady((JSON.parse(body) as { model: string }).model) === undefined
    ) {
      yield { kind: 'head', status: 404, headers: [] };
      yield { kind: 'end' };
      return;
    }
    const entry: Run = {
      requestId: call.requestId,
      body,
      isSubmission,
      startedAtMs: clock.nowMs(),
      outcome: 'running',
    };
    runs.push(entry);
    const startedEpoch = epoch;
    if (body.includes(POISONS.started)) crash();
    await clocks.sleepUntil(
      clock,
      clock.nowMs() + (isSubmission ? SERVICE_WORK_MS : FIRST_DATA_MS),
    );
    // A submission counts once its work is done, whether or not its answer finds a reader.
    if (isSubmission && startedEpoch === epoch) entry.outcome = 'completed';
    if (losesAnswer) {
      losesAnswer = false;
      yield { kind: 'broken', detail: 'ECONNRESET' };
      return;
    }
    if (startedEpoch === epoch)
      yield { kind: 'head', status: isSubmission ? 201 : 200, headers: [] };
    const pieces = piecesOf(call, isSubmission);
    for (const [index, piece] of pieces.entries()) {
      if (index === 1 && body.includes(POISONS.streaming)) crash();
      if (index === pieces.length - 1 && body.includes(POISONS.finished)) crash();
      if (startedEpoch !== epoch || signal.aborted) {
        if (entry.outcome === 'running') {
          entry.outcome = startedEpoch !== epoch ? 'cut-off' : 'cancelled';
        }
        yield { kind: 'broken', detail: 'ECONNRESET' };
        return;
      }
      yield { kind: 'data', data: Buffer.from(piece) };
      if (!isSubmission) await clocks.sleepUntil(clock, clock.nowMs() + TOKEN_GAP_MS);
    }
    if (entry.outcome === 'running') entry.outcome = 'completed';
    yield { kind: 'end' };
  }

  /** Parts reach the agent's process only while it runs. */
  async function* runFor(
    process: processes.FakeProcess,
    call: upstreamTypes.UpstreamCall,
    signal: AbortSignal,
  ): AsyncGenerator<upstreamTypes.UpstreamPart> {
    const parts = run(call, signal);
    for (;;) {
      const step = await process.settleHere(parts.next());
      if (step.done === true) return;
      yield step.value;
    }
  }

  function tell(stage: OrderStage, order: upstreamTypes.NumberedOrder): void {
    orderListeners.forEach((listener) => listener(stage, order));
  }

  function take(order: upstreamTypes.NumberedOrder): engineState.OrderDecision {
    const verdict = state.take(order, checksFencing);
    if (verdict === 'taken') tell('taken', order);
    if (verdict === 'taken' && order.kind === 'load') {
      const takenEpoch = epoch;
      clock.schedule(clock.nowMs() + LOAD_MS, () => {
        if (takenEpoch !== epoch) return;
        state.markReady(order.name, order.version);
        tell('loaded', order);
      });
    }
    return verdict;
  }

  function toResult(
    verdict: engineState.OrderDecision,
  ): results.Result<void, upstreamTypes.OrderError> {
    return verdict === 'taken' ? results.Ok(undefined) : results.Err({ kind: verdict });
  }

  async function sendOrder(
    order: upstreamTypes.NumberedOrder,
    deadlineMs: number,
  ): Promise<results.Result<void, upstreamTypes.OrderError>> {
    if (isDown) return results.Err({ kind: 'not-sent', detail: 'ECONNREFUSED' });
    tell('sent', order);
    const fate = fateOf?.(order) ?? { delaysMs: [ORDER_LATENCY_MS], answers: true };
    const reply = new Promise<results.Result<void, upstreamTypes.OrderError>>((resolve) => {
      fate.delaysMs.forEach((delayMs) =>
        clock.schedule(clock.nowMs() + delayMs, () => {
          const verdict = isDown ? null : take(order);
          if (fate.answers && verdict !== null) resolve(toResult(verdict));
        }),
      );
    });
    const done = await clocks.raceDeadline(clock, deadlineMs, reply);
    return done === 'deadline'
      ? results.Err({ kind: 'outcome-unknown', detail: 'no answer' })
      : done;
  }

  return {
    name,
    runs,
    state,
    portFor: (process) => ({
      run: (call, signal) => runFor(process, call, signal),
      order: (order, deadlineMs) => process.settleHere(sendOrder(order, deadlineMs)),
      report: (deadlineMs) =>
        process.settleHere(
          clocks
            .sleepUntil(clock, Math.min(deadlineMs, clock.nowMs() + ORDER_LATENCY_MS))
            .then(() =>
              isDown
                ? results.Err({ kind: 'unreachable' as const, detail: 'ECONNREFUSED' })
                : results.Ok(state.report()),
            ),
        ),
      close: () => Promise.resolve(),
    }),
    crash,
    crashCount: () => epoch - 1,
    losesNextAnswer: (loses) => {
      losesAnswer = loses;
    },
    setChecksFencing: (checks) => {
      checksFencing = checks;
    },
    setOrderFate: (fate) => {
      fateOf = fate;
    },
    onOrder: (listener) => {
      orderListeners.push(listener);
    },
  };
}
