/**
 * One attempt of a request at one upstream: sends it, checks the answer and forwards it to the caller. The result states
 * whether the upstream may have run the request, because that decides whether the request may be retried.
 */
import type * as http from 'node:http';

import type { clocks } from '@copperlever/runtime';
import * as answerStatus from '@copperlever/runtime/answer-status';
import type * as undici from 'undici';

import * as connectionHeaders from '../../shared/connection-headers.js';
import * as byteBlocks from '../../shared/byte-blocks.js';
import type * as eventIntervals from '../../shared/event-intervals.js';
import * as eventEnds from '../../shared/event-ends.js';
import * as eventFramer from '../../shared/event-framer.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as logEvents from '../../types/log-events.js';
import type * as answers from './answers.js';
import type * as connectionsModule from './connections.js';
import type * as heldAnswers from './held-answers.js';
import type * as readDelays from './read-delay.js';

export type AttemptDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'error' | 'warn'>;
  dialect: dialects.Dialect;
  loopAges: Pick<readDelays.ReadDelay, 'mayBeStale' | 'readPending' | 'turnMs'>;
  /** A longer event of a resumable stream is none: it would have to be held until its end. */
  eventBytesMax: number;
};

export type AttemptInput = {
  call: calls.Call;
  upstreamName: string;
  connection: connectionsModule.AcquiredConnection;
  sink: answers.AnswerSink;
  /** Counts what is held of answers to the request. */
  holds: Pick<heldAnswers.CallHolds, 'open'>;
  priority: number;
  resumeAfterId: string | null;
  /** Called when a connection is ready to send the request: false if the upstream must receive no new requests by then. */
  mayStart: () => boolean;
  /** Give up if no connection has started to send the request by then. */
  sendByMs: number;
  /** If the head of an answer has not arrived by then, `mayGiveUp` is called, and again after intervals that double. */
  firstByteByMs: number;
  /** Whether to give up now, with the reason `silent`. The attempt goes on meanwhile, and if the answer is false. */
  mayGiveUp: () => Promise<boolean>;
  /** `event`: the first bytes of a stream that is forwarded as it arrives. `whole`: an answer that isn't a stream. */
  onFirstChunk: (chunk: 'event' | 'whole', status: number) => void;
  /** Receives the times of a stream's events, to measure the intervals between them. */
  eventIntervals?: eventIntervals.EventIntervals;
  /** Called when the head of an answer to this request has arrived. */
  onResponseHead: (facts: dialects.AnswerFacts, framing: calls.Framing) => void;
  /** Called when the connection to the upstream has been closed because the caller left. */
  onCancelled: (tookMs: number) => void;
};

/** Answers other than streams are buffered up to this size, so that one that breaks off can still be answered with an error. */
const BUFFERED_BYTES_MAX = 256 * 1024;

const FIRST_FAILURE_STATUS = 500;

/** About a quarter of a typical inter-event interval. Longer turns of this gateway's event loop distort the measured intervals. */
const INTERVAL_TURN_MAX_MS = 10;

class AttemptAborted extends Error {}

