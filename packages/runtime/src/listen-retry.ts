/**
 * Listening at addresses that may be taken for a while: by the life before in its grace, or by an outgoing connection of another
 * program. A start waits for those that it needs, and goes on without the others, which are tried again beside it.
 */
import * as clocks from './clocks.js';
import type * as logs from './logs.js';

/** What listens, and where. */
export type ListenTarget = { what: string; address: string };

/** How a stop that is asked for during a start ends it: nothing has been accepted yet. */
export type StartEnd = { asked: AbortSignal; end: () => void };

export type ListenRetryOptions = {
  clock: clocks.Clock;
  log: Pick<logs.Logger, 'info' | 'warn' | 'error'>;
  startEnd?: StartEnd;
};

export type ListenRetry = {
  /** Resolves once `listen` has worked; rejects at once on a mistake of the operator, or when the time of a start is up. */
  untilListening: <Value>(target: ListenTarget, listen: () => Promise<Value>) => Promise<Value>;
  /** Tries once, and then again beside the start until it works. */
  inBackground: (
    target: ListenTarget & { onMistake: 'reject' | 'retry' },
    listen: () => Promise<unknown>,
  ) => Promise<void>;
  /** Targets that are waited for. */
  waitingCount: () => number;
  /** Ends all attempts. */
  stop: () => void;
};

type Attempt<Value> = { isListening: true; value: Value } | ({ isListening: false } & Failure);
type Failure = { code: string; cause: unknown };
type Ended<Value> = { outcome: 'listening'; value: Value } | { outcome: 'stopped' | 'given-up' };

/** The system keeps the port of an outgoing connection for 60 s after its end; later another machine may do better. */
export const START_WAIT_MAX_MS = 120_000;
/** A port that gets free is taken soon, and an attempt costs a few system calls. */
const RETRY_INTERVAL_MS = 200;
const LOG_INTERVAL_MS = 5_000;
/** What may be over without a change of the settings. */
const TRANSIENT_CODES = [
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAGAIN',
  'EAI_AGAIN',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
  'ENETDOWN',
];

/** gRPC tells the code of the system in its message only. */
function codeOf(cause: unknown): string {
  if (!(cause instanceof Error)) return typeof cause;
  const { code } = cause as NodeJS.ErrnoException;
  return code ?? /\bE[A-Z_]{3,}\b/.exec(cause.message)?.[0] ?? cause.name;
}

async function tryOnce<Value>(listen: () => Promise<Value>): Promise<Attempt<Value>> {
  try {
    return { isListening: true, value: await listen() };
  } catch (cause) {
    return { isListening: false, code: codeOf(cause), cause };
  }
}

function isTransient({ code }: Failure): boolean {
  return TRANSIENT_CODES.includes(code);
}

function neverAsked(): StartEnd {
  return { asked: new AbortController().signal, end: () => {} };
}

export function createListenRetry(options: ListenRetryOptions): ListenRetry {
  const { clock, log, startEnd = neverAsked() } = options;
  const stopping = new AbortController();
  const ended = AbortSignal.any([stopping.signal, startEnd.asked]);
  let waitingCount = 0;

  async function keepTrying<Value>(
    { what, address }: ListenTarget,
    listen: () => Promise<Value>,
    firstCode: string,
    giveUpAtMs: number,
  ): Promise<Ended<Value>> {
    const sinceMs = clock.nowMs();
    let nextLineMs = sinceMs;
    let code = firstCode;
    let attemptCount = 1;
    const fields = () => ({
      what,
      address,
      code,
      attemptCount,
      waitedMs: Math.round(clock.nowMs() - sinceMs),
    });
    for (;;) {
      if (clock.nowMs() >= nextLineMs) {
        log.warn('start-waiting', fields());
        nextLineMs = clock.nowMs() + LOG_INTERVAL_MS;
      }
      const slept = await clocks.sleepUntil(clock, clock.nowMs() + RETRY_INTERVAL_MS, ended);
      if (slept === 'aborted') {
        log.info('start-wait-ended', { ...fields(), outcome: 'stopped' });
        return { outcome: 'stopped' };
      }
      const attempt = await tryOnce(listen);
      attemptCount += 1;
      if (attempt.isListening) {
        log.info('start-wait-ended', { ...fields(), outcome: 'listening' });
        return { outcome: 'listening', value: attempt.value };
      }
      code = attempt.code;
      if (clock.nowMs() >= giveUpAtMs) {
        log.error('start-wait-ended', { ...fields(), outcome: 'given-up' });
        return { outcome: 'given-up' };
      }
    }
  }

  async function waitFor<Value>(
    ...args: Parameters<typeof keepTrying<Value>>
  ): Promise<Ended<Value>> {
    waitingCount += 1;
    try {
      return await keepTrying(...args);
    } finally {
      waitingCount -= 1;
    }
  }

  return {
    untilListening: async (target, listen) => {
      const giveUpAtMs = clock.nowMs() + START_WAIT_MAX_MS;
      const first = await tryOnce(listen);
      if (first.isListening) return first.value;
      if (!isTransient(first)) throw first.cause;
      const waited = await waitFor(target, listen, first.code, giveUpAtMs);
      switch (waited.outcome) {
        case 'listening':
          return waited.value;
        case 'given-up':
          throw first.cause;
        case 'stopped':
          startEnd.end();
          // The process ends.
          return new Promise(() => {});
      }
    },
    inBackground: async ({ onMistake, ...target }, listen) => {
      const first = await tryOnce(listen);
      if (first.isListening) return;
      if (onMistake === 'reject' && !isTransient(first)) throw first.cause;
      void waitFor(target, listen, first.code, Infinity);
    },
    waitingCount: () => waitingCount,
    stop: () => stopping.abort(),
  };
}
