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

type Source = { loads: readonly ModelLoad[]; atMs: number };

export function createInFlight(): InFlight {
  const own = new Map<string, ModelLoad>();
  const others = new Map<string, Source>();

  type LoadKey = Omit<StartedRequest, 'promptTokens'>;

  function toKey({ upstreamId, model, priority }: LoadKey): string {
    return `${upstreamId} ${model} ${priority}`;
  }

  function add(load: LoadKey, countChange: number, tokensChange: number): void {
    const { upstreamId, model, priority } = load;
    const key = toKey(load);
    const before = own.get(key);
    const inFlightCount = (before?.inFlightCount ?? 0) + countChange;
    const unreadPromptTokens = (before?.unreadPromptTokens ?? 0) + tokensChange;
    if (inFlightCount <= 0) own.delete(key);
    else own.set(key, { upstreamId, model, priority, inFlightCount, unreadPromptTokens });
  }

  function* allLoads(nowMs: number, exceptId: string | null): Iterable<ModelLoad> {
    yield* own.values();
    for (const [sourceId, { loads, atMs }] of others) {
      if (sourceId !== exceptId && nowMs - atMs <= HEARD_VALID_MS) yield* loads;
    }
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
    ownCount: (upstreamId) => {
      let sum = 0;
      for (const load of own.values())
        if (load.upstreamId === upstreamId) sum += load.inFlightCount;
      return sum;
    },
    ahead: (upstreamId, priority, nowMs, readMs) => {
      const sum = { inFlightCount: 0, urgentCount: 0, readMs: 0 };
      for (const load of allLoads(nowMs, null)) {
        if (load.upstreamId !== upstreamId) continue;
        sum.inFlightCount += load.inFlightCount;
        // Engines admit and read more urgent requests first, whenever these came.
        if (load.priority > priority) continue;
        sum.urgentCount += load.inFlightCount;
        sum.readMs += readMs(load.model, load.unreadPromptTokens);
      }
      return sum;
    },
    modelCount: (upstreamId, model, nowMs) => {
      let sum = 0;
      for (const load of allLoads(nowMs, null)) {
        if (load.upstreamId === upstreamId && load.model === model) sum += load.inFlightCount;
      }
      return sum;
    },
    heard: (sourceId, loads, nowMs) => {
      others.set(sourceId, { loads, atMs: nowMs });
    },
    ownLoads: () => [...own.values()],
    loadsWithout: (exceptId, nowMs) => {
      const sums = new Map<string, ModelLoad>();
      for (const load of allLoads(nowMs, exceptId)) {
        const key = toKey(load);
        const sum = sums.get(key) ?? { ...load, inFlightCount: 0, unreadPromptTokens: 0 };
        sum.inFlightCount += load.inFlightCount;
        sum.unreadPromptTokens += load.unreadPromptTokens;
        sums.set(key, sum);
      }
      return [...sums.values()];
    },
  };
}
