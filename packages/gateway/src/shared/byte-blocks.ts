/**
 * Collects bytes in blocks that are filled one after the other. Pieces may be single bytes, and a buffer for each would take a hundred
 * times its size; one buffer for all would be copied as it grows.
 */
export type ByteBlocks = {
  push: (piece: Buffer) => void;
  /** The last bytes, at most that many. */
  tail: (bytes: number) => Buffer;
  /** Removes and returns all bytes, in order. */
  takeAll: () => Buffer[];
  sizeBytes: () => number;
  /** What they take in memory. */
  heldBytes: () => number;
};

/** Blocks for small pieces grow up to this size, so that at most half of what is held is empty. */
const SMALL_BLOCK_BYTES_MAX = 16_384;

type Block = { buffer: Buffer; usedBytes: number };

export function createByteBlocks(): ByteBlocks {
  let blocks: Block[] = [];
  let sizeBytes = 0;
  let heldBytes = 0;

  function addBlock(piece: Buffer): void {
    const lengthBytes = Math.max(piece.length, Math.min(sizeBytes, SMALL_BLOCK_BYTES_MAX));
    const buffer = Buffer.allocUnsafeSlow(lengthBytes);
    piece.copy(buffer);
    blocks.push({ buffer, usedBytes: piece.length });
    heldBytes += lengthBytes;
  }

  return {
    push: (piece) => {
      const last = blocks.at(-1);
      let copiedBytes = 0;
      if (last !== undefined) {
        copiedBytes = piece.copy(last.buffer, last.usedBytes);
        last.usedBytes += copiedBytes;
      }
      if (copiedBytes < piece.length) addBlock(piece.subarray(copiedBytes));
      sizeBytes += piece.length;
    },
    tail: (bytes) => {
      const ends: Buffer[] = [];
      let missingBytes = Math.min(bytes, sizeBytes);
      for (let at = blocks.length - 1; missingBytes > 0; at -= 1) {
        const { buffer, usedBytes } = blocks[at] as Block;
        const end = buffer.subarray(Math.max(0, usedBytes - missingBytes), usedBytes);
        ends.unshift(end);
        missingBytes -= end.length;
      }
      return Buffer.concat(ends);
    },
    takeAll: () => {
      const taken = blocks.map(({ buffer, usedBytes }) => buffer.subarray(0, usedBytes));
      blocks = [];
      sizeBytes = 0;
      heldBytes = 0;
      return taken;
    },
    sizeBytes: () => sizeBytes,
    heldBytes: () => heldBytes,
  };
}
