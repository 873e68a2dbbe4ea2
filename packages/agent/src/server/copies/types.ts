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
  /** Ready for new work; a copy that is about to leave takes none. */
  isReady: (target: string) => boolean;
  /** Loads what the target needs; the deadline bounds the wait, not the load. */
  ensureReady: (target: string, deadlineMs: number) => Promise<results.Result<void, CopyError>>;
  /** Keeps what the target runs on in memory until the function that comes back is called. */
  hold: (target: string) => () => void;
  /** The targets that are ready, for what this agent says of itself to the entries. */
  readyTargets: () => readonly string[];
  /** The upstream says that it lacks a copy of the target. Undefined where it holds no copies. */
  noteMissing?: (target: string) => void;
  /** The engine's process as last reported. Undefined where the upstream reports none. */
  engineIncarnation?: () => number | null;
  onChange: (listener: () => void) => void;
};
