/** Decisions under load: pure functions and state machines. Time and randomness are passed as arguments. */
export * as demands from './demands.js';
export * as eviction from './eviction.js';
export * as fairShares from './fair-shares.js';
export * as loadAllowance from './load-allowance.js';
export * as placement from './placement.js';
export * as queues from './queues.js';
export * as rendezvous from './rendezvous.js';
export * as retryBudgets from './retry-budgets.js';
export * as routing from './routing.js';
export * as serviceTimes from './service-times.js';
export * as longestTimes from './longest-times.js';
export * as moveGain from './move-gain.js';
export * as modelRotation from './model-rotation.js';
export * as types from './types.js';
export * as latencyRatios from './latency-ratios.js';
export * as urgency from './urgency.js';
