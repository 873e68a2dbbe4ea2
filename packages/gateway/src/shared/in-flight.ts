/** Counts requests in flight at each upstream: exactly for this gateway, as last reported for the others. */

export type UpstreamLoad = { inFlightCount: number; unreadPromptTokens: number };

/** The load of one model and priority at one upstream; the model is empty for plain services. */
export type ModelLoad = UpstreamLoad & { upstreamId: string; model: string; priority: number };

/** The load at an upstream that a request of one priority would find. */
export type LoadAhead = {
  inFlightCount: number;
  /** Requests that are at least as urgent as the given priority; the others yield to it. */
  urgentCount: number;
  /** Time to prefill the pending prompts of those requests. */
  prefillMs: number;
};

export type InFlight = {
  start: (request: RequestToStart) => InFlightRequest;
  /** This gateway's requests at the upstream. */
  localCount: (upstreamId: string) => number;
  /** All gateways' requests at the upstream, and the prompts that are prefilled before a request of this priority. */
  loadAhead: (
    upstreamId: string,
    priority: number,
    nowMs: number,
    prefillMs: (model: string, tokens: number) => number,
  ) => LoadAhead;
  /** All gateways' requests at the upstream for one model. */
  modelCount: (upstreamId: string, model: string, nowMs: number) => number;
  /** Applies the loads that another source has in flight; replaces its earlier report. */
  applyRemoteLoads: (sourceId: string, loads: readonly ModelLoad[], nowMs: number) => void;
  localLoads: () => readonly ModelLoad[];
  /** The sum of all sources' reports and this gateway's own loads. */
  allLoads: (nowMs: number) => readonly ModelLoad[];
};

export type RequestToStart = {
  upstreamId: string;
  model: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Uncached tokens of its prompt. */
  promptTokens: number;
};

export type InFlightRequest = {
  /** The first chunk has arrived, so the prompt has been prefilled. */
  promptPrefilled: () => void;
  end: () => void;
};

/** Older reports say nothing about requests that take a second or two. */
const REMOTE_VALID_MS = 1_500;
/** Interval between removals of expired reports: each request reads the loads of many upstreams. */
const SWEEP_MS = 100;

type LoadsByUpstream = Map<string, ModelLoad[]>;

type Source = { loads: readonly ModelLoad[]; atMs: number };

type LoadKey = Omit<RequestToStart, 'promptTokens'>;

function isSameKey(load: ModelLoad, key: LoadKey): boolean {
  return load.model === key.model && load.priority === key.priority;
}

/** Adds to the load of one model and priority; entries that drop to zero are removed. */
function addTo(
  groups: LoadsByUpstream,
  key: LoadKey,
  countChange: number,
  tokensChange: number,
): void {
  const { upstreamId, model, priority } = key;
  const loads = groups.get(upstreamId) ?? [];
  const before = loads.find((load) => isSameKey(load, key));
  const inFlightCount = (before?.inFlightCount ?? 0) + countChange;
  const unreadPromptTokens = (before?.unreadPromptTokens ?? 0) + tokensChange;
  const rest = loads.filter((load) => load !== before);
  if (inFlightCount > 0) {
    rest.push({ upstreamId, model, priority, inFlightCount, unreadPromptTokens });
  }
  if (rest.length > 0) groups.set(upstreamId, rest);
  else groups.delete(upstreamId);
}

/** The loads of all gateways minus those of the requester, as the requester reported them. */
export function withoutLoads(
  all: readonly ModelLoad[],
  reported: readonly ModelLoad[],
): readonly ModelLoad[] {
  const keyOf = ({ upstreamId, model, priority }: LoadKey) => `${upstreamId} ${model} ${priority}`;
  const reportedByKey = new Map(reported.map((load) => [keyOf(load), load]));
  return all.flatMap((load) => {
    const local = reportedByKey.get(keyOf(load));
    if (local === undefined) return [load];
    const inFlightCount = load.inFlightCount - local.inFlightCount;
    if (inFlightCount <= 0) return [];
    const unreadPromptTokens = Math.max(0, load.unreadPromptTokens - local.unreadPromptTokens);
    return [{ ...load, inFlightCount, unreadPromptTokens }];
  });
}

