/** Rendezvous hashing: every process finds the same order of ids for a key, without talking. */
import * as hashes from '@copperlever/runtime/hashes';

/** Ranks `ids` for `key`; when an id leaves, only the keys that it led move. */
export function order(key: string, ids: readonly string[]): string[] {
  const scored = ids.map((id) => ({ id, score: hashes.hash32(`${key}\n${id}`) }));
  scored.sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1));
  return scored.map((entry) => entry.id);
}
