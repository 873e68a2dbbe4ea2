/** Fast non-cryptographic hashes for ranking and grouping. */
import xxhash from 'xxhash-wasm';

export type Hasher = {
  /** A 32-bit hash of `text`. */
  hash32: (text: string, seed?: number) => number;
  /** A 64-bit hash of `text` in hexadecimal. */
  hash64Hex: (text: string) => string;
};

export async function createHasher(): Promise<Hasher> {
  const { h32, h64ToString } = await xxhash();
  return {
    hash32: (text, seed = 0) => h32(text, seed),
    hash64Hex: (text) => h64ToString(text),
  };
}