export function runAttempt(deps: AttemptDeps, input: AttemptInput): Promise<calls.AttemptResult> {
  const { clock, dialect } = deps;
  const { call, sink } = input;
  const isStream = call.route.kind === 'stream';
  const framer = isStream && call.route.isResumable ? eventFramer.createEventFramer() : null;
  const ends = eventEnds.createEventEnds();

  return new Promise((resolve) => {
    let controller: undici.Dispatcher.DispatchController | null = null;
    let isSettled = false;
    let isSent = false;
    let hasStatus = false;
    let framing: calls.Framing = 'length';
    let bodyBytes: number | null = null;
    let status = 0;
    let headers: dialects.HeaderPair[] = [];
    let facts: dialects.AnswerFacts | null = null;
    const buffered = byteBlocks.createByteBlocks();
    let hold: heldAnswers.Hold | null = null;
    let isForwarding = false;
    let isPaused = false;
    const cancels: clocks.Cancel[] = [];
    const abortBeforeStart = { wanted: false };
    let callerGoneAtMs: number | null = null;

    function settle(result: calls.AttemptResult): void {
      if (isSettled) return;
      isSettled = true;
      cancels.forEach((cancel) => cancel());
      sink.onCallerGone(null);
      // A held failure is kept until its request ends.
      if (result.kind !== 'held-failure') hold?.release();
      resolve(result);
    }

    /** Ends the attempt and closes its connection, so that nothing that still arrives on it reaches a caller. */
    function abandon(result: calls.AttemptResult): void {
      if (isSettled) return;
      settle(result);
      if (controller === null) abortBeforeStart.wanted = true;
      else controller.abort(new AttemptAborted('attempt abandoned'));
    }

    function lost(reason: calls.LossReason): calls.AttemptResult {
      const hasBegun = sink.hasBegun();
      return { kind: 'lost', reason, hasBegun, lastEventId: framer?.lastEventId() ?? null };
    }

    /** Nothing of such an answer is taken, what its head says of the upstream neither. */
    function invalid(cause: Error): calls.AttemptResult {
      const { requestId } = call;
      const { upstreamName } = input;
      deps.log.warn('answer-invalid', { requestId, upstreamName, reason: cause.message });
      return lost('invalid');
    }

    function forward(chunk: Buffer): void {
      if (isSettled) return;
      ends.push(chunk);
      const bytes = framer === null ? chunk : framer.push(chunk);
      if (bytes.length > 0) write(bytes);
      if (framer === null) return;
      holdOf(letGoOfEvent).set(framer.heldBytes());
      if (framer.restBytes() > deps.eventBytesMax) abandon(lost('oversized'));
    }

    function holdOf(letGo: heldAnswers.LetGo): heldAnswers.Hold {
      hold ??= input.holds.open(letGo);
      return hold;
    }

    /** The body of the answer; its head is written if no attempt has written one. */
    function openBody(): answers.AnswerBody {
      const begun = sink.begun();
      if (begun !== null) return begun;
      const body = sink.begin(status, headers, bodyBytes);
      input.onFirstChunk(isStream ? 'event' : 'whole', status);
      return body;
    }

    function write(bytes: Buffer): void {
      const body = openBody();
      if (body.write(bytes) || isPaused) return;
      isPaused = true;
      controller?.pause();
      body.onceDrained(() => {
        isPaused = false;
        input.eventIntervals?.interrupted();
        controller?.resume();
      });
    }

    function startForwarding(): void {
      isForwarding = true;
      hold?.release();
      hold = null;
      buffered.takeAll().forEach(forward);
    }

    const letGoOfEvent: heldAnswers.LetGo = {
      way: 'event-lost',
      run: () => abandon(lost('oversized')),
    };

    /** There is no room to hold the answer until it is whole. Only one that states its length is known to end. */
    function letGoOfAnswer(): heldAnswers.LetGo {
      if (status < FIRST_FAILURE_STATUS) {
        return framing === 'length'
          ? { way: 'passed-on', run: startForwarding }
          : { way: 'closed', run: () => abandon({ kind: 'no-room' }) };
      }
      const answer = headOnly({ status, headers, body: Buffer.alloc(0), statedBytes: 0 });
      const isSigned = facts?.isSigned === true;
      return {
        way: 'head-only',
        run: () => abandon({ kind: 'held-failure', answer, isSigned }),
      };
    }

    /** Checks the head of an answer; null if its body is to be read. */
    function checkHead(headFacts: dialects.AnswerFacts): calls.AttemptResult | null {
      // A late answer to another request may arrive in place of this one's; the request id shows it.
      const isOwn = headFacts.requestId === null || headFacts.requestId === call.requestId;
      if (!isOwn) return lost('garbled');
      input.onResponseHead(headFacts, framing);
      if (headFacts.didNotRun) {
        return { kind: 'rejected', isMisdirected: headFacts.isMisdirected, retryAfterMs: null };
      }
      const isSuccess = status >= 200 && status < 300;
      if (isSuccess && (!headFacts.isSigned || headFacts.requestId === null))
        return lost('garbled');
      if (status < 200 || (status >= 300 && status < 400)) return lost('garbled');
      // Its caller has a part of a success already.
      if (!isSuccess && sink.hasBegun()) return lost('failed');
      return null;
    }

    function finishAnswer(): void {
      if (isSettled) return;
      const connectionEnd = input.connection.end();
      const hasBrokenOff =
        connectionEnd === 'reset' ||
        (connectionEnd === 'closed' && framing === 'chunked') ||
        (isStream && isForwarding && framing === 'until-close' && ends.isInsideEvent());
      if (hasBrokenOff) {
        settle(lost('connection'));
        return;
      }
      if (isForwarding) {
        const rest = framer?.takeRest();
        if (rest !== undefined && rest.length > 0) write(rest);
        openBody().end();
        settle({ kind: 'answered', status });
        return;
      }
      const body = Buffer.concat(buffered.takeAll());
      const statedBytes = hasNoBody(call.method, status) ? bodyBytes : body.length;
      const answer = { status, headers, body, statedBytes };
      if (status >= FIRST_FAILURE_STATUS) {
        hold?.letGoBy({ way: 'head-only', run: () => Object.assign(answer, headOnly(answer)) });
        settle({ kind: 'held-failure', answer, isSigned: facts?.isSigned === true });
        return;
      }
      input.onFirstChunk('whole', status);
      sink.sendWhole(answer);
      settle({ kind: 'answered', status });
    }

    /**
     * Runs `check` once pending data has been read. After a stall of the event loop, timers fire before the sockets are read,
     * and the buffered data may show that the upstream was in time.
     */
    function afterPendingReads(check: () => void): void {
      if (deps.loopAges.mayBeStale()) void deps.loopAges.readPending().then(check);
      else check();
    }

    /** An error is no reason to leave an upstream that may still answer. */
    async function isGivenUp(): Promise<boolean> {
      try {
        return await input.mayGiveUp();
      } catch (cause) {
        deps.log.error('give-up-not-decided', {
          requestId: call.requestId,
          reason: String(cause),
        });
        return false;
      }
    }

    /** The upstream may still answer: it is left only for another attempt that is known to be possible. */
    function leaveOnceSilent(waitMs: number): void {
      const decide = (mayLeave: boolean) => {
        if (isSettled || hasStatus) return;
        if (mayLeave) abandon(lost('silent'));
        else leaveOnceSilent(2 * waitMs);
      };
      const cancel = clock.schedule(clock.nowMs() + waitMs, () => {
        afterPendingReads(() => {
          if (isSettled || hasStatus) return;
          if (!isSent) {
            // Leaving it would spend a retry on what no upstream has received; `sendByMs` bounds the wait for a connection.
            leaveOnceSilent(waitMs);
            return;
          }
          void isGivenUp().then((mayLeave) => afterPendingReads(() => decide(mayLeave)));
        });
      });
      cancels.push(cancel);
    }

    const handler: undici.Dispatcher.DispatchHandler = {
      onRequestStart: (started) => {
        controller = started;
        if (abortBeforeStart.wanted) {
          started.abort(new AttemptAborted('attempt abandoned'));
          return;
        }
        if (!input.mayStart()) {
          abandon({ kind: 'not-sent', reason: 'upstream left' });
          return;
        }
        isSent = true;
      },
      onResponseStart: (_controller, statusCode, responseHeaders) => {
        if (statusCode < 200 || isSettled) return;
        if (!answerStatus.isFinal(statusCode)) {
          abandon(invalid(new answerStatus.InvalidStatusError(statusCode)));
          return;
        }
        hasStatus = true;
        status = statusCode;
        framing = framingOf(call.method, status, responseHeaders);
        // A stream that is resumed elsewhere may become longer or shorter than its first upstream has stated.
        bodyBytes = framing === 'length' && framer === null ? lengthOf(responseHeaders) : null;
        facts = dialect.readAnswer(status, responseHeaders);
        headers = connectionHeaders.forwarded(toPairs(responseHeaders));
        const result = checkHead(facts);
        if (result?.kind === 'lost') {
          abandon(result);
          return;
        }
        if (result !== null) {
          settle(result);
          return;
        }
        if (isStream && status < 300) startForwarding();
      },
      onResponseData: (_controller, chunk) => {
        if (isSettled) return;
        if (isForwarding) {
          if (deps.loopAges.turnMs() > INTERVAL_TURN_MAX_MS) input.eventIntervals?.interrupted();
          input.eventIntervals?.event(clock.nowMs());
          forward(chunk);
          return;
        }
        buffered.push(chunk);
        if (buffered.sizeBytes() > BUFFERED_BYTES_MAX) startForwarding();
        else holdOf(letGoOfAnswer()).set(buffered.heldBytes());
      },
      onResponseEnd: () => {
        if (hasStatus) finishAnswer();
      },
      onResponseError: (_controller, error) => {
        if (callerGoneAtMs !== null) input.onCancelled(clock.nowMs() - callerGoneAtMs);
        if (!isSent) settle({ kind: 'not-sent', reason: error.message });
        else if (!isSettled && answerStatus.isAssertion(error)) settle(invalid(error));
        else settle(lost('connection'));
      },
    };

    cancels.push(
      clock.schedule(input.sendByMs, () => {
        afterPendingReads(() => {
          if (!isSent) abandon({ kind: 'not-sent', reason: 'no connection in time' });
        });
      }),
      clock.schedule(call.deadlineMs, () => {
        if (isSent) abandon({ kind: 'deadline', hasBegun: sink.hasBegun() });
        else abandon({ kind: 'not-sent', reason: 'deadline' });
      }),
    );
    if (input.firstByteByMs < call.deadlineMs) {
      leaveOnceSilent(Math.max(1, input.firstByteByMs - clock.nowMs()));
    }
    sink.onCallerGone(() => {
      callerGoneAtMs = clock.nowMs();
      abandon({ kind: 'caller-gone' });
    });
    if (isSettled) return;

    const attemptHeaders = dialect.attemptHeaders({
      upstreamName: input.upstreamName,
      remainingMs: call.deadlineMs - clock.nowMs(),
      priority: input.priority,
      resumeAfterId: input.resumeAfterId,
      organisation: call.organisation,
    });
    const isResumed = input.resumeAfterId !== null;
    const callerHeaders = isResumed
      ? call.headers.filter(([name]) => name.toLowerCase() !== 'last-event-id')
      : call.headers;
    try {
      input.connection.dispatch(
        {
          method: call.method,
          path: call.path,
          headers: [...callerHeaders, ...attemptHeaders].flat(),
          body: call.body.length === 0 ? null : call.body,
          // Retries are decided by the caller of this function; the HTTP client must not repeat a request by itself.
          idempotent: false,
        },
        handler,
      );
    } catch (cause) {
      settle(isSent ? lost('connection') : { kind: 'not-sent', reason: String(cause) });
    }
  });
}

/** A failure whose body there is no room to keep. An empty body is not encoded. */
function headOnly({ status, headers }: calls.HeldAnswer): calls.HeldAnswer {
  const kept = headers.filter(([name]) => name.toLowerCase() !== 'content-encoding');
  return { status, headers: kept, body: Buffer.alloc(0), statedBytes: 0 };
}

function toPairs(headers: http.IncomingHttpHeaders): dialects.HeaderPair[] {
  return Object.entries(headers).flatMap(([name, value]): dialects.HeaderPair[] => {
    if (value === undefined) return [];
    return Array.isArray(value) ? value.map((item) => [name, item] as const) : [[name, value]];
  });
}

function lengthOf(headers: http.IncomingHttpHeaders): number | null {
  const length = Number(headers['content-length']);
  return Number.isSafeInteger(length) ? length : null;
}

/** By the protocol, such an answer ends with its head, whatever that states. */
function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

function framingOf(
  method: string,
  status: number,
  headers: http.IncomingHttpHeaders,
): calls.Framing {
  if (hasNoBody(method, status)) return 'length';
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] !== undefined ? 'length' : 'until-close';
}
