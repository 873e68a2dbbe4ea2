/** Supervises the parts of a daemon: starts, watches and restarts each one separately. */
import * as clocks from './clocks.js';
import type * as logs from './logs.js';

/** A running part. `failed` resolves with the error if the part fails while it runs. */
export type RunningPart = {
  failed: Promise<Error>;
  /** Has to be over by `untilMs`; it is not waited for any longer. */
  stop: (untilMs?: number) => Promise<void>;
};

export type PartSpec = {
  name: string;
  start: () => Promise<RunningPart>;
};

export type SupervisorOptions = {
  clock: clocks.Clock;
  log: logs.Logger;
  /** Called once when a part keeps failing; the daemon should stop, so that other daemons take its load. */
  onGiveUp: (partName: string) => void;
};

export type Supervisor = {
  /** Starts the parts in order; a part may depend on earlier ones. */
  start: () => Promise<void>;
  /** Stops the parts in reverse order, by `untilMs`. */
  stop: (untilMs?: number) => Promise<void>;
};

/** After five restarts within a minute the fault is one that restarting does not fix. */
const MAX_RESTARTS = 5;
const RESTART_WINDOW_MS = 60_000;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;

/** The delay before restart number `restartCount`, counted from one. */
export function backoffMs(restartCount: number): number {
  return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (restartCount - 1));
}

export function createSupervisor(
  specs: readonly PartSpec[],
  options: SupervisorOptions,
): Supervisor {
  const { clock, log } = options;
  const running = new Map<string, RunningPart>();
  const stopping = new AbortController();

  async function restart(spec: PartSpec, restartsMs: number[]): Promise<void> {
    const recentMs = restartsMs.filter((atMs) => atMs > clock.nowMs() - RESTART_WINDOW_MS);
    if (recentMs.length >= MAX_RESTARTS) {
      log.error('part-given-up', { part: spec.name, restartCount: recentMs.length });
      options.onGiveUp(spec.name);
      return;
    }
    const waited = await clocks.sleepUntil(
      clock,
      clock.nowMs() + backoffMs(recentMs.length + 1),
      stopping.signal,
    );
    if (waited === 'aborted') return;
    const attemptsMs = [...recentMs, clock.nowMs()];
    try {
      await startPart(spec, attemptsMs);
      log.info('part-restarted', { part: spec.name, restartCount: attemptsMs.length });
    } catch (cause) {
      log.error('part-start-failed', { part: spec.name, reason: String(cause) });
      await restart(spec, attemptsMs);
    }
  }

  async function startPart(spec: PartSpec, restartsMs: number[]): Promise<void> {
    const part = await spec.start();
    running.set(spec.name, part);
    void part.failed.then(async (failure) => {
      if (stopping.signal.aborted) return;
      log.error('part-failed', { part: spec.name, reason: failure.message });
      running.delete(spec.name);
      await part.stop().catch(() => {});
      await restart(spec, restartsMs);
    });
  }

  async function inTime(part: string, stopped: Promise<void>, untilMs?: number): Promise<void> {
    if (untilMs === undefined) {
      await stopped;
      return;
    }
    const end = await clocks.raceDeadline(clock, untilMs, stopped);
    if (end === 'deadline') log.error('part-stop-cut-off', { part });
  }

  return {
    start: async () => {
      for (const spec of specs) await startPart(spec, []);
    },
    stop: async (untilMs) => {
      stopping.abort();
      for (const spec of [...specs].reverse()) {
        const stopped = running.get(spec.name)?.stop(untilMs);
        if (stopped !== undefined) await inTime(spec.name, stopped, untilMs);
      }
    },
  };
}

/** The `failed` promise of a part that cannot fail while it runs: it never resolves. */
export function neverFails(): Promise<Error> {
  return new Promise(() => {});
}
