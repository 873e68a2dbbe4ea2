/**
 * Which batch requests are held at their gateway, and when they are sent. Batch work has objectives of seconds,
 * interactive work of half a second, and at the peak of a wave the upstreams cannot serve both. Without holding,
 * batch requests that arrive just before a peak occupy slots and are prefilled while interactive requests are
 * refused, and batch requests that arrive during it are refused although they could have waited until it passes.
 */

/** The load of one upstream that could run the request. */
export type UpstreamLoad = {
  slots: number;
  /** Requests of all gateways at the upstream. */
  inFlightCount: number;
  /** Those of them that are more urgent than the request. */
  moreUrgentCount: number;
  /** Time to prefill all pending prompts there, and the request's own. */
  unreadMs: number;
  ownPrefillMs: number;
};

export type HeldRequest = {
  /** Unique among the held requests of a gateway. */
  key: string;
  /** Requests of the same group wait for the same upstreams. */
  group: string;
  /** It is sent by then, or refused with a time to retry. */
  latestStartMs: number;
  sizeBytes: number;
};

export type Capacity = {
  /** Requests that the upstreams can take now, from all gateways together. */
  room: number;
  /** Gateways that send to them, including this one. */
  gatewayCount: number;
};

export type ReleaseCause = 'capacity' | 'latest-start' | 'stopping';

export type Release = { key: string; cause: ReleaseCause };

export type BatchHolding = {
  /**
   * Decides on a new request. `full`: the memory for held requests is used up, so it is handled as if none were held.
   */
  decideArrival: (
    request: HeldRequest,
    capacity: Capacity,
    nowMs: number,
  ) => 'send' | 'hold' | 'full';
  /** Removes and returns the held requests of a group that are to be sent now, in order. */
  releaseDue: (group: string, capacity: Capacity, nowMs: number) => readonly Release[];
  /** Releases all held requests, because the gateway stops. */
  releaseAll: () => readonly Release[];
  /** Removes a held request whose caller has left. */
  withdraw: (key: string) => void;
  groups: () => readonly string[];
  /** Key of the request that is sent next. */
  first: (group: string) => string | null;
  count: () => number;
};

export type HoldingLimits = { requestsMax: number; bytesMax: number };

export type LatestStartInputs = {
  arrivedAtMs: number;
  /** How long the caller had already waited when the request arrived. */
  elapsedBeforeMs: number;
  deadlineMs: number;
  latencyObjectiveMs: number;
  /**
   * Predicted time to the event that the objective is measured by: the first event of a stream, else the whole
   * answer.
   */
  answerMs: number;
};

/**
 * At the size designed for, a gateway gets about one batch request a second and holds it for six seconds at most.
 */
export const DEFAULT_LIMITS: HoldingLimits = { requestsMax: 200, bytesMax: 16 * 1024 * 1024 };

/**
 * How often the room for held requests is checked. Each check examines the upstreams of every model with held
 * requests. Room lasts for some hundred milliseconds, until the updates of the other gateways arrive.
 */
export const RELEASE_CHECK_INTERVAL_MS = 100;
/**
 * Share of the slots that batch work leaves free for more urgent requests, which may arrive before the other gateways
 * know of the batch request.
 */
const RESERVED_SHARE = 0.05;
/** A batch prompt is not sent where pending prompts take longer than this to prefill. */
const PENDING_PREFILL_MAX_MS = 120;
/** Within this time the other gateways know of what this one sent. */
const UPDATE_DELAY_MS = 300;
/** One in ten first events takes 1.4 times its prediction or longer. */
const ANSWER_FACTOR = 1.4;
/**
 * Maximum share of the objective that is reserved for the answer. At the peak of a wave predictions exceed the
 * objective, and just these requests are the ones to hold.
 */
const ANSWER_SHARE_MAX = 0.2;
/**
 * Share of the objective that holding and answering may use. The rest is for more urgent requests that arrive after
 * the batch request was sent.
 */
const OBJECTIVE_SHARE = 0.7;

/** Batch requests that one upstream can take now without delaying more urgent ones. */
export function roomAt(load: UpstreamLoad): number {
  const reserved = Math.ceil(load.slots * RESERVED_SHARE);
  const freeSlots = load.slots - reserved - load.inFlightCount;
  if (freeSlots <= 0) return 0;
  // A prompt longer than the limit is admitted where no other is pending, since it would never be admitted otherwise.
  if (load.unreadMs <= 0) {
    return Math.min(
      freeSlots,
      Math.max(1, PENDING_PREFILL_MAX_MS / Math.max(1, load.ownPrefillMs)),
    );
  }
  const prefillable = (PENDING_PREFILL_MAX_MS - load.unreadMs) / Math.max(1, load.ownPrefillMs);
  return Math.max(0, Math.min(freeSlots, Math.floor(prefillable)));
}

