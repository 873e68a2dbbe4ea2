/**
 * Keeps the signals that come while a process starts. It imports nothing, so that a program can evaluate it before all
 * else: a signal without a handler ends the process.
 */

/** SIGPIPE is not among them: Node ignores it, and a failed write is reported where it was made. */
const SIGNALS = ['SIGHUP', 'SIGINT', 'SIGQUIT', 'SIGTERM', 'SIGUSR1', 'SIGUSR2'] as const;

export type SignalName = (typeof SIGNALS)[number];

/** `receivedAtMs`: by the monotonic clock. */
export type ReceivedSignal = { name: SignalName; receivedAtMs: number };

export type SignalHandler = (signal: ReceivedSignal) => void;

export type HeldSignals = {
  /** Gives `handler` the signals that were kept, and all later ones. */
  takeOver: (handler: SignalHandler) => void;
};

type SignalSource = { on: (name: SignalName, listener: () => void) => unknown };

export function holdSignals(source: SignalSource = process): HeldSignals {
  const kept: ReceivedSignal[] = [];
  let handle: SignalHandler = (signal) => {
    // Which came first counts, and how often each came does not: a flood of them during a start stays small.
    if (!kept.some(({ name }) => name === signal.name)) kept.push(signal);
  };
  SIGNALS.forEach((name) => {
    source.on(name, () => handle({ name, receivedAtMs: performance.now() }));
  });
  return {
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
