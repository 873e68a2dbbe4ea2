/** How much memory the parts of a gateway may hold. */
import * as os from 'node:os';

import type * as settingsModule from './types/settings.js';

const BYTES_PER_MB = 1024 * 1024;
/** The entry VM that the memory options of the deploy file are made for. */
const DEFAULT_MEMORY_MB = 350;
/** Beside bodies: the runtime and its heap, which together take up to half, and buffers that wait for the garbage collector. */
const SHARE_OF_BODIES = 0.3;

/** The bytes of all request bodies that may be held at a time. */
export function bodyBytes({ memoryMb }: Pick<settingsModule.Settings, 'memoryMb'>): number {
  const vmMb = os.totalmem() / BYTES_PER_MB;
  const allowedMb = memoryMb ?? Math.min(vmMb, DEFAULT_MEMORY_MB);
  return Math.floor(allowedMb * BYTES_PER_MB * SHARE_OF_BODIES);
}
