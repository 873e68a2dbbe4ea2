/** Fast non-cryptographic hashes for ranking and grouping. */
import xxhash from 'xxhash-wasm';

export type Hasher = {
  /** A 32-bit hash of `text`. */
  hash32: (text: string, seed?: number) => number;
  /** A 64-bit hash of `text` in hexadecimal. */
  hash64Hex: (text: string) => string;
  /** A 64-bit hash of `text` followed by `bytes`, without a copy of them all. */
  hash64HexOfBytes: (text: string, bytes: Uint8Array) => string;
};

/** The hash's own memory grows to the largest piece that it has got at once, and never shrinks. */
const PIECE_BYTES = 65_536;
const HEX_RADIX = 16;
const HEX_DIGITS = 16;

export async function createHasher(): Promise<Hasher> {
  const { h32, h64ToString, create64 } = await xxhash();
  return {
    hash32: (text, seed = 0) => h32(text, seed),
    hash64Hex: (text) => h64ToString(text),
    hash64HexOfBytes: (text, bytes) => {
      const hash = create64().update(text);
      for (let from = 0; from < bytes.length; from += PIECE_BYTES) {
        hash.update(bytes.subarray(from, from + PIECE_BYTES));
      }
      return hash.digest().toString(HEX_RADIX).padStart(HEX_DIGITS, '0');
    },
  };
}
