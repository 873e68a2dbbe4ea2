/** What an entry or an agent may hold of the bytes of others, in sum, and what is told when that is too little. */
import type * as byteBudgets from './byte-budget.js';
import type * as gauges from './gauges.js';
import type * as logs from './logs.js';
import * as processMemory from './memory.js';
import type * as metricsModule from './metrics.js';

/** What was closed or refused for its bytes, of which request, or at which path. */
export type ClosedRead = {
  reader: string;
  requestId?: string;
  path?: string;
  sizeBytes: number;
  /** Of one body or answer, or of all that the process holds of the kind. */
  bound: 'each' | 'sum';
  boundBytes: number;
};

export type DaemonHolds = {
  /** Bodies of requests, until they have ended. */
  bodies: byteBudgets.ByteBudget;
  /** Answers to requests. */
  answers: byteBudgets.ByteBudget;
  /** Long answers that wait for room, in the order in which they came. */
  waitingAnswers: Set<object>;
  /** Answers to the process's own calls, while they are read. */
  reads: byteBudgets.ByteBudget;
  noteClosed: (closed: ClosedRead) => void;
};

/** The rest is the runtime's, its heap's, and of buffers that wait for the garbage collector. */
const SHARE_OF_BODIES = 0.2;
const SHARE_OF_ANSWERS = 0.2;
const SHARE_OF_READS = 0.1;

export type DaemonHoldsDeps = {
  daemonKind: 'entry' | 'agent';
  memoryMb: number | undefined;
  log: Pick<logs.Logger, 'warn'>;
  metrics: Pick<metricsModule.Metrics, 'count'>;
};

export function createDaemonHolds(deps: DaemonHoldsDeps): DaemonHolds {
  const { daemonKind, memoryMb, log, metrics } = deps;
  return {
    bodies: processMemory.budgetOf(memoryMb, SHARE_OF_BODIES),
    answers: processMemory.budgetOf(memoryMb, SHARE_OF_ANSWERS),
    waitingAnswers: new Set(),
    reads: processMemory.budgetOf(memoryMb, SHARE_OF_READS),
    noteClosed: (closed) => {
      log.warn('read-closed', closed);
      metrics.count(`${daemonKind}.reads_closed`, 1, {
        reader: closed.reader,
        bound: closed.bound,
      });
    },
  };
}

export function holdSources(
  daemonKind: 'entry' | 'agent',
  holds: DaemonHolds,
): gauges.GaugeSource[] {
  return [
    { name: `${daemonKind}.body_bytes`, read: holds.bodies.heldBytes },
    { name: `${daemonKind}.answer_bytes`, read: holds.answers.heldBytes },
    { name: `${daemonKind}.read_bytes`, read: holds.reads.heldBytes },
  ];
}
