/** Requests in flight at each upstream: this gateway's exactly, the others' as last heard. */

export type UpstreamLoad = { inFlightCount: number; unreadPromptTokens: number };

/** The load of one model and priority at one upstream; the model is empty for plain services. */
export type ModelLoad = UpstreamLoad & { upstreamId: string; model: string; priority: number };

/** What an upstream has before a request of one model and priority. */
export type LoadAhead = {
  inFlightCount: number;
  /** Those among them as urgent as the asking request or more: the others give way to it. */
  urgentCount: number;
  /** What the unread prompts of these take to read. */
  readMs: number;
};

export type InFlight = {
  started: (request: StartedRequest) => Started;
  /** This gateway's requests at the upstream. */
  ownCount: (upstreamId: string) => number;
  /** All gateways' requests at the upstream, and the prompts that are read before the asking one. */
  ahead: (
    upstreamId: string,
    priority: number,
    nowMs: number,
    readMs: (model: string, tokens: number) => number,
  ) => LoadAhead;
  /** All gateways' requests at the upstream for one model. */
  modelCount: (upstreamId: string, model: string, nowMs: number) => number;
  /** What another source has in flight; replaces what was heard from it before. */
  heard: (sourceId: string, loads: readonly ModelLoad[], nowMs: number) => void;
  ownLoads: () => readonly ModelLoad[];
  /** What was heard from all sources, and this gateway's own. */
  allLoads: (nowMs: number) => readonly ModelLoad[];
};

export type StartedRequest = {
  upstreamId: string;
  model: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Tokens of its prompt that are not cached there. */
  promptTokens: number;
};

export type Started = {
  /** The first piece has come: its prompt has been read. */
  promptRead: () => void;
  ended: () => void;
};

/** Older news says nothing about requests that take a second or two. */
const HEARD_VALID_MS = 1_500;
/** How often it is looked for old news: each request asks for the loads of many upstreams. */
const SWEEP_MS = 100;

type LoadsByUpstream = Map<string, ModelLoad[]>;

type Source = { loads: readonly ModelLoad[]; atMs: number };

type LoadKey = Omit<StartedRequest, 'promptTokens'>;

function isSameKey(load: ModelLoad, key: LoadKey): boolean {
  return load.model === key.model && load.priority === key.priority;
}

/** Adds to the load of one model and priority; what has come to nothing is dropped. */
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

/** The asker's loads taken off from those of all, as it had told them. */
export function withoutLoads(
  all: readonly ModelLoad[],
  told: readonly ModelLoad[],
): readonly ModelLoad[] {
  const keyOf = ({ upstreamId, model, priority }: LoadKey) => `${upstreamId} ${model} ${priority}`;
  const toldByKey = new Map(told.map((load) => [keyOf(load), load]));
  return all.flatMap((load) => {
    const own = toldByKey.get(keyOf(load));
    if (own === undefined) return [load];
    const inFlightCount = load.inFlightCount - own.inFlightCount;
    if (inFlightCount <= 0) return [];
    const unreadPromptTokens = Math.max(0, load.unreadPromptTokens - own.unreadPromptTokens);
    return [{ ...load, inFlightCount, unreadPromptTokens }];
  });
}

/**
 * Loads are kept by upstream: each request looks at those of every upstream that it may go to. What others have told
 * is summed when it is heard, not when it is asked for: the holder hears from each gateway several times a second, and
 * is asked as often for the sum by every other.
 */
export function createInFlight(): InFlight {
  const own: LoadsByUpstream = new Map();
  const others = new Map<string, Source>();
  const othersSum: LoadsByUpstream = new Map();
  let sweptMs = -Infinity;

  function addAll(loads: readonly ModelLoad[], sign: 1 | -1): void {
    loads.forEach((load) => {
      addTo(othersSum, load, sign * load.inFlightCount, sign * load.unreadPromptTokens);
    });
  }

  function forget(sourceId: string): void {
    addAll(others.get(sourceId)?.loads ?? [], -1);
    others.delete(sourceId);
  }

  /** What is old ends here. */
  function heardSum(nowMs: number): LoadsByUpstream {
    if (nowMs - sweptMs < SWEEP_MS) return othersSum;
    sweptMs = nowMs;
    for (const [sourceId, { atMs }] of others) {
      if (nowMs - atMs > HEARD_VALID_MS) forget(sourceId);
    }
    return othersSum;
  }

  function* loadsAt(upstreamId: string, nowMs: number): Iterable<ModelLoad> {
    yield* own.get(upstreamId) ?? [];
    yield* heardSum(nowMs).get(upstreamId) ?? [];
  }

  return {
    started: (request) => {
      let unreadTokens = request.promptTokens;
      let isOpen = true;
      addTo(own, request, 1, unreadTokens);
      const promptRead = () => {
        if (!isOpen) return;
        addTo(own, request, 0, -unreadTokens);
        unreadTokens = 0;
      };
      return {
        promptRead,
        ended: () => {
          if (!isOpen) return;
          promptRead();
          isOpen = false;
          addTo(own, request, -1, 0);
        },
      };
    },
    ownCount: (upstreamId) =>
      (own.get(upstreamId) ?? []).reduce((sum, load) => sum + load.inFlightCount, 0),
    ahead: (upstreamId, priority, nowMs, readMs) => {
      const sum = { inFlightCount: 0, urgentCount: 0, readMs: 0 };
      for (const load of loadsAt(upstreamId, nowMs)) {
        sum.inFlightCount += load.inFlightCount;
        // Engines admit and read more urgent requests first, whenever these came.
        if (load.priority > priority) continue;
        sum.urgentCount += load.inFlightCount;
        if (load.unreadPromptTokens > 0) sum.readMs += readMs(load.model, load.unreadPromptTokens);
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
    heard: (sourceId, loads, nowMs) => {
      forget(sourceId);
      const taken = loads.filter(({ inFlightCount }) => inFlightCount > 0);
      others.set(sourceId, { loads: taken, atMs: nowMs });
      addAll(taken, 1);
    },
    ownLoads: () => [...own.values()].flat(),
    allLoads: (nowMs) => {
      const sums: LoadsByUpstream = new Map();
      const add = (load: ModelLoad) =>
        addTo(sums, load, load.inFlightCount, load.unreadPromptTokens);
      [...own.values()].flat().forEach(add);
      [...heardSum(nowMs).values()].flat().forEach(add);
      return [...sums.values()].flat();
    },
  };
}
