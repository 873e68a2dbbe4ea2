/**
 * Bounds the bytes that a process holds for one purpose at a time, in sum. Large holders get a part of it only, so that a burst of
 * them leaves room for small ones.
 */
export type ByteBudget = {
  /** Takes `bytes` for a holder of `heldBytes` already; false, and nothing taken, if there is no room. */
  take: (bytes: number, heldBytes: number) => boolean;
  /** Whether it could take them after `freedBytes` were given back. */
  wouldFit: (bytes: number, heldBytes: number, freedBytes: number) => boolean;
  give: (bytes: number) => void;
  heldBytes: () => number;
  maxBytes: number;
};

/** More than this counts as large; prompts of thousands of words are below it. */
const SMALL_BYTES_MAX = 65_536;
const SHARE_OF_LARGE = 0.9;

export function createByteBudget(maxBytes: number): ByteBudget {
  let takenBytes = 0;

  function wouldFit(bytes: number, heldBytes: number, freedBytes: number): boolean {
    const isLarge = heldBytes + bytes > SMALL_BYTES_MAX;
    const limitBytes = isLarge ? maxBytes * SHARE_OF_LARGE : maxBytes;
    return takenBytes - freedBytes + bytes <= limitBytes;
  }

  return {
    take: (bytes, heldBytes) => {
      if (!wouldFit(bytes, heldBytes, 0)) return false;
      takenBytes += bytes;
      return true;
    },
    wouldFit,
    give: (bytes) => {
      takenBytes -= bytes;
    },
    heldBytes: () => takenBytes,
    maxBytes,
  };
}
