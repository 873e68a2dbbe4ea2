/**
 * Reads the whole body of a request, up to a size limit and within the gateway's budget for bodies. Room is taken before the
 * bytes are read: at once where the request states its length, as the body grows elsewhere.
 */
import type * as http from 'node:http';

import type { clocks } from '@copperlever/runtime';

import type * as byteBudgets from '@copperlever/runtime/byte-budget';
import * as byteCollectors from '@copperlever/runtime/byte-collector';
import type * as unsentRequests from './unsent-requests.js';

/** `release` gives the room of the bytes back, once the request has ended. */
export type Body =
  | { kind: 'whole'; bytes: Buffer; release: () => void }
  | { kind: 'too-large' }
  | { kind: 'no-room'; wantedBytes: number }
  | { kind: 'too-slow' }
  /** A stop came to its end before. */
  | { kind: 'stopping' }
  | { kind: 'caller-gone' };

export type BodyLimits = {
  clock: Pick<clocks.Clock, 'schedule'>;
  bytesMax: number;
  budget: byteBudgets.ByteBudget;
  /** A body that isn't whole by then is given up. */
  deadlineMs: number;
  unsent: Pick<unsentRequests.UnsentRequests, 'add'>;
};

/** The length that the request states; null for one in chunks. */
export function statedBytes(request: http.IncomingMessage): number | null {
  if (request.headers['transfer-encoding'] !== undefined) return null;
  return Number(request.headers['content-length'] ?? 0);
}

export function readBody(request: http.IncomingMessage, limits: BodyLimits): Promise<Body> {
  const { bytesMax } = limits;
  const lengthBytes = statedBytes(request);
  if (lengthBytes !== null && lengthBytes > bytesMax) return Promise.resolve({ kind: 'too-large' });
  const collector = byteCollectors.createByteCollector(limits, lengthBytes);
  if (!collector.hasRoom()) {
    return Promise.resolve({ kind: 'no-room', wantedBytes: lengthBytes ?? 0 });
  }
  return new Promise((resolve) => {
    let isSettled = false;
    function settle(body: Body): void {
      if (isSettled) return;
      isSettled = true;
      cancel();
      remove();
      if (body.kind !== 'whole') collector.release();
      resolve(body);
    }
    let remove = () => {};
    const cancel = limits.clock.schedule(limits.deadlineMs, () => settle({ kind: 'too-slow' }));
    remove = limits.unsent.add(() => settle({ kind: 'stopping' }));
    if (isSettled) return;
    request.on('data', (chunk: Buffer) => {
      if (isSettled) return;
      if (collector.sizeBytes() + chunk.length > bytesMax) settle({ kind: 'too-large' });
      else if (!collector.push(chunk)) settle({ kind: 'no-room', wantedBytes: chunk.length });
    });
    request.once('end', () => {
      settle({ kind: 'whole', bytes: collector.bytes(), release: collector.release });
    });
    request.once('error', () => settle({ kind: 'caller-gone' }));
    request.once('close', () => settle({ kind: 'caller-gone' }));
  });
}
