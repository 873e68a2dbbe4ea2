/** One attempt of a request at one agent, over as many connections as it takes. */
import type { agent, causes } from '@copperlever/protocol';
import { clocks } from '@copperlever/runtime';

import type * as directories from '../../shared/agent-directory.js';
import type * as calls from '../../types/calls.js';
import type * as links from '../../types/links.js';

/** How an attempt ended, as far as this entry can know. */
export type AttemptResult =
  /** `runMs` counts from the start at the upstream, or from the opening where that was not seen. */
  | { kind: 'ended'; status: number; runMs: number; sizeBytes: number }
  /** The agent says that it did not run. */
  | { kind: 'refused'; cause: string; retryAtMs: number; detail: string }
  | { kind: 'failed'; cause: string; detail: string; upstreamCrashed: boolean }
  /** This entry could not hold the answer; the attempt has run. */
  | { kind: 'no-room'; detail: string }
  /** The agent cannot be reached any more; the attempt may have started. */
  | { kind: 'lost'; detail: string; hadStarted: boolean }
  | { kind: 'deadline-passed'; hadStarted: boolean }
  /** Its agent gave it back, unstarted, since this entry stops. */
  | { kind: 'withdrawn' }
  /** This entry has to answer now, since it stops. */
  | { kind: 'stopped' }
  /** The caller closed its connection. */
  | { kind: 'caller-gone' };

export type AttemptDeps = {
  clock: clocks.Clock;
  link: links.AgentLink;
  directory: directories.AgentDirectory;
  /** Evidence for the membership, beside its own probes. */
  reportUnreachable: (agentId: string) => void;
};

export type AttemptInput = {
  target: links.AgentTarget;
  dispatchId: string;
  deadlineMs: number;
  sink: calls.AnswerSink;
  callerGone: AbortSignal;
  /** Opens the first stream: a dispatch, or a resume of what another entry dispatched. */
  open: (signal: AbortSignal) => AsyncIterable<links.LinkPart>;
  onStarted?: () => void;
  stop: AttemptStop;
};

/** What a planned stop means for one attempt. */
export type AttemptStop = {
  /** Until when it may wait at its agent; infinite while no stop is under way. */
  waitsUntilMs: () => number;
  /** When it has to be answered; infinite while no stop is under way. */
  answerAtMs: () => number;
  /** Calls `task` when one of these times may have changed. */
  onChange: (task: () => void) => () => void;
  /** Takes it back from its agent, if it has not started: resolves to whether it did not run. */
  takeBack: () => Promise<boolean>;
};

/**
 * A connection that something in the middle has forgotten stays silent for good. After this long
 * without a frame the answer is asked for again on a new one; the time doubles, since a long queue
 * is silent too.
 */
const FIRST_SILENCE_MS = 1_000;
const MAX_SILENCE_MS = 8_000;
/** New connections that bring nothing before the agent is given up. */
const MAX_RECONNECTS = 4;
const RECONNECT_PAUSE_MS = 100;
/** No planned stop concerns the attempt. */
export const NO_STOP: AttemptStop = {
  waitsUntilMs: () => Infinity,
  answerAtMs: () => Infinity,
  onChange: () => () => {},
  takeBack: async () => false,
};
/** The agent does not know the attempt: the dispatch never arrived, or its process was replaced. */
const UNKNOWN_ATTEMPT: causes.FailureCause = 'attempt-unknown';
const REVOKED: causes.RefusalCause = 'revoked';

type Progress = { offsetBytes: number; status: number; hadStarted: boolean; startedAtMs: number };

type StreamEnd =
  | { kind: 'closed'; result: AttemptResult }
  | { kind: 'silent' }
  | { kind: 'broken'; detail: string };

type NextPart = links.LinkPart | 'deadline' | 'caller-gone' | 'stop-changed' | 'closed';

