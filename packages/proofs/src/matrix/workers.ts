/** Spreads the cells over a few threads, and puts the rows back in order. */
import * as os from 'node:os';
import * as threads from 'node:worker_threads';

import type * as runner from './runner.js';

/** Which cells a thread runs: every `count`-th from `index`. */
export type Share = { index: number; count: number; only: string; without: string | null };

/** The machine may be shared: a few cores are enough to stay well under a minute. */
const THREADS_MAX = 4;

function runShare(program: URL, share: Share): Promise<runner.Row[]> {
  return new Promise((resolve, reject) => {
    const worker = new threads.Worker(program, { workerData: share });
    worker.once('message', (rows: runner.Row[]) => resolve(rows));
    worker.once('error', reject);
    // A cell that waits for nothing that can come ends the thread without a word.
    worker.once('exit', () => reject(new Error('a thread ended before its cells')));
  });
}

/** Rows of all cells, run by threads of `program`. */
export async function runShares(
  program: URL,
  only: string,
  without: string | null,
): Promise<runner.Row[]> {
  const count = Math.min(THREADS_MAX, os.availableParallelism());
  const shares = await Promise.all(
    Array.from({ length: count }, (_, index) => runShare(program, { index, count, only, without })),
  );
  const rows: runner.Row[] = [];
  shares.forEach((share, index) =>
    share.forEach((row, position) => {
      rows[position * count + index] = row;
    }),
  );
  return rows;
}

/** The share of this thread; null in the main thread. */
export function ownShare(): Share | null {
  return threads.isMainThread ? null : (threads.workerData as Share);
}

export function postRows(rows: readonly runner.Row[]): void {
  threads.parentPort?.postMessage(rows);
}
