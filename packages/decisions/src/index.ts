/** Decisions under load: pure functions and state machines. Time and randomness are passed as arguments. */
export * as demands from './demands.js';
export * as displacing from './displacing.js';
export * as fairShares from './fair-shares.js';
export * as loadAllowance from './load-allowance.js';
export * as placing from './placing.js';
export * as quarantine from './quarantine.js';
export * as queues from './queues.js';
export * as rendezvous from './rendezvous.js';
export * as retryBudgets from './retry-budgets.js';
export * as routing from './routing.js';
export * as serviceTimes from './service-times.js';
export * as shifting from './shifting.js';
export * as turns from './turns.js';
export * as types from './types.js';
export * as upstreamPaces from './upstream-paces.js';
export * as urgency from './urgency.js';