/** Calls the present waiter when the caller goes, or the times of a stop change: one listener each for the whole answer. */
function createCallerWatch({ callerGone, stop }: AttemptInput) {
  let wake: (why: 'caller-gone' | 'stop-changed') => void = () => {};
  const onGone = () => wake('caller-gone');
  callerGone.addEventListener('abort', onGone);
  const removeOnChange = stop.onChange(() => wake('stop-changed'));
  return {
    onWake: (next: (why: 'caller-gone' | 'stop-changed') => void) => {
      wake = next;
      if (callerGone.aborted) next('caller-gone');
    },
    stop: () => {
      callerGone.removeEventListener('abort', onGone);
      removeOnChange();
    },
  };
}

type CallerWatch = ReturnType<typeof createCallerWatch>;

/** The next part, or why there is none. */
function nextPart(
  next: Promise<IteratorResult<links.LinkPart>>,
  clock: clocks.Clock,
  untilMs: number,
  watch: CallerWatch,
): Promise<NextPart> {
  return new Promise((resolve) => {
    const cancel = clock.schedule(untilMs, () => resolve('deadline'));
    const settle = (part: NextPart) => {
      cancel();
      resolve(part);
    };
    watch.onWake(settle);
    next.then(
      (step) => settle(step.done === true ? 'closed' : step.value),
      (cause: unknown) => settle({ kind: 'lost', detail: String(cause) }),
    );
  });
}

