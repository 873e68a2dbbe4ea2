/**
 * The descriptors of this process: how many it may have open, and whether it has run out of them. Without one left, a connection
 * that is accepted is closed below this runtime, which shows no event for it; so it is looked for by opening a file.
 */
import * as diagnosticsChannel from 'node:diagnostics_channel';
import { errorMonitor } from 'node:events';
import * as fs from 'node:fs';
import type * as net from 'node:net';

import type * as clocks from './clocks.js';
import type * as logs from './logs.js';

export type DescriptorWatch = {
  /** Whether there was none left when last looked. */
  isExhausted: () => boolean;
  /** Looks now. */
  look: () => boolean;
  /** How often there was none left, of ten looks a second. */
  exhaustedCount: () => number;
  /** Connections that could not be opened for want of a descriptor. */
  failedConnectCount: () => number;
  stop: () => void;
};

export type WatchOptions = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  onExhausted: () => void;
  /** `failedConnectCount`: since there was none left. */
  onAvailable: (exhaustedMs: number, failedConnectCount: number) => void;
  /** Opens a file and closes it. */
  openFile?: () => void;
};

const LIMITS_FILE = '/proc/self/limits';
const LOOK_INTERVAL_MS = 100;
const OUT_OF_DESCRIPTORS: readonly unknown[] = ['EMFILE', 'ENFILE'];

function codeOf(cause: unknown): unknown {
  return cause instanceof Error && 'code' in cause ? cause.code : undefined;
}

/** The soft limit in the text of a process's limits. */
export function parseLimit(limits: string): number | null {
  const [, soft] = /^Max open files\s+(\d+|unlimited)\s/m.exec(limits) ?? [];
  if (soft === undefined) return null;
  return soft === 'unlimited' ? Infinity : Number(soft);
}

/** How many this process may have open; null where the system doesn't tell. */
export function readLimit(): number | null {
  try {
    return parseLimit(fs.readFileSync(LIMITS_FILE, 'utf8'));
  } catch {
    // Systems without this file: the caller logs that no limit is known.
    return null;
  }
}

function openNothing(): void {
  fs.closeSync(fs.openSync('/dev/null', 'r'));
}

export function watchDescriptors(options: WatchOptions): DescriptorWatch {
  const { clock, openFile = openNothing } = options;
  let exhaustedSinceMs: number | null = null;
  let exhaustedCount = 0;
  let failedConnectCount = 0;
  let failedBefore = 0;

  function isOut(): boolean {
    try {
      openFile();
      return false;
    } catch (cause) {
      return OUT_OF_DESCRIPTORS.includes(codeOf(cause));
    }
  }

  function look(): boolean {
    const isExhausted = isOut();
    if (isExhausted) {
      exhaustedCount += 1;
      if (exhaustedSinceMs !== null) return true;
      exhaustedSinceMs = clock.nowMs();
      failedBefore = failedConnectCount;
      options.onExhausted();
    } else if (exhaustedSinceMs !== null) {
      const exhaustedMs = clock.nowMs() - exhaustedSinceMs;
      exhaustedSinceMs = null;
      options.onAvailable(exhaustedMs, failedConnectCount - failedBefore);
    }
    return isExhausted;
  }

  /** Those of all client libraries, whatever they make of the error. */
  const onConnect = (message: unknown) => {
    const { socket } = message as { socket: net.Socket };
    socket.prependOnceListener(errorMonitor as unknown as 'error', (error) => {
      if (!OUT_OF_DESCRIPTORS.includes(codeOf(error))) return;
      look();
      failedConnectCount += 1;
    });
  };
  diagnosticsChannel.subscribe('net.client.socket', onConnect);
  const timer = setInterval(look, LOOK_INTERVAL_MS);
  timer.unref();
  return {
    isExhausted: () => exhaustedSinceMs !== null,
    look,
    exhaustedCount: () => exhaustedCount,
    failedConnectCount: () => failedConnectCount,
    stop: () => {
      clearInterval(timer);
      diagnosticsChannel.unsubscribe('net.client.socket', onConnect);
    },
  };
}

/** The same, with a line at the begin and at the end of a lack. */
export function watchAndLog(
  clock: Pick<clocks.Clock, 'nowMs'>,
  log: Pick<logs.Logger, 'info' | 'error'>,
): DescriptorWatch {
  // Without a descriptor left it can't be read.
  const limit = readLimit();
  return watchDescriptors({
    clock,
    onExhausted: () => log.error('descriptors-exhausted', { limit }),
    onAvailable: (exhaustedMs, failedConnectCount) => {
      log.info('descriptors-available', {
        exhaustedMs: Math.round(exhaustedMs),
        failedConnectCount,
      });
    },
  });
}
