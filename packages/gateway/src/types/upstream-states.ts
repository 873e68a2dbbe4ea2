/** What is known of the speed and the load of upstreams. */

/** Each figure with its age. */
export type UpstreamState = {
  /** How long work takes there against the usual of its service, learnt over many answers; 1 is usual, 1.6 slow. */
  slowness: number;
  /** How long work takes there at this moment against its own usual; 1 where nothing recent is known. */
  momentFactor: number;
  /** Since `momentFactor` was told or observed; null when that says nothing of this moment any more. */
  momentAgeMs: number | null;
  /** It has told how long work takes at the moment, at least once: its machine is shared. */
  tellsMoment: boolean;
  /** What it last told of its requests; null when it has not. */
  load: { runningCount: number; waitingCount: number; slots: number; ageMs: number } | null;
  /** Token memory in use and in all; null when unknown. */
  tokens: { used: number; total: number; ageMs: number } | null;
};

/** What an upstream says of its load in the head of an answer. */
export type LoadWord = {
  runningCount: number;
  waitingCount: number;
  slots: number;
  /** How long work takes at the moment against its usual; 1 is usual, null where it is not told. */
  momentFactor: number | null;
};

/** What answers have shown of an upstream's slowness, as told among gateways. */
export type LearntSlowness = {
  /** Logarithm of its slowness. */
  slownessLog: number;
  /** Answers that it stands for; older ones count less. */
  answerCount: number;
};

/** `heardAtMs`: when it came to be known here. */
export type KnownMoment = { upstreamId: string; factor: number; atMs: number; heardAtMs: number };

export type UpstreamStates = {
  state: (upstreamId: string, nowMs: number) => UpstreamState;
  /** In the head of an answer to a request that was sent at `sentMs`. */
  told: (upstreamId: string, word: LoadWord, sentMs: number, nowMs: number) => void;
  /** A first event came: the prediction for an upstream of usual speed, and what it took. */
  answered: (upstreamId: string, predictedMs: number, tookMs: number, nowMs: number) => void;
  /** In a report; both in tokens. */
  reported: (upstreamId: string, tokens: { used: number; total: number }, nowMs: number) => void;
  /** In a report, whose counts are some hundred milliseconds old: they stand in for older ones of answers. */
  reportedLoad: (
    upstreamId: string,
    counts: { runningCount: number; waitingCount: number },
    nowMs: number,
  ) => void;
  /** The smallest gap of a run of events of a stream of the model. */
  observed: (upstreamId: string, model: string, gapMs: number, nowMs: number) => void;
  /** The smallest usual gap between events there; null while unknown. */
  usualGapMs: (upstreamId: string) => number | null;
  /** What this gateway's own answers have shown. */
  learnt: (nowMs: number) => readonly (LearntSlowness & { upstreamId: string })[];
  /** What those of all other gateways have shown. */
  heard: (upstreamId: string, others: LearntSlowness, nowMs: number) => void;
  /** An upstream of the same service has told how long work takes at the moment: their machines are shared. */
  isShared: (upstreamId: string) => boolean;
  /** What the others have shown still holds, unless it was just told anew. */
  confirmed: (nowMs: number) => void;
  /** Moments that are clearly not the usual, or have come back to it. */
  moments: (nowMs: number) => readonly KnownMoment[];
  /** Another gateway knew of a moment. */
  heardMoment: (upstreamId: string, factor: number, atMs: number, nowMs: number) => void;
  /** Upstreams that are slow by what was learnt, at the moment, and whose reports are not trusted. */
  counts: (nowMs: number) => {
    slowCount: number;
    disturbedCount: number;
    distrustedCount: number;
  };
  /** Forgets upstreams that are no longer listed. */
  retain: (upstreamIds: ReadonlySet<string>) => void;
};