/**
 * Loads are indexed by upstream, since each request reads those of every upstream that it may go to. Remote loads are
 * summed when a report arrives and not when the sum is read: the holder receives a report from each gateway several
 * times a second, and each other gateway requests the sum as often.
 */
export function createInFlight(): InFlight {
  const local: LoadsByUpstream = new Map();
  const remote = new Map<string, Source>();
  const remoteSum: LoadsByUpstream = new Map();
  let sweptMs = -Infinity;

  function addAll(loads: readonly ModelLoad[], sign: 1 | -1): void {
    loads.forEach((load) => {
      addTo(remoteSum, load, sign * load.inFlightCount, sign * load.unreadPromptTokens);
    });
  }

  function removeSource(sourceId: string): void {
    addAll(remote.get(sourceId)?.loads ?? [], -1);
    remote.delete(sourceId);
  }

  /** Removes expired reports first. */
  function currentRemoteSum(nowMs: number): LoadsByUpstream {
    if (nowMs - sweptMs < SWEEP_MS) return remoteSum;
    sweptMs = nowMs;
    for (const [sourceId, { atMs }] of remote) {
      if (nowMs - atMs > REMOTE_VALID_MS) removeSource(sourceId);
    }
    return remoteSum;
  }

  function* loadsAt(upstreamId: string, nowMs: number): Iterable<ModelLoad> {
    yield* local.get(upstreamId) ?? [];
    yield* currentRemoteSum(nowMs).get(upstreamId) ?? [];
  }

  return {
    start: (request) => {
      let pendingTokens = request.promptTokens;
      let isOpen = true;
      addTo(local, request, 1, pendingTokens);
      const promptPrefilled = () => {
        if (!isOpen) return;
        addTo(local, request, 0, -pendingTokens);
        pendingTokens = 0;
      };
      return {
        promptPrefilled,
        end: () => {
          if (!isOpen) return;
          promptPrefilled();
          isOpen = false;
          addTo(local, request, -1, 0);
        },
      };
    },
    localCount: (upstreamId) =>
      (local.get(upstreamId) ?? []).reduce((sum, load) => sum + load.inFlightCount, 0),
    loadAhead: (upstreamId, priority, nowMs, prefillMs) => {
      const sum = { inFlightCount: 0, urgentCount: 0, prefillMs: 0 };
      for (const load of loadsAt(upstreamId, nowMs)) {
        sum.inFlightCount += load.inFlightCount;
        // Engines admit and prefill more urgent requests first, regardless of arrival order.
        if (load.priority > priority) continue;
        sum.urgentCount += load.inFlightCount;
        if (load.unreadPromptTokens > 0)
          sum.prefillMs += prefillMs(load.model, load.unreadPromptTokens);
      }
      return sum;
    },
    modelCount: (upstreamId, model, nowMs) => {
      let sum = 0;
      for (const load of loadsAt(upstreamId, nowMs)) {
        if (load.model === model) sum += load.inFlightCount;
      }
      return sum;
    },
    applyRemoteLoads: (sourceId, loads, nowMs) => {
      removeSource(sourceId);
      const accepted = loads.filter(({ inFlightCount }) => inFlightCount > 0);
      remote.set(sourceId, { loads: accepted, atMs: nowMs });
      addAll(accepted, 1);
    },
    localLoads: () => [...local.values()].flat(),
    allLoads: (nowMs) => {
      const sums: LoadsByUpstream = new Map();
      const add = (load: ModelLoad) =>
        addTo(sums, load, load.inFlightCount, load.unreadPromptTokens);
      [...local.values()].flat().forEach(add);
      [...currentRemoteSum(nowMs).values()].flat().forEach(add);
      return [...sums.values()].flat();
    },
  };
}
