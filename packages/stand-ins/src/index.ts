/** Parts of the stand-ins that tests use in process. */
export * as completions from './engine/completions.js';
export * as engineState from './engine/engine-state.js';
