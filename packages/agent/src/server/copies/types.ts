/** The copies of models and adapters that an upstream holds, as the rest of the agent sees them. */
import type { results } from '@copperlever/runtime';

import type * as causes from '../../types/causes.js';

export type CopyError = {
  kind: 'copy-not-ready';
  cause: Extract<causes.RefusalCause, 'no-memory' | 'load-failed' | 'deadline-unreachable'>;
  retryAtMs: number;
  detail: string;
};

export type Copies = {
  /** Whether the configuration in force here has the target for this upstream. */
  knows: (target: string) => boolean;
  isReady: (target: string) => boolean;
  /** Loads what the target needs; the deadline bounds the wait, not the load. */
  ensureReady: (target: string, deadlineMs: number) => Promise<results.Result<void, CopyError>>;
  /** The targets that are ready, for what this agent says of itself to the entries. */
  readyTargets: () => readonly string[];
  onChange: (listener: () => void) => void;
};
