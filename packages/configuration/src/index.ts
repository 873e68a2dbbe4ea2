/** The configuration document: schema, checks, patches and the lookup of request targets. */
export * as checks from './checks.js';
export * as patches from './patches.js';
export * as schema from './schema.js';
export * as targets from './targets.js';
