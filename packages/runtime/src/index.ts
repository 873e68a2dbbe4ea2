/** Modules shared by all daemons, exported as namespaces: `import { clocks } from '@copperlever/runtime'`. */
export * as boundedLogs from './bounded-logs.js';
export * as clocks from './clocks.js';
export * as connectionEnds from './connection-ends.js';
export * as daemon from './daemon.js';
export * as descriptors from './descriptors.js';
export * as gauges from './gauges.js';
export * as logLines from './log-lines.js';
export * as logSinks from './log-sink.js';
export * as logs from './logs.js';
export * as metrics from './metrics.js';
export * as randoms from './randoms.js';
export * as results from './results.js';
export * as settings from './settings.js';
export * as supervisor from './supervisor.js';
