/** How much memory the parts of a gateway may hold. */
import * as processMemory from '@copperlever/runtime/memory';

import type * as settingsModule from './types/settings.js';

/** Beside bodies: the runtime and its heap, which together take up to half, and buffers that wait for the garbage collector. */
const SHARE_OF_BODIES = 0.3;

/** The bytes of all request bodies that may be held at a time. */
export function bodyBytes({ memoryMb }: Pick<settingsModule.Settings, 'memoryMb'>): number {
  return Math.floor(processMemory.allowedBytes(memoryMb) * SHARE_OF_BODIES);
}
