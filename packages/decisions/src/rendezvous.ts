/** Rendezvous hashing: every process computes the same order of ids for a key, without coordination. */
import * as hashes from '@copperlever/runtime/hashes';

/** Orders `ids` for `key`. When an id is removed, only the keys for which it was first are reassigned. */
export function order(key: string, ids: readonly string[]): string[] {
  const scored = ids.map((id) => ({ id, score: hashes.hash32(`${key}\n${id}`) }));
  scored.sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1));
  return scored.map((entry) => entry.id);
}
