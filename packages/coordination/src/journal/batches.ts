/** Batches of journal events: their keys in the object store and their encoding. */
import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as types from './types.js';

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

/** The event that records in a batch that the process dropped `count` events before it. */
export const DROPPED_EVENT = 'journal-events-dropped';

/** The key prefix of all batches about the requests of one minute. */
export function minutePrefix(minute: number): string {
  return `journal/${minute}/`;
}

/** The key prefix of the batches that one process recorded about the requests of one minute. */
export function memberPrefix(minute: number, memberId: string): string {
  return `${minutePrefix(minute)}${memberId}/`;
}

export function batchKey(
  minute: number,
  memberId: string,
  incarnation: number,
  sequence: number,
): string {
  return `${memberPrefix(minute, memberId)}${incarnation}-${sequence}`;
}

export function encodeLine(event: types.JournalEvent): string {
  return JSON.stringify(event);
}

/** Compresses outside the event loop: a full batch takes tens of milliseconds, which would delay tokens. */
export function compress(lines: readonly string[]): Promise<Buffer> {
  return gzip(Buffer.from(lines.join('\n')));
}

/** Compresses on the event loop, for tests on a fake clock, which does not wait for other threads. */
export async function compressInline(lines: readonly string[]): Promise<Buffer> {
  return zlib.gzipSync(Buffer.from(lines.join('\n')));
}

/** Undefined if the object is not a batch. */
export async function decompress(
  value: Buffer,
): Promise<readonly types.JournalEvent[] | undefined> {
  try {
    const text = (await gunzip(value)).toString('utf8');
    return text.split('\n').map((line) => JSON.parse(line) as types.JournalEvent);
  } catch {
    return undefined;
  }
}
