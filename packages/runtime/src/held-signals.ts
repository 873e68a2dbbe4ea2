/**
 * Keeps the signals that come while a process starts. It imports nothing, so that a program can evaluate it before all
 * else: a signal without a handler ends the process.
 */

/** SIGPIPE is not among them: Node ignores it, and a failed write is reported where it was made. */
const SIGNALS = ['SIGHUP', 'SIGINT', 'SIGQUIT', 'SIGTERM', 'SIGUSR1', 'SIGUSR2'] as const;

/** Those that ask for a planned stop. */
const STOP_SIGNALS: readonly string[] = ['SIGINT', 'SIGQUIT', 'SIGTERM'];

export type SignalName = (typeof SIGNALS)[number];

/** `receivedAtMs`: by the monotonic clock. */
export type ReceivedSignal = { name: SignalName; receivedAtMs: number };

export type SignalHandler = (signal: ReceivedSignal) => void;

export type HeldSignals = {
  /** Aborted once a stop has been asked for, kept or not: a start that waits ends then. */
  stopAsked: AbortSignal;
  /** Gives `handler` the signals that were kept, and all later ones. */
  takeOver: (handler: SignalHandler) => void;
};

type SignalSource = { on: (name: SignalName, listener: () => void) => unknown };

export function holdSignals(source: SignalSource = process): HeldSignals {
  const kept: ReceivedSignal[] = [];
  const stopAsked = new AbortController();
  let handle: SignalHandler = (signal) => {
    // Which came first counts, and how often each came does not: a flood of them during a start stays small.
    if (!kept.some(({ name }) => name === signal.name)) kept.push(signal);
  };
  SIGNALS.forEach((name) => {
    source.on(name, () => {
      handle({ name, receivedAtMs: performance.now() });
      if (STOP_SIGNALS.includes(name)) stopAsked.abort();
    });
  });
  return {
    stopAsked: stopAsked.signal,
    takeOver: (handler) => {
      handle = handler;
      kept.splice(0).forEach(handler);
    },
  };
}

/** Those of this process, which every module of a program shares. */
let ofProcess: HeldSignals | null = null;

export function ofThisProcess(): HeldSignals {
  ofProcess ??= holdSignals();
  return ofProcess;
}
