/** Requests in flight at each upstream: this gateway's exactly, the others' as last heard. */

export type UpstreamLoad = { inFlightCount: number; unreadPromptTokens: number };

export type InFlight = {
  started: (upstreamId: string, promptTokens: number) => Started;
  own: (upstreamId: string) => UpstreamLoad;
  /** Own and others' together. */
  total: (upstreamId: string, nowMs: number) => UpstreamLoad;
  /** What one or all other gateways have in flight; replaces what was heard from `sourceId` before. */
  heard: (sourceId: string, loads: ReadonlyMap<string, UpstreamLoad>, nowMs: number) => void;
  ownLoads: () => ReadonlyMap<string, UpstreamLoad>;
  totalCount: () => number;
};

export type Started = {
  /** The first piece has come: its prompt has been read. */
  promptRead: () => void;
  ended: () => void;
};

/** Older news says nothing about requests that take a second or two. */
const HEARD_VALID_MS = 1_500;

const NONE: UpstreamLoad = { inFlightCount: 0, unreadPromptTokens: 0 };

export function createInFlight(): InFlight {
  const own = new Map<string, UpstreamLoad>();
  const others = new Map<string, { loads: ReadonlyMap<string, UpstreamLoad>; atMs: number }>();
  let count = 0;

  function add(upstreamId: string, countChange: number, tokensChange: number): void {
    const before = own.get(upstreamId) ?? NONE;
    const inFlightCount = before.inFlightCount + countChange;
    const unreadPromptTokens = before.unreadPromptTokens + tokensChange;
    if (inFlightCount <= 0) own.delete(upstreamId);
    else own.set(upstreamId, { inFlightCount, unreadPromptTokens });
  }

  return {
    started: (upstreamId, promptTokens) => {
      let unreadTokens = promptTokens;
      let isOpen = true;
      count += 1;
      add(upstreamId, 1, promptTokens);
      const promptRead = () => {
        add(upstreamId, 0, -unreadTokens);
        unreadTokens = 0;
      };
      return {
        promptRead,
        ended: () => {
          if (!isOpen) return;
          isOpen = false;
          promptRead();
          count -= 1;
          add(upstreamId, -1, 0);
        },
      };
    },
    own: (upstreamId) => own.get(upstreamId) ?? NONE,
    total: (upstreamId, nowMs) => {
      let { inFlightCount, unreadPromptTokens } = own.get(upstreamId) ?? NONE;
      others.forEach(({ loads, atMs }) => {
        const load = loads.get(upstreamId);
        if (load === undefined || nowMs - atMs > HEARD_VALID_MS) return;
        inFlightCount += load.inFlightCount;
        unreadPromptTokens += load.unreadPromptTokens;
      });
      return { inFlightCount, unreadPromptTokens };
    },
    heard: (sourceId, loads, nowMs) => {
      others.set(sourceId, { loads, atMs: nowMs });
    },
    ownLoads: () => own,
    totalCount: () => count,
  };
}
