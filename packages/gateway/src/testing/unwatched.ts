/** For tests in which no upstream ends. */
import type * as crashWatches from '../server/crashes/crash-watch.js';

export function createUnwatched(): crashWatches.CrashWatch {
  return {
    started: () => ({ began: () => {}, ended: () => {} }),
    settled: async () => {},
    noteAnswered: () => {},
    runningSoundMs: () => null,
    retain: () => {},
  };
}
