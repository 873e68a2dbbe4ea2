/** A logger that limits the number of lines it writes per event and second. */
import type * as clocks from './clocks.js';
import type * as logs from './logs.js';

export type LogBounds = {
  /** Maximum lines per second for one event, by level. */
  infoPerSecond: number;
  warnPerSecond: number;
  errorPerSecond: number;
};

const WINDOW_MS = 1_000;
const DROPPED_EVENT = 'lines-dropped';

type Window = { startMs: number; count: number; droppedCount: number };

/**
 * Limits each event separately, so that a flood of one event does not suppress the others. With thousands of requests
 * per second, unlimited logging takes CPU time from requests, most of all in an overload. Dropped lines are counted
 * and reported in a `lines-dropped` line.
 */
export function createBoundedLogger(
  log: logs.Logger,
  clock: Pick<clocks.Clock, 'nowMs'>,
  bounds: LogBounds,
): logs.Logger {
  const windows = new Map<string, Window>();

  function isWithinLimit(event: string, linesPerSecond: number): boolean {
    const nowMs = clock.nowMs();
    const window = windows.get(event);
    if (window === undefined || nowMs - window.startMs >= WINDOW_MS) {
      windows.set(event, { startMs: nowMs, count: 1, droppedCount: 0 });
      if (window !== undefined && window.droppedCount > 0) {
        log.warn(DROPPED_EVENT, { of: event, count: window.droppedCount });
      }
      return true;
    }
    window.count += 1;
    if (window.count <= linesPerSecond) return true;
    window.droppedCount += 1;
    return false;
  }

  return {
    info: (event, fields) => {
      if (isWithinLimit(event, bounds.infoPerSecond)) log.info(event, fields);
    },
    warn: (event, fields) => {
      if (isWithinLimit(event, bounds.warnPerSecond)) log.warn(event, fields);
    },
    error: (event, fields) => {
      if (isWithinLimit(event, bounds.errorPerSecond)) log.error(event, fields);
    },
  };
}
