/** The commands of the operator command line. */
export * as config from './commands/config.js';
export * as fleet from './commands/fleet.js';
export * as trace from './commands/trace.js';
