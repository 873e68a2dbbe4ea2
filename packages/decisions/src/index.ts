/** Decisions under load: pure functions and state machines; time and randomness are arguments. */
export * as queues from './queues.js';
export * as routing from './routing.js';
export * as serviceTimes from './service-times.js';
export * as types from './types.js';
