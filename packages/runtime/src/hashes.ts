/** The hashes for modules that need them from their first line on. */
import * as hashers from './hasher.js';

export const { hash32, hash64Hex } = await hashers.createHasher();
