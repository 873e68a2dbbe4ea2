/** Types of what the gateway knows about the speed and the load of upstreams. */

/** The estimates for one upstream; figures that go stale carry their age. */
export type UpstreamState = {
  /**
   * Time that work takes there relative to the service's average, learned over many answers; 1 is average, 1.6 slow.
   */
  latencyRatio: number;
  /** Time that work currently takes there relative to its own baseline; 1 where nothing recent is known. */
  transientFactor: number;
  /** Time since `transientFactor` was reported or observed; null when the last value is too old to use. */
  transientAgeMs: number | null;
  /** It has reported a transient factor at least once, which means that it shares its machine with other workloads. */
  reportsTransientFactor: boolean;
  /** The request counts that it last reported; null when it has reported none. */
  load: { runningCount: number; waitingCount: number; slots: number; ageMs: number } | null;
  /** KV cache in use and its total size, in tokens; null when unknown. */
  tokens: { used: number; total: number; ageMs: number } | null;
};

/** The load that an upstream reports in the headers of an answer. */
export type LoadSignal = {
  runningCount: number;
  waitingCount: number;
  slots: number;
  /**
   * Time that work currently takes relative to the upstream's baseline; 1 is the baseline, null where it is not
   * reported.
   */
  transientFactor: number | null;
};

/** An upstream's latency ratio as learned from answers, in the form that gateways exchange. */
export type LearnedLatencyRatio = {
  /** Logarithm of its latency ratio. */
  latencyRatioLog: number;
  /** Number of answers behind the estimate; older answers count for less than one. */
  answerCount: number;
};

/** A transient slowdown. `atMs` is when it was reported or observed, `receivedAtMs` when this gateway received it. */
export type KnownSlowdown = {
  upstreamId: string;
  factor: number;
  atMs: number;
  receivedAtMs: number;
};

export type UpstreamStates = {
  state: (upstreamId: string, nowMs: number) => UpstreamState;
  /** Applies the load signal of an answer to a request that was sent at `sentMs`. */
  applyLoadSignal: (upstreamId: string, signal: LoadSignal, sentMs: number, nowMs: number) => void;
  /** Records the time to a first chunk: the prediction for an upstream of average speed, and the actual time. */
  recordFirstChunk: (
    upstreamId: string,
    predictedMs: number,
    durationMs: number,
    nowMs: number,
  ) => void;
  /** Applies the KV cache usage of a report; both figures are in tokens. */
  applyTokenReport: (
    upstreamId: string,
    tokens: { used: number; total: number },
    nowMs: number,
  ) => void;
  /**
   * Applies the request counts of a report. These are some hundred milliseconds old and replace only counts from
   * answers that are older still.
   */
  applyLoadReport: (
    upstreamId: string,
    counts: { runningCount: number; waitingCount: number },
    nowMs: number,
  ) => void;
  /** Records the smallest interval in a run of events of a stream of the model. */
  recordEventInterval: (
    upstreamId: string,
    model: string,
    intervalMs: number,
    nowMs: number,
  ) => void;
  /** The smallest baseline interval between events there, over its models; null while unknown. */
  baselineIntervalMs: (upstreamId: string) => number | null;
  /** The latency ratios that this gateway has learned from its own answers. */
  localLatencyRatios: (nowMs: number) => readonly (LearnedLatencyRatio & { upstreamId: string })[];
  /** Applies the latency ratio that all other gateways together have learned. */
  applyRemoteLatencyRatio: (upstreamId: string, remote: LearnedLatencyRatio, nowMs: number) => void;
  /**
   * Whether an upstream of the same service has reported a transient factor, which means that their machines are
   * shared.
   */
  isOnSharedMachine: (upstreamId: string) => boolean;
  /** Marks all remote latency ratios as still valid. */
  confirmRemoteLatencyRatios: (nowMs: number) => void;
  /** Slowdowns that clearly differ from the baseline, and recent returns to it. */
  recentSlowdowns: (nowMs: number) => readonly KnownSlowdown[];
  /** Applies a slowdown that another gateway has reported. */
  applyRemoteSlowdown: (upstreamId: string, factor: number, atMs: number, nowMs: number) => void;
  /** Counts of upstreams: slow by their latency ratio, currently disturbed, and with reports that are not trusted. */
  counts: (nowMs: number) => {
    slowCount: number;
    disturbedCount: number;
    distrustedCount: number;
  };
  /** Removes upstreams that are no longer listed. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
};
