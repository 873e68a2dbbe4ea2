/**
 * One attempt of a request at one upstream: sends it, judges the answer and passes it on. Says precisely
 * whether the upstream may have run the request, because all that follows depends on that.
 */
import type * as http from 'node:http';

import type { clocks } from '@copperlever/runtime';
import type * as undici from 'undici';

import * as connectionHeaders from '../../shared/connection-headers.js';
import type * as eventGaps from '../../shared/event-gaps.js';
import * as eventFramer from '../../shared/event-framer.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as answers from './answers.js';
import type * as connectionsModule from './connections.js';
import type * as loopAgesModule from './loop-ages.js';

export type AttemptDeps = {
  clock: clocks.Clock;
  dialect: dialects.Dialect;
  loopAges: Pick<loopAgesModule.LoopAges, 'isStale' | 'readAgain' | 'turnMs'>;
};

export type AttemptInput = {
  call: calls.Call;
  upstreamName: string;
  connection: connectionsModule.LentConnection;
  sink: answers.AnswerSink;
  priority: number;
  resumeAfterId: string | null;
  /** Hold an upstream's own failure back instead of passing it on. */
  holdsFailure: boolean;
  /** Asked when a connection takes the request: false where the upstream must get nothing new by now. */
  mayStart: () => boolean;
  /** Give up when no connection has taken the request by then. */
  sendByMs: number;
  /** Give up, as silent, when no byte of an answer has come by then. */
  firstByteByMs: number;
  /** `event`: of a stream that is passed on as it comes. `whole`: all of the answer at once. */
  onFirstPiece: (piece: 'event' | 'whole', status: number) => void;
  /** Gets the events of a stream that is passed on. */
  gaps?: eventGaps.EventGaps;
  /** The head of an answer to this request has come. */
  onHead: (facts: dialects.AnswerFacts) => void;
  /** The connection has been closed, its caller having left. */
  onCancelled: (tookMs: number) => void;
};

/** A whole answer up to this size is held, so that one that breaks off can still become a typed failure. */
const HELD_BYTES_MAX = 256 * 1024;

/** A quarter of a usual gap or so: longer turns of this process's own loop stretch what it sees of upstreams. */
const GAP_TURN_MAX_MS = 10;

class AttemptAborted extends Error {}

