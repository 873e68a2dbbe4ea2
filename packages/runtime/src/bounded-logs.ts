/** Logs whose volume stays bounded under load. */
import type * as clocks from './clocks.js';
import type * as logs from './logs.js';

export type LogBounds = {
  /** Lines a second of one event, by level: what fails keeps its lines longest. */
  infoPerSecond: number;
  warnPerSecond: number;
};

const WINDOW_MS = 1_000;
const DROPPED_EVENT = 'lines-dropped';

type Window = { startMs: number; count: number; droppedCount: number };

/**
 * Load: thousands of requests a second, each with lines of its own. Harm without a bound: writing takes
 * processor time from requests, most of all in an overload. Each event has its own bound, so a flood of one
 * leaves the others' lines alone; what was dropped is counted in a line of its own.
 */
export function createBoundedLogger(
  log: logs.Logger,
  clock: Pick<clocks.Clock, 'nowMs'>,
  bounds: LogBounds,
): logs.Logger {
  const windows = new Map<string, Window>();

  function mayWrite(event: string, perSecond: number): boolean {
    const nowMs = clock.nowMs();
    const before = windows.get(event);
    if (before === undefined || nowMs - before.startMs >= WINDOW_MS) {
      windows.set(event, { startMs: nowMs, count: 1, droppedCount: 0 });
      if (before !== undefined && before.droppedCount > 0) {
        log.warn(DROPPED_EVENT, { of: event, count: before.droppedCount });
      }
      return true;
    }
    before.count += 1;
    if (before.count <= perSecond) return true;
    before.droppedCount += 1;
    return false;
  }

  return {
    info: (event, fields) => {
      if (mayWrite(event, bounds.infoPerSecond)) log.info(event, fields);
    },
    warn: (event, fields) => {
      if (mayWrite(event, bounds.warnPerSecond)) log.warn(event, fields);
    },
    // Errors are few, and each is a fault of its own.
    error: (event, fields) => log.error(event, fields),
  };
}
