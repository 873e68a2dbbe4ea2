/** A process of the fleet under test: it runs, stands still, or is gone. */
import type { clocks } from '@copperlever/runtime';

export type FakeProcess = {
  name: string;
  /** The world's time; tasks wait while the process is paused. */
  clock: clocks.Clock;
  isRunning: () => boolean;
  isKilled: () => boolean;
  /** Whether it ever stood still. */
  wasPaused: () => boolean;
  /** Runs `task` now, when the process resumes, or never. */
  deliver: (task: () => void) => void;
  /** `work` as this process sees it end. */
  settleHere: <Value>(work: Promise<Value>) => Promise<Value>;
  pause: () => void;
  resume: () => void;
  kill: () => void;
};

export function createProcess(name: string, world: clocks.Clock): FakeProcess {
  let state: 'running' | 'paused' | 'killed' = 'running';
  let held: (() => void)[] = [];
  let wasPaused = false;

  function deliver(task: () => void): void {
    if (state === 'running') task();
    else if (state === 'paused') held.push(task);
  }

  function schedule(atMs: number, task: () => void): clocks.Cancel {
    let isCancelled = false;
    const cancel = world.schedule(atMs, () =>
      deliver(() => {
        if (!isCancelled) task();
      }),
    );
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  return {
    name,
    clock: { nowMs: world.nowMs, wallMs: world.wallMs, schedule },
    isRunning: () => state === 'running',
    isKilled: () => state === 'killed',
    wasPaused: () => wasPaused,
    deliver,
    settleHere: (work) =>
      new Promise((resolve, reject) => {
        work.then(
          (value) => deliver(() => resolve(value)),
          (cause: Error) => deliver(() => reject(cause)),
        );
      }),
    pause: () => {
      if (state !== 'running') return;
      state = 'paused';
      wasPaused = true;
    },
    resume: () => {
      if (state !== 'paused') return;
      state = 'running';
      const tasks = held;
      held = [];
      tasks.forEach(deliver);
    },
    kill: () => {
      state = 'killed';
      held = [];
    },
  };
}
