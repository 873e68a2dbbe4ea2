/** Coordination parts that can be embedded one by one; each takes its ports as arguments. */
export * as claims from './claims/claims.js';
export * as claimTypes from './claims/types.js';
export * as floors from './floors/floors.js';
export * as floorTypes from './floors/types.js';
export * as faultyStore from './object-store/faulty-store.js';
export * as httpStore from './object-store/http-store.js';
export * as memoryStore from './object-store/memory-store.js';
export * as objectStoreTypes from './object-store/types.js';
export * as ownWrites from './object-store/own-writes.js';
export * as resilientStore from './object-store/resilient-store.js';
