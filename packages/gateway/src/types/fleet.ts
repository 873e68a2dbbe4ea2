/** What the operators configure, and what upstreams say of themselves. */

/**
 * What may be repeated. `idempotent`: may run more than once. `at-most-once`: may not. `stream`: an
 * answer in events, at most once unless its route lets a stream be resumed.
 */
export type RouteKind = 'idempotent' | 'at-most-once' | 'stream';

export type RouteTarget = { service: string; weight: number };

export type Route = {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  targets: readonly RouteTarget[];
  /** The most upstreams that may run one request. */
  maxAttempts: number;
  timeoutMs: number;
  latencyObjectiveMs: number;
  /** The longest pause between events with which an answer is in time; null where none is declared. */
  pauseObjectiveMs: number | null;
  /** 0 is the most urgent. */
  priority: number;
  isResumable: boolean;
  /** Anyone may call it: no API key is asked for. */
  isPublic: boolean;
};

/** What an organisation may have run by all gateways together. */
export type Quota = {
  unit: 'requests' | 'tokens';
  perSecond: number;
  /** What it may have at once on top of that. */
  burst: number;
  /** What a request counts that says nothing of its tokens. */
  plainTokens: number;
};

/** On whose behalf requests come: known by the API keys that callers send. */
export type Organisation = {
  name: string;
  apiKeys: readonly string[];
  /** Goes before the priority of a route; null where the route's own holds. */
  priority: number | null;
  /** Null without a limit. */
  quota: Quota | null;
};

export type ModelSpec = {
  name: string;
  sizeMb: number;
  /** How long a load takes from the weight store, from the upstream's disk, from its host memory. */
  storeLoadMs: number;
  diskLoadMs: number;
  hostLoadMs: number;
  adapterCount: number;
  adapterSizeMb: number;
};

export type EngineSpec = {
  slots: number;
  /** Accelerator memory for weights and adapters, and the adapters that fit beside them. */
  weightsMb: number;
  adaptersMax: number;
  /** Host memory that keeps copies of weights. */
  hostMb: number;
  diskMb: number;
  /** Loads that the weight store allows over all upstreams. */
  loadsPerSecond: number;
  models: readonly ModelSpec[];
};

export type Service = {
  name: string;
  /** Connections that one upstream takes from all callers. */
  connectionsMax: number;
  /** Null for a service without models. */
  engine: EngineSpec | null;
};

export type ClientLimits = {
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

export type FleetConfig = {
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  limits: ClientLimits;
  /** Null where callers are not told apart and need no key. */
  organisations: readonly Organisation[] | null;
};

export type ResidentModel = { name: string; version: number; adapters: readonly string[] };

/** An upstream as it describes itself in the platform's list. */
export type UpstreamRecord = {
  /**
   * One start of the upstream: one that starts again has another id, whatever the platform calls it. So nothing
   * that was believed of the start before is believed of this one: copies, order counts, caches, connections.
   */
  upstreamId: string;
  /** What the platform calls it; may stay the same from one start to the next. */
  name: string;
  service: string;
  /**
   * Of its software, not of weights; empty where it states none. Versions have no order. Streams of two versions cannot be
   * joined.
   */
  softwareVersion: string;
  address: string;
  failureDomain: string;
  slots: number;
  state: 'ready' | 'draining';
  models: readonly ResidentModel[];
  /** Models of which it keeps copies in host memory and on disk. */
  hostModels: readonly string[];
  diskModels: readonly string[];
};

/** What an upstream answers when it is asked for its state. */
export type UpstreamReport = {
  models: readonly ResidentModel[];
  /** An order is being carried out. */
  isBusy: boolean;
  /** Orders that the upstream has taken since its start. */
  orderCount: number;
  runningCount: number;
  waitingCount: number;
  /** KV cache in use that cannot be reclaimed, and in total; null where it is not reported. */
  tokens: { used: number; total: number } | null;
  /** Adapters that are being fetched, as `model/adapter`. */
  arrivingAdapters: readonly string[];
  hostModels: readonly string[];
  diskModels: readonly string[];
};
