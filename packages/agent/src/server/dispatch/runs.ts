/** Runs one attempt on the upstream, from its call to the closing part of its answer. */
import type { serviceTimes } from '@copperlever/decisions';
import type { agent } from '@copperlever/protocol';
import { clocks, type daemonHolds, type metrics } from '@copperlever/runtime';

import type * as answers from '../../types/answers.js';
import type * as upstreams from '../../types/upstreams.js';
import type * as copies from '../copies/types.js';
import type * as lossJudges from './loss-judge.js';
import type * as types from './types.js';

export type RunsDeps = {
  clock: clocks.Clock;
  metrics: Pick<metrics.Metrics, 'count' | 'timing'>;
  times: serviceTimes.ServiceTimeEstimator;
  upstream: upstreams.UpstreamPort;
  copies: Pick<copies.Copies, 'noteMissing' | 'engineIncarnation'>;
  lossJudge: lossJudges.LossJudge;
  holds: Pick<daemonHolds.DaemonHolds, 'answers' | 'noteClosed'>;
};

export type Runs = {
  /** The closing part of the answer; all others go to the attempt's log. */
  run: (attempt: types.Attempt) => Promise<answers.ClosingPart>;
};

/** An engine that answers at all answers within a few tokens' time. */
const SILENT_AFTER_DATA_MS = 10_000;
/** Before the first byte a long prompt, or a whole answer that is not streamed, takes its time. */
const SILENT_BEFORE_DATA_MS = 30_000;
const SILENT_BEFORE_DATA_FACTOR = 4;
/**
 * After a pause of this process its timers run before it reads what has arrived meanwhile: a part that
 * comes within this time was not late.
 */
const CONFIRM_SILENCE_MS = 1_000;
/** What a reader may be behind before the upstream is slowed down. */
const UNREAD_LIMIT_BYTES = 256 * 1024;
/** Kept whole until its entry has it; a chat answer is a hundredth of this. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** What a part takes beside its bytes; the sum would not bound an answer in pieces of one byte. */
const PART_OVERHEAD_BYTES = 256;
/** With what its parts take, of 8 KB or more each. */
export const MAX_ANSWER_ROOM_BYTES = MAX_ANSWER_BYTES + 512 * 1024;
/** When an agent cannot say when it will be better, callers come back after this. */
const DEFAULT_RETRY_MS = 1_000;
const NOT_FOUND_STATUS = 404;

type Progress = { firstDataAtMs: number | null; chunkCount: number };

function toCall(request: agent.DispatchRequest): upstreams.UpstreamCall {
  return {
    requestId: request.requestId,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    priority: request.priorityClass,
  };
}