/** Infinite while no upstream has more urgent work: then nothing is held. */
export function totalRoom(loads: readonly UpstreamLoad[]): number {
  if (loads.every(({ moreUrgentCount }) => moreUrgentCount === 0)) return Infinity;
  return loads.reduce((sum, load) => sum + roomAt(load), 0);
}

/** The latest time to send the request so that it is answered within its objective. */
export function latestStartMs(input: LatestStartInputs): number {
  const { arrivedAtMs, elapsedBeforeMs, latencyObjectiveMs, answerMs, deadlineMs } = input;
  const byObjectiveMs = arrivedAtMs - elapsedBeforeMs + OBJECTIVE_SHARE * latencyObjectiveMs;
  const reservedMs = Math.min(ANSWER_FACTOR * answerMs, ANSWER_SHARE_MAX * latencyObjectiveMs);
  return Math.min(byObjectiveMs, deadlineMs) - reservedMs;
}

/**
 * What a gateway may still send. Each gateway spreads its part of the room over the time that updates take; otherwise
 * all gateways would send to the same free slots as soon as they know of them.
 */
type Allowance = { count: number; atMs: number };

export function createBatchHolding(limits: HoldingLimits = DEFAULT_LIMITS): BatchHolding {
  /** In sending order: the earliest latest start first. */
  const byGroup = new Map<string, HeldRequest[]>();
  const allowances = new Map<string, Allowance>();
  let heldCount = 0;
  let heldBytes = 0;

  function refill(group: string, { room, gatewayCount }: Capacity, nowMs: number): Allowance {
    const share = room / Math.max(1, gatewayCount);
    const most = Math.max(1, share);
    const before = allowances.get(group) ?? { count: most, atMs: nowMs };
    const grown = before.count + (share * (nowMs - before.atMs)) / UPDATE_DELAY_MS;
    const allowance = { count: room < 1 ? 0 : Math.min(most, grown), atMs: nowMs };
    allowances.set(group, allowance);
    return allowance;
  }

  function remove(group: string, held: readonly HeldRequest[]): void {
    const rest = (byGroup.get(group) ?? []).filter((request) => !held.includes(request));
    if (rest.length > 0) byGroup.set(group, rest);
    else byGroup.delete(group);
    heldCount -= held.length;
    heldBytes -= held.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  }

  function insert(request: HeldRequest): void {
    const held = byGroup.get(request.group) ?? [];
    const index = held.findIndex((other) => other.latestStartMs > request.latestStartMs);
    held.splice(index === -1 ? held.length : index, 0, request);
    byGroup.set(request.group, held);
    heldCount += 1;
    heldBytes += request.sizeBytes;
  }

  return {
    decideArrival: (request, capacity, nowMs) => {
      if (capacity.room === Infinity || nowMs >= request.latestStartMs) return 'send';
      const allowance = refill(request.group, capacity, nowMs);
      if (!byGroup.has(request.group) && allowance.count >= 1) {
        allowance.count -= 1;
        return 'send';
      }
      const isFull =
        heldCount >= limits.requestsMax || heldBytes + request.sizeBytes > limits.bytesMax;
      if (isFull) return 'full';
      insert(request);
      return 'hold';
    },
    releaseDue: (group, capacity, nowMs) => {
      const held = byGroup.get(group) ?? [];
      if (capacity.room === Infinity) {
        remove(group, held);
        return held.map(({ key }) => ({ key, cause: 'capacity' }));
      }
      const allowance = refill(group, capacity, nowMs);
      const late = held.filter((request) => nowMs >= request.latestStartMs);
      const inTime = held.filter((request) => nowMs < request.latestStartMs);
      const count = Math.floor(Math.min(allowance.count, capacity.room, inTime.length));
      allowance.count -= count;
      const sent = inTime.slice(0, count);
      remove(group, [...late, ...sent]);
      return [
        ...late.map(({ key }): Release => ({ key, cause: 'latest-start' })),
        ...sent.map(({ key }): Release => ({ key, cause: 'capacity' })),
      ];
    },
    releaseAll: () => {
      const keys = [...byGroup.values()].flat().map(({ key }) => key);
      byGroup.clear();
      heldCount = 0;
      heldBytes = 0;
      return keys.map((key) => ({ key, cause: 'stopping' }));
    },
    withdraw: (key) => {
      byGroup.forEach((held, group) => {
        const found = held.find((request) => request.key === key);
        if (found !== undefined) remove(group, [found]);
      });
    },
    groups: () => [...byGroup.keys()],
    first: (group) => byGroup.get(group)?.[0]?.key ?? null,
    count: () => heldCount,
  };
}
