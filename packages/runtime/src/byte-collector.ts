/**
 * Collects a body in one buffer, within a budget: of the stated length, or one that doubles as it fills. Pieces of a few bytes so
 * cost no more than large ones.
 */
import type * as byteBudgets from './byte-budget.js';

export type ByteCollector = {
  /** Takes the room for a body whose length is stated; false if there is none. */
  hasRoom: () => boolean;
  /** False if there is no room for the chunk. */
  push: (chunk: Buffer) => boolean;
  bytes: () => Buffer;
  sizeBytes: () => number;
  /** Gives the room of all bytes back. */
  release: () => void;
};

export type CollectorLimits = { bytesMax: number; budget: byteBudgets.ByteBudget };

const FIRST_BUFFER_BYTES = 4_096;

/** `lengthBytes`: as stated by the sender; null for a body in chunks. */
export function createByteCollector(
  { budget, bytesMax }: CollectorLimits,
  lengthBytes: number | null,
): ByteCollector {
  let buffer: Buffer = Buffer.alloc(0);
  let sizeBytes = 0;
  let takenBytes = 0;

  function take(bytes: number): boolean {
    if (!budget.take(bytes, takenBytes)) return false;
    takenBytes += bytes;
    return true;
  }

  /** Room for both buffers is needed while one is copied into the other. */
  function grow(neededBytes: number): boolean {
    const doubledBytes = Math.max(FIRST_BUFFER_BYTES, 2 * buffer.length);
    const grownBytes = Math.max(neededBytes, Math.min(bytesMax, doubledBytes));
    if (!take(grownBytes)) return false;
    const grown = Buffer.allocUnsafeSlow(grownBytes);
    buffer.copy(grown, 0, 0, sizeBytes);
    budget.give(buffer.length);
    takenBytes -= buffer.length;
    buffer = grown;
    return true;
  }

  return {
    hasRoom: () => lengthBytes === null || take(lengthBytes),
    push: (chunk) => {
      const isOnlyChunk = lengthBytes === chunk.length && sizeBytes === 0;
      if (isOnlyChunk) buffer = chunk;
      else if (lengthBytes !== null && sizeBytes === 0)
        buffer = Buffer.allocUnsafeSlow(lengthBytes);
      else if (sizeBytes + chunk.length > buffer.length && !grow(sizeBytes + chunk.length)) {
        return false;
      }
      if (!isOnlyChunk) chunk.copy(buffer, sizeBytes);
      sizeBytes += chunk.length;
      return true;
    },
    bytes: () => buffer.subarray(0, sizeBytes),
    sizeBytes: () => sizeBytes,
    release: () => {
      budget.give(takenBytes);
      takenBytes = 0;
    },
  };
}
