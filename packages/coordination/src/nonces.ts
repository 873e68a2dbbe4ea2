/** Nonces: short random strings by which a writer recognises its own writes. */
import type { randoms } from '@copperlever/runtime';

const PART_LIMIT = 2 ** 31;

/** Returns 62 random bits in base 36. */
export function createNonce(random: randoms.Random): string {
  return `${random.below(PART_LIMIT).toString(36)}-${random.below(PART_LIMIT).toString(36)}`;
}