export async function runAttempt(deps: AttemptDeps, input: AttemptInput): Promise<AttemptResult> {
  const { clock, directory } = deps;
  const progress: Progress = {
    offsetBytes: 0,
    status: 0,
    hadStarted: false,
    startedAtMs: clock.nowMs(),
  };
  const watch = createCallerWatch(input);
  let isTakingBack = false;

  async function takeData(offsetBytes: number, data: Buffer): Promise<AttemptResult | null> {
    // A frame of an earlier connection can arrive twice; only the next byte is ever passed on. A
    // body without its head would reach the caller without a status: it is asked for again.
    if (progress.status === 0 || offsetBytes !== progress.offsetBytes) return null;
    const room = (await input.sink.takeRoom?.(data.length)) ?? 'taken';
    switch (room) {
      case 'too-large': {
        const detail = `the answer is longer than ${progress.offsetBytes} bytes`;
        return { kind: 'failed', cause: 'answer-too-large', detail, upstreamCrashed: false };
      }
      case 'no-room':
        return { kind: 'no-room', detail: 'this entry has no room for the answer now' };
      case 'taken':
        break;
    }
    progress.offsetBytes += data.length;
    await input.sink.chunk(data);
    return null;
  }

  /** Takes one frame; a result when it closes the attempt. */
  async function takeFrame(frame: agent.AnswerFrame): Promise<AttemptResult | null> {
    // Another request's frame must never reach this caller.
    if (frame.dispatchId !== input.dispatchId || frame.part === undefined) return null;
    directory.noteLoad(input.target.agentId, frame.load);
    switch (frame.part.$case) {
      case 'accepted':
        return null;
      case 'started':
        if (progress.hadStarted) return null;
        progress.startedAtMs = clock.nowMs();
        progress.hadStarted = true;
        input.onStarted?.();
        return null;
      case 'head':
        progress.status = frame.part.value.status;
        if (progress.offsetBytes === 0) {
          input.sink.head(frame.part.value.status, frame.part.value.headers);
        }
        return null;
      case 'chunk':
        return takeData(frame.offsetBytes, frame.part.value.data);
      case 'end':
        if (progress.status === 0) return null;
        if (frame.part.value.sizeBytes !== progress.offsetBytes) return null;
        return {
          kind: 'ended',
          status: progress.status,
          runMs: clock.nowMs() - progress.startedAtMs,
          sizeBytes: progress.offsetBytes,
        };
      case 'refused': {
        const { cause, detail, retryAfterMs } = frame.part.value;
        if (isTakingBack && cause === REVOKED) return { kind: 'withdrawn' };
        return { kind: 'refused', cause, detail, retryAtMs: clock.nowMs() + retryAfterMs };
      }
      case 'failed': {
        const failed = frame.part.value;
        if (failed.cause !== UNKNOWN_ATTEMPT) return { kind: 'failed', ...failed };
        return { kind: 'lost', detail: failed.detail, hadStarted: progress.hadStarted };
      }
    }
  }

  /** When the stop of this entry is next to be looked at. */
  function stopDueMs(): number {
    const isWaiting = !progress.hadStarted && !isTakingBack;
    const waitsUntilMs = isWaiting ? input.stop.waitsUntilMs() : Infinity;
    return Math.min(waitsUntilMs, input.stop.answerAtMs());
  }

  /** What a time that has come means; null where the attempt goes on. */
  async function atTime(): Promise<AttemptResult | null> {
    if (clock.nowMs() >= input.deadlineMs) {
      return { kind: 'deadline-passed', hadStarted: progress.hadStarted };
    }
    if (clock.nowMs() >= input.stop.answerAtMs()) return { kind: 'stopped' };
    isTakingBack = true;
    return (await input.stop.takeBack()) ? { kind: 'withdrawn' } : null;
  }

  async function readStream(
    parts: AsyncIterable<links.LinkPart>,
    silenceMs: number,
  ): Promise<StreamEnd> {
    const iterator = parts[Symbol.asyncIterator]();
    let silentAtMs = clock.nowMs() + silenceMs;
    let next = iterator.next();
    for (;;) {
      const dueMs = Math.min(input.deadlineMs, stopDueMs());
      const part = await nextPart(next, clock, Math.min(silentAtMs, dueMs), watch);
      if (part === 'stop-changed') continue;
      if (part === 'caller-gone') return { kind: 'closed', result: { kind: 'caller-gone' } };
      if (part === 'closed') return { kind: 'broken', detail: 'the stream ended early' };
      if (part === 'deadline') {
        if (clock.nowMs() < dueMs) return { kind: 'silent' };
        const result = await atTime();
        if (result !== null) return { kind: 'closed', result };
        continue;
      }
      if (part.kind === 'lost') return { kind: 'broken', detail: part.detail };
      const result = await takeFrame(part.frame);
      if (result !== null) return { kind: 'closed', result };
      silentAtMs = clock.nowMs() + silenceMs;
      next = iterator.next();
    }
  }

  function resume(signal: AbortSignal): AsyncIterable<links.LinkPart> {
    const request = {
      dispatchId: input.dispatchId,
      agentIncarnation: input.target.incarnation,
      offsetBytes: progress.offsetBytes,
    };
    return deps.link.resume(input.target, request, signal, 'fresh');
  }

  async function readUntilClosed(): Promise<AttemptResult> {
    let silenceMs = FIRST_SILENCE_MS;
    let failedConnects = 0;
    let { open } = input;
    let detail = '';
    while (failedConnects <= MAX_RECONNECTS) {
      const stream = new AbortController();
      const offsetBefore = progress.offsetBytes;
      const end = await readStream(open(stream.signal), silenceMs);
      stream.abort();
      if (end.kind === 'closed') return end.result;
      if (progress.offsetBytes > offsetBefore) failedConnects = 0;
      if (end.kind === 'silent') {
        silenceMs = Math.min(MAX_SILENCE_MS, silenceMs * 2);
      } else {
        failedConnects += 1;
        detail = end.detail;
        const pauseMs = RECONNECT_PAUSE_MS * 2 ** failedConnects;
        await clocks.sleepUntil(clock, clock.nowMs() + pauseMs, input.callerGone);
      }
      open = resume;
    }
    deps.reportUnreachable(input.target.agentId);
    return { kind: 'lost', detail, hadStarted: progress.hadStarted };
  }

  directory.noteStarted(input.target.agentId);
  try {
    return await readUntilClosed();
  } finally {
    watch.stop();
    directory.noteEnded(input.target.agentId);
  }
}
