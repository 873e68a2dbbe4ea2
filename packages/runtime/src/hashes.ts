/** Fast hashes for ranking and grouping; not for secrets. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A 32-bit hash of `text`. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** A 64-bit hash of `text` in hexadecimal. */
export function hash64Hex(text: string): string {
  return hasher.h64ToString(text);
}
