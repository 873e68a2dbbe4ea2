/**
 * Standard output as a stream whose writes never wait for its reader. A pipe may be shared with other processes, of which one that
 * ends makes it blocking for all; a terminal is blocking from the start, and may be stopped.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';

import type * as logSinks from './log-sink.js';

const FILE_DESCRIPTOR = 1;
/** Opened again, the same pipe has flags of its own. */
const OWN_PATH = `/proc/self/fd/${FILE_DESCRIPTOR}`;

type Terminal = { _handle?: { setBlocking?: (isBlocking: boolean) => void } };

/** Null if it is no pipe, or none that this process may open, or nobody reads it. */
function openOwnPipe(): logSinks.SinkStream | null {
  try {
    if (!fs.fstatSync(FILE_DESCRIPTOR).isFIFO()) return null;
    const { O_WRONLY, O_NONBLOCK } = fs.constants;
    // eslint-disable-next-line no-bitwise
    const fd = fs.openSync(OWN_PATH, O_WRONLY | O_NONBLOCK);
    return new net.Socket({ fd, readable: false, writable: true });
  } catch {
    return null;
  }
}

function openStream(): logSinks.SinkStream {
  if (process.stdout.isTTY) {
    // Node has no public way to say so.
    // eslint-disable-next-line no-underscore-dangle
    (process.stdout as Terminal)._handle?.setBlocking?.(false);
    return process.stdout;
  }
  return openOwnPipe() ?? process.stdout;
}

let opened: logSinks.SinkStream | null = null;

/** One stream for all of the process; another one once it is destroyed. */
export function standardOutput(): logSinks.SinkStream {
  if (opened === null || opened.destroyed) opened = openStream();
  return opened;
}
