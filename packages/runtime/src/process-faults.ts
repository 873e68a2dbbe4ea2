/**
 * How a process ends: by a planned stop that a signal asks for, or by a fault that nothing has handled. A process in an unknown
 * state takes no more work, and still answers what it has accepted: a fault is named in a line and begins the planned stop.
 */
import * as addressSpace from './address-space.js';
import * as boundedLogs from './bounded-logs.js';
import * as clocks from './clocks.js';
import * as logSinks from './log-sink.js';
import * as logs from './logs.js';
import * as standardOutputs from './standard-output.js';

export type PlannedStop = {
  /** Its time counts from `sinceMs`. */
  run: (sinceMs: number) => Promise<void>;
  /** A stop that takes longer is cut off: it may wait for what is broken. */
  timeoutMs: () => number;
};

export type ProcessEnd = {
  /** From now on the process ends by `stop`. */
  endBy: (stop: PlannedStop) => void;
  /** The start is over: from now on faults begin the planned stop. Before that they end the process at once. */
  started: (log: logs.Logger) => void;
  /** Begins the planned stop, whose time counts from `sinceMs` or from now; does nothing where it has begun. */
  stop: (sinceMs?: number) => void;
  isStopping: () => boolean;
  /** Ends a start that waits, since a stop was asked for: there is nothing to stop yet. */
  endStart: () => void;
  /** Ends the process because of an error that nothing has handled. */
  failed: (kind: FaultKind, cause: unknown) => void;
  /** Logs a warning of Node itself. */
  warned: (warning: Error) => void;
  /** Ends the process because a part of it keeps failing, which its supervisor has logged. */
  partGivenUp: () => void;
};

export type FaultKind = 'exception' | 'rejection' | 'stop' | 'memory';

export type ProcessEndOptions = {
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>;
  /** For faults before the start is over. */
  log: logs.Logger;
  /** Writes the last lines. */
  flush: () => Promise<void>;
  exit: (status: number) => void;
};

const FAULT_EXIT_STATUS = 1;
/** Lines a second: the first ones tell what is broken. */
const LOG_BOUNDS: boundedLogs.LogBounds = {
  infoPerSecond: 1,
  warnPerSecond: 10,
  errorPerSecond: 10,
};
const MESSAGE_LENGTH_MAX = 200;
const FRAMES_MAX = 4;
/** The last lines of a stop are written within this time if somebody reads them. */
const LAST_LINES_MS = 500;

/** What is thrown need not be an error. Values other than errors may hold anything of a request, so only their type is told. */
function describe(cause: unknown): logs.LogFields {
  try {
    return cause instanceof Error ? describeError(cause) : { name: typeof cause };
  } catch {
    // Its fields may be getters that throw; that would end the process at once.
    return { name: 'unreadable' };
  }
}

function describeError(cause: Error): logs.LogFields {
  const stack = typeof cause.stack === 'string' ? cause.stack : '';
  const frames = stack.split('\n').filter((line) => line.startsWith('    at '));
  return {
    name: cause.name,
    message: String(cause.message).slice(0, MESSAGE_LENGTH_MAX),
    code: (cause as NodeJS.ErrnoException).code,
    frames: frames
      .slice(0, FRAMES_MAX)
      .map((frame) => frame.trim())
      .join(', '),
  };
}

export function createProcessEnd({ clock, log, flush, exit }: ProcessEndOptions): ProcessEnd {
  let faultLog = boundedLogs.createBoundedLogger(log, clock, LOG_BOUNDS);
  let planned: PlannedStop | null = null;
  let isStarted = false;
  let isStopping = false;
  let status = 0;

  function end(): void {
    void flush().finally(() => exit(status));
  }

  async function runStop({ run }: PlannedStop, sinceMs: number): Promise<void> {
    try {
      await run(sinceMs);
    } catch (cause) {
      status = FAULT_EXIT_STATUS;
      faultLog.error('process-fault', { kind: 'stop', ...describe(cause) });
    }
    end();
  }

  function cutOff(): void {
    status = FAULT_EXIT_STATUS;
    faultLog.error('process-fault', { kind: 'stop', name: 'timeout' });
    end();
  }

  function stop(sinceMs = clock.nowMs()): void {
    if (isStopping) return;
    isStopping = true;
    if (planned === null) {
      end();
      return;
    }
    clock.schedule(sinceMs + planned.timeoutMs(), cutOff);
    void runStop(planned, sinceMs);
  }

  function endFaulty(): void {
    status = FAULT_EXIT_STATUS;
    if (isStarted) stop();
    else end();
  }

  return {
    endBy: (newStop) => {
      planned = newStop;
    },
    started: (newLog) => {
      isStarted = true;
      faultLog = boundedLogs.createBoundedLogger(newLog, clock, LOG_BOUNDS);
    },
    stop,
    isStopping: () => isStopping,
    endStart: () => {
      isStopping = true;
      end();
    },
    failed: (kind, cause) => {
      faultLog.error('process-fault', { kind, isStarted, ...describe(cause) });
      endFaulty();
    },
    warned: (warning) => faultLog.warn('node-warning', describe(warning)),
    partGivenUp: endFaulty,
  };
}

/**
 * To be called in the first statement of a program: names each fault that nothing has handled, and ends the process. Node itself
 * would cut off all requests. `name`: of the program, until it knows its settings.
 */
export function watchProcess(name: string): ProcessEnd {
  const clock = clocks.createSystemClock();
  const sink = logSinks.createLogSink(standardOutputs.standardOutput, clock);
  const processEnd = createProcessEnd({
    clock,
    log: logs.createLogger({ daemonId: name, level: 'info', sink }),
    flush: () => logSinks.flush(standardOutputs.standardOutput(), LAST_LINES_MS),
    exit: (status) => process.exit(status),
  });
  // Node's own listener writes to standard error, whose reader may be gone: its error would end the process.
  process.removeAllListeners('warning');
  process.on('warning', processEnd.warned);
  process.stderr.on('error', () => {});
  process.on('uncaughtException', (cause) => processEnd.failed('exception', cause));
  process.on('unhandledRejection', (cause) => processEnd.failed('rejection', cause));
  // Without it the first connection fails, and each one after it, while the process waits for an answer.
  const lack = addressSpace.findLack();
  if (lack !== null) processEnd.failed('memory', lack);
  return processEnd;
}
