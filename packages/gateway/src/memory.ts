/** How much memory the parts of a gateway may hold. */
import * as processMemory from '@copperlever/runtime/memory';

import type * as settingsModule from './types/settings.js';

/** Beside bodies: the runtime and its heap, which together take up to half, and buffers that wait for the garbage collector. */
const SHARE_OF_BODIES = 0.3;
/** Beside both: 24 MB of 160 fit beside a heap at rest. */
const SHARE_OF_ANSWERS = 0.15;

/** The bytes of all request bodies that may be held at a time. */
export function bodyBytes({ memoryMb }: Pick<settingsModule.Settings, 'memoryMb'>): number {
  return Math.floor(processMemory.allowedBytes(memoryMb) * SHARE_OF_BODIES);
}

/** The bytes that may be held at a time of all answers: until one is whole, of failures while another upstream is tried, of events. */
export function answerBytes({ memoryMb }: Pick<settingsModule.Settings, 'memoryMb'>): number {
  return Math.floor(processMemory.allowedBytes(memoryMb) * SHARE_OF_ANSWERS);
}
