/** The gateway's public parts. */
export * as daemon from './daemon.js';
export type * as dialects from './types/dialects.js';
export type * as logEvents from './types/log-events.js';
export type * as fleet from './types/fleet.js';
export * as settings from './types/settings.js';
export type * as stores from './types/stores.js';
export type * as upstreamStates from './types/upstream-states.js';
