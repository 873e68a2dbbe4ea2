/** Modules of the stand-ins that tests use in the same process. */
export * as completions from './engine/completions.js';
export * as engineState from './engine/engine-state.js';
