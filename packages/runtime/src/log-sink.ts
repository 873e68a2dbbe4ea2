/**
 * Writes log lines to a stream whose reader may be gone, slow or out of room. Lines that cannot be written are dropped and
 * counted: logs may neither end the process nor fill its memory.
 */
import type * as clocks from './clocks.js';

/** What a sink needs of a stream. A failed write is reported to its callback, and as an `error` event. */
export type SinkStream = {
  readonly destroyed: boolean;
  /** What waits to be written, in characters. */
  readonly writableLength: number;
  write: (text: string, onWritten: (error?: Error | null) => void) => boolean;
  on: (event: 'error', listener: (error: Error) => void) => unknown;
};

/** `backlogged`: more waits to be written than is kept; `failed`: the last write failed. */
export type SinkState = 'writing' | 'backlogged' | 'failed';

/** `count` since the last report, `totalCount` since the start: a report may be lost itself. */
export type LostLines = {
  count: number;
  totalCount: number;
  state: Exclude<SinkState, 'writing'>;
  reason: string;
};

export type LogSink = {
  /** `line`: without its end. */
  write: (line: string) => void;
  /** Calls `report` when lines are written again after some were dropped. */
  onResumed: (report: (lost: LostLines) => void) => void;
  state: () => SinkState;
  /** Since the start. */
  lostLineCount: () => number;
  pendingCharacters: () => number;
};

/** Some 15 seconds of the lines of a busy daemon: longer than a log collector takes to restart. */
export const MAX_PENDING_CHARACTERS = 1024 * 1024;
/** A slow reader has caught up with half of that before lines are taken again, so that they are lost in one piece. */
const RESUME_CHARACTERS = MAX_PENDING_CHARACTERS / 2;
/** A failed write costs as much as a good one, and a reader that has come back may miss lines for so long. */
export const RETRY_PERIOD_MS = 1_000;

/** Without a listener the event of a failed write would end the process; each failure is counted in its callback. */
function listened(stream: SinkStream): SinkStream {
  stream.on('error', () => {});
  return stream;
}

function reasonOf(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? error.message;
}

/** `open`: gives the stream, or another one in place of one that is destroyed. */
export function createLogSink(open: () => SinkStream, clock: Pick<clocks.Clock, 'nowMs'>): LogSink {
  let stream = listened(open());
  let state: SinkState = 'writing';
  let retryAtMs = 0;
  let reason = '';
  let lostLineCount = 0;
  let reportedCount = 0;
  let report: (lost: LostLines) => void = () => {};

  function resume(): void {
    if (state === 'writing') return;
    const count = lostLineCount - reportedCount;
    const lost = { count, totalCount: lostLineCount, state, reason };
    state = 'writing';
    reportedCount = lostLineCount;
    report(lost);
  }

  function onWritten(error?: Error | null): void {
    if (error === undefined || error === null) {
      if (state === 'failed') resume();
      return;
    }
    state = 'failed';
    reason = reasonOf(error);
    lostLineCount += 1;
    retryAtMs = clock.nowMs() + RETRY_PERIOD_MS;
  }

  function retry(line: string): void {
    retryAtMs = clock.nowMs() + RETRY_PERIOD_MS;
    if (stream.destroyed) stream = listened(open());
    // A file that was full may end in a part of a line.
    stream.write(`\n${line}\n`, onWritten);
  }

  function write(line: string): void {
    const pendingCharacters = stream.writableLength;
    switch (state) {
      case 'writing':
        // A line longer than the bound is for a reader that has caught up.
        if (pendingCharacters === 0 || pendingCharacters + line.length < MAX_PENDING_CHARACTERS) {
          stream.write(`${line}\n`, onWritten);
          return;
        }
        state = 'backlogged';
        reason = 'backlog';
        break;
      case 'backlogged':
        if (pendingCharacters > RESUME_CHARACTERS) break;
        resume();
        write(line);
        return;
      case 'failed':
        if (clock.nowMs() < retryAtMs || pendingCharacters > 0) break;
        retry(line);
        return;
    }
    lostLineCount += 1;
  }

  return {
    write,
    onResumed: (newReport) => {
      report = newReport;
    },
    state: () => state,
    lostLineCount: () => lostLineCount,
    pendingCharacters: () => stream.writableLength,
  };
}

/** Resolves when all that waits in `stream` has been written or has failed, or after `timeoutMs`. */
export function flush(
  stream: Pick<SinkStream, 'writableLength' | 'write'>,
  timeoutMs: number,
): Promise<void> {
  if (stream.writableLength === 0) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    stream.write('', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