export function runAttempt(deps: AttemptDeps, input: AttemptInput): Promise<calls.AttemptResult> {
  const { clock, dialect } = deps;
  const { call, sink } = input;
  const isStream = call.route.kind === 'stream';
  const framer = isStream && call.route.isResumable ? eventFramer.createEventFramer() : null;

  return new Promise((resolve) => {
    let controller: undici.Dispatcher.DispatchController | null = null;
    let isSettled = false;
    let isSent = false;
    let hasStatus = false;
    let framing: calls.Framing = 'length';
    let status = 0;
    let headers: dialects.HeaderPair[] = [];
    let facts: dialects.AnswerFacts | null = null;
    let held: Buffer[] = [];
    let heldBytes = 0;
    let isPassing = false;
    const cancels: clocks.Cancel[] = [];
    const abortBeforeStart = { wanted: false };
    let callerGoneAtMs: number | null = null;

    function settle(result: calls.AttemptResult): void {
      if (isSettled) return;
      isSettled = true;
      cancels.forEach((cancel) => cancel());
      sink.onCallerGone(null);
      resolve(result);
    }

    /** Ends the attempt and its connection: nothing that still comes on it may reach anyone. */
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

    function passOn(chunk: Buffer): void {
      const bytes = framer === null ? chunk : framer.push(chunk);
      if (bytes.length > 0) write(bytes);
    }

    function write(bytes: Buffer): void {
      if (!sink.hasBegun()) {
        sink.begin(status, headers, framing);
        input.onFirstPiece(isStream ? 'event' : 'whole', status);
      }
      if (sink.write(bytes)) return;
      controller?.pause();
      sink.onceDrained(() => {
        input.gaps?.interrupted();
        controller?.resume();
      });
    }

    function startPassing(): void {
      isPassing = true;
      held.forEach(passOn);
      held = [];
    }

    function judgeHead(headFacts: dialects.AnswerFacts): calls.AttemptResult | null {
      // A late answer to another request may come where this one's is due; the id tells.
      const isOwn = headFacts.requestId === null || headFacts.requestId === call.requestId;
      if (!isOwn) return lost('garbled');
      input.onHead(headFacts);
      if (headFacts.didNotRun) {
        return { kind: 'rejected', isMisdirected: headFacts.isMisdirected, retryAfterMs: null };
      }
      const isSuccess = status >= 200 && status < 300;
      if (isSuccess && (!headFacts.isSigned || headFacts.requestId === null))
        return lost('garbled');
      if (status < 200 || (status >= 300 && status < 400)) return lost('garbled');
      return null;
    }

    function endWhole(): void {
      if (isSettled) return;
      const ending = input.connection.end();
      if (ending === 'reset' || (ending === 'closed' && framing === 'chunked')) {
        settle(lost('connection'));
        return;
      }
      if (isPassing) {
        const rest = framer?.rest();
        if (rest !== undefined && rest.length > 0) write(rest);
        sink.end();
        settle({ kind: 'answered', status });
        return;
      }
      const answer = { status, framing, headers, body: Buffer.concat(held) };
      const isFailure = status >= 500;
      if (isFailure && (input.holdsFailure || facts?.isSigned !== true)) {
        settle({ kind: 'held-failure', answer });
        return;
      }
      input.onFirstPiece('whole', status);
      sink.sendWhole(answer);
      settle({ kind: 'answered', status });
    }

    /** Timers run before what has come is read: what lies there unread may say that the upstream was in time. */
    function onceRead(judge: () => void): void {
      if (deps.loopAges.isStale()) void deps.loopAges.readAgain().then(judge);
      else judge();
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
        hasStatus = true;
        status = statusCode;
        framing = framingOf(status, responseHeaders);
        facts = dialect.readAnswer(status, responseHeaders);
        headers = connectionHeaders.forwarded(toPairs(responseHeaders));
        const verdict = judgeHead(facts);
        if (verdict?.kind === 'lost') {
          abandon(verdict);
          return;
        }
        if (verdict !== null) {
          settle(verdict);
          return;
        }
        if (isStream && status < 300) startPassing();
      },
      onResponseData: (_controller, chunk) => {
        if (isSettled) return;
        if (isPassing) {
          if (deps.loopAges.turnMs() > GAP_TURN_MAX_MS) input.gaps?.interrupted();
          input.gaps?.event(clock.nowMs());
          passOn(chunk);
          return;
        }
        held.push(Buffer.from(chunk));
        heldBytes += chunk.length;
        if (heldBytes > HELD_BYTES_MAX) startPassing();
      },
      onResponseEnd: () => {
        if (hasStatus) endWhole();
      },
      onResponseError: (_controller, error) => {
        if (callerGoneAtMs !== null) input.onCancelled(clock.nowMs() - callerGoneAtMs);
        if (!isSent) settle({ kind: 'not-sent', reason: error.message });
        else settle(lost('connection'));
      },
    };

    cancels.push(
      clock.schedule(input.sendByMs, () => {
        onceRead(() => {
          if (!isSent) abandon({ kind: 'not-sent', reason: 'no connection in time' });
        });
      }),
      clock.schedule(input.firstByteByMs, () => {
        onceRead(() => {
          if (!hasStatus) abandon(lost('silent'));
        });
      }),
      clock.schedule(call.deadlineMs, () => {
        if (isSent) abandon({ kind: 'deadline', hasBegun: sink.hasBegun() });
        else abandon({ kind: 'not-sent', reason: 'deadline' });
      }),
    );
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
    const passed = isResumed
      ? call.headers.filter(([name]) => name.toLowerCase() !== 'last-event-id')
      : call.headers;
    try {
      input.connection.dispatch(
        {
          method: call.method,
          path: call.path,
          headers: [...passed, ...attemptHeaders].flat(),
          body: call.body.length === 0 ? null : call.body,
          // Only the sender knows what may be repeated; the pool must not.
          idempotent: false,
        },
        handler,
      );
    } catch (cause) {
      settle({ kind: 'not-sent', reason: String(cause) });
    }
  });
}

function toPairs(headers: http.IncomingHttpHeaders): dialects.HeaderPair[] {
  return Object.entries(headers).flatMap(([name, value]): dialects.HeaderPair[] => {
    if (value === undefined) return [];
    return Array.isArray(value) ? value.map((item) => [name, item] as const) : [[name, value]];
  });
}

function framingOf(status: number, headers: http.IncomingHttpHeaders): calls.Framing {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  const hasNoBody = status === 204 || status === 304;
  return headers['content-length'] !== undefined || hasNoBody ? 'length' : 'until-close';
}