export function createRuns(deps: RunsDeps): Runs {
  const { clock, times } = deps;

  function observeServiceTime(attempt: types.Attempt, progress: Progress): void {
    const { target, promptTokens, outputTokens } = attempt.request;
    const { firstDataAtMs, chunkCount } = progress;
    const { startedAtMs } = attempt;
    if (startedAtMs === null || firstDataAtMs === null) return;
    const tookMs = clock.nowMs() - startedAtMs;
    deps.metrics.timing('agent.service_ms', tookMs);
    if (chunkCount > 1) {
      times.observe(target, {
        prefillMsPerToken: (firstDataAtMs - startedAtMs) / Math.max(1, promptTokens),
        decodeMsPerToken: (clock.nowMs() - firstDataAtMs) / Math.max(1, outputTokens),
      });
      return;
    }
    // An answer in one piece does not tell prefill from decode: both are scaled alike.
    const ratio = tookMs / Math.max(1, times.expectedMs({ target, promptTokens, outputTokens }));
    times.observe(target, {
      prefillMsPerToken: ratio * times.longestMs({ target, promptTokens: 1, outputTokens: 0 }),
      decodeMsPerToken: ratio * times.longestMs({ target, promptTokens: 0, outputTokens: 1 }),
    });
  }

  function refused(detail: string): answers.ClosingPart {
    const retryAtMs = clock.nowMs() + DEFAULT_RETRY_MS;
    return { kind: 'refused', cause: 'upstream-unreachable', retryAtMs, detail };
  }

  function failed(cause: types.AbortCause, detail: string): answers.ClosingPart {
    return { kind: 'failed', cause, detail, upstreamCrashed: false };
  }

  /** An engine answers 404 for a model that it does not hold; a plain service means its own thing. */
  function isMissingCopy(status: number): boolean {
    return deps.copies.noteMissing !== undefined && status === NOT_FOUND_STATUS;
  }

  function silentAfterMs(attempt: types.Attempt, progress: Progress): number {
    if (progress.firstDataAtMs !== null) return SILENT_AFTER_DATA_MS;
    const expectedMs = times.longestMs(attempt.request);
    return Math.max(SILENT_BEFORE_DATA_MS, SILENT_BEFORE_DATA_FACTOR * expectedMs);
  }

  async function afterBreak(
    attempt: types.Attempt,
    detail: string,
    startedOn: number | null,
  ): Promise<answers.ClosingPart> {
    const { signal } = attempt.abort;
    if (signal.aborted) return failed(signal.reason as types.AbortCause, detail);
    const upstreamCrashed = await deps.lossJudge.didCrash(startedOn);
    return { kind: 'failed', cause: 'upstream-broken', detail, upstreamCrashed };
  }

  /** The upstream has run it: this is never told as a refusal. Aborting closes the connection. */
  function closeTooLong(
    attempt: types.Attempt,
    sizeBytes: number,
    bound: 'each' | 'sum',
  ): answers.ClosingPart {
    const boundBytes = bound === 'each' ? MAX_ANSWER_BYTES : deps.holds.answers.maxBytes;
    const { requestId } = attempt.request;
    attempt.abort.abort('answer-too-large');
    deps.holds.noteClosed({ reader: 'upstream-answer', requestId, sizeBytes, bound, boundBytes });
    const of = bound === 'each' ? '' : ' of all answers';
    return failed('answer-too-large', `more than ${boundBytes} bytes${of}`);
  }

  /** Takes a chunk and waits until its reader has caught up; a closing part when it is too much. */
  async function takeData(
    attempt: types.Attempt,
    progress: Progress,
    data: Buffer,
  ): Promise<answers.ClosingPart | null> {
    const { log, abort, request } = attempt;
    progress.firstDataAtMs ??= clock.nowMs();
    progress.chunkCount += 1;
    const sizeBytes = log.sizeBytes() + data.length;
    if (sizeBytes > MAX_ANSWER_BYTES) return closeTooLong(attempt, sizeBytes, 'each');
    if (!(await attempt.room.take(data.length + PART_OVERHEAD_BYTES, abort.signal))) {
      if (!abort.signal.aborted) return closeTooLong(attempt, sizeBytes, 'sum');
      return failed(abort.signal.reason as types.AbortCause, 'while it waited for room');
    }
    log.append({ kind: 'chunk', offsetBytes: log.sizeBytes(), data });
    // Its outcome has to get known even if nobody reads, so it never waits for a reader.
    if (!request.nonIdempotent) await log.untilRoom(UNREAD_LIMIT_BYTES, abort.signal);
    return null;
  }

  /**
   * Failure: the upstream, or something between, goes silent for good and the connection stays open.
   * Symptom: the slot is held and the caller waits out its whole deadline. Enough, because each wait
   * for a part is bounded.
   */
  async function nextPart(
    iterator: AsyncIterator<upstreams.UpstreamPart>,
    limitMs: number,
  ): Promise<upstreams.UpstreamPart | 'silent'> {
    const next = iterator.next();
    const inTime = await clocks.raceDeadline(clock, clock.nowMs() + limitMs, next);
    const confirmAtMs = clock.nowMs() + CONFIRM_SILENCE_MS;
    const step =
      inTime === 'deadline' ? await clocks.raceDeadline(clock, confirmAtMs, next) : inTime;
    if (step === 'deadline') return 'silent';
    if (step.done !== true) return step.value;
    return { kind: 'broken', detail: 'the upstream ended without a last part' };
  }

  async function run(attempt: types.Attempt): Promise<answers.ClosingPart> {
    const { abort, log, request } = attempt;
    const startedOn = deps.copies.engineIncarnation?.() ?? null;
    const progress: Progress = { firstDataAtMs: null, chunkCount: 0 };
    const parts = deps.upstream.run(toCall(request), abort.signal);
    const iterator = parts[Symbol.asyncIterator]();
    for (;;) {
      const part = await nextPart(iterator, silentAfterMs(attempt, progress));
      if (part === 'silent') {
        abort.abort('upstream-silent');
        return failed('upstream-silent', 'no byte for too long');
      }
      switch (part.kind) {
        case 'head':
          if (isMissingCopy(part.status)) {
            // The engine restarted since its last report and has run nothing, so another may.
            deps.copies.noteMissing?.(request.target);
            abort.abort('cancelled');
            return refused('the engine lost its copy');
          }
          log.append(part);
          break;
        case 'data': {
          const closing = await takeData(attempt, progress, part.data);
          if (closing !== null) return closing;
          break;
        }
        case 'end':
          observeServiceTime(attempt, progress);
          return { kind: 'end', sizeBytes: log.sizeBytes() };
        case 'not-sent':
          return refused(part.detail);
        case 'broken':
          return afterBreak(attempt, part.detail, startedOn);
      }
    }
  }

  return { run };
}
