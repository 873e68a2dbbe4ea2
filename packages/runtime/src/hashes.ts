/** Hash functions initialised at import, for modules that use them while they load. */
import * as hashers from './hasher.js';

export const { hash32, hash64Hex } = await hashers.createHasher();
