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
  /** What was heard from all sources but `exceptId`, and this gateway's own. */
  loadsWithout: (exceptId: string, nowMs: number) => readonly ModelLoad[];
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

type LoadsByUpstream = Map<string, ModelLoad[]>;

type Source = { byUpstream: LoadsByUpstream; atMs: number };

type LoadKey = Omit<StartedRequest, 'promptTokens'>;

function isSameKey(load: ModelLoad, key: LoadKey): boolean {
  return load.model === key.model && load.priority === key.priority;
}

function groupByUpstream(loads: readonly ModelLoad[]): LoadsByUpstream {
  const groups: LoadsByUpstream = new Map();
  loads.forEach((load) => {
    const group = groups.get(load.upstreamId);
    if (group === undefined) groups.set(load.upstreamId, [load]);
    else group.push(load);
  });
  return groups;
}

/** Loads are kept by upstream: each request looks at those of every upstream that it may go to. */
export function createInFlight(): InFlight {
  const own: LoadsByUpstream = new Map();
  const others = new Map<string, Source>();

  function add(key: LoadKey, countChange: number, tokensChange: number): void {
    const { upstreamId, model, priority } = key;
    const loads = own.get(upstreamId) ?? [];
    const before = loads.find((load) => isSameKey(load, key));
    const inFlightCount = (before?.inFlightCount ?? 0) + countChange;
    const unreadPromptTokens = (before?.unreadPromptTokens ?? 0) + tokensChange;
    const rest = loads.filter((load) => load !== before);
    if (inFlightCount > 0) {
      rest.push({ upstreamId, model, priority, inFlightCount, unreadPromptTokens });
    }
    if (rest.length > 0) own.set(upstreamId, rest);
    else own.delete(upstreamId);
  }

  function* sources(nowMs: number, exceptId: string | null): Iterable<LoadsByUpstream> {
    yield own;
    for (const [sourceId, { byUpstream, atMs }] of others) {
      if (sourceId !== exceptId && nowMs - atMs <= HEARD_VALID_MS) yield byUpstream;
    }
  }

  function* loadsAt(upstreamId: string, nowMs: number): Iterable<ModelLoad> {
    for (const byUpstream of sources(nowMs, null)) yield* byUpstream.get(upstreamId) ?? [];
  }

  return {
    started: (request) => {
      let unreadTokens = request.promptTokens;
      let isOpen = true;
      add(request, 1, unreadTokens);
      const promptRead = () => {
        if (!isOpen) return;
        add(request, 0, -unreadTokens);
        unreadTokens = 0;
      };
      return {
        promptRead,
        ended: () => {
          if (!isOpen) return;
          promptRead();
          isOpen = false;
          add(request, -1, 0);
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
      others.set(sourceId, { byUpstream: groupByUpstream(loads), atMs: nowMs });
    },
    ownLoads: () => [...own.values()].flat(),
    loadsWithout: (exceptId, nowMs) => {
      const sums = new Map<string, ModelLoad>();
      for (const byUpstream of sources(nowMs, exceptId)) {
        for (const load of [...byUpstream.values()].flat()) {
          const key = `${load.upstreamId} ${load.model} ${load.priority}`;
          const sum = sums.get(key);
          sums.set(key, {
            ...load,
            inFlightCount: load.inFlightCount + (sum?.inFlightCount ?? 0),
            unreadPromptTokens: load.unreadPromptTokens + (sum?.unreadPromptTokens ?? 0),
          });
        }
      }
      return [...sums.values()];
    },
  };
}
