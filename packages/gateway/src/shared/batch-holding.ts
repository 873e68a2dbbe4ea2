/**
 * Which batch requests wait in their gateway, and when they are sent. Load: batch work with an objective of seconds
 * beside interactive work with one of half a second, at upstreams that cannot serve both at the peak of a wave. Harm
 * prevented: batch requests that arrive just before a peak occupy slots and are prefilled while interactive requests
 * are refused, and batch requests that arrive during it are refused although they could have waited until it passes.
 */

/** What is known of one upstream that could run the request. */
export type Place = {
  slots: number;
  /** Requests of all gateways there. */
  inFlightCount: number;
  /** Those among them that are more urgent than the request. */
  moreUrgentCount: number;
  /** What all unread prompts there take to read, and what the request's own takes. */
  unreadMs: number;
  ownReadMs: number;
};

export type HeldRequest = {
  /** Unique among the held requests of a gateway. */
  key: string;
  /** Requests of the same group wait for the same upstreams. */
  group: string;
  /** It is sent, or refused with a time to come back, no later. */
  latestStartMs: number;
  sizeBytes: number;
};

export type Capacity = {
  /** Requests that the upstreams can take now from all gateways together. */
  room: number;
  /** Gateways that send to them, this one included. */
  gatewayCount: number;
};

export type ReleaseCause = 'capacity' | 'latest-start' | 'stopping';

export type Release = { key: string; cause: ReleaseCause };

export type BatchHolding = {
  /** `full`: there is no memory left to hold it, so it is decided on as if nothing were held. */
  arrived: (request: HeldRequest, capacity: Capacity, nowMs: number) => 'send' | 'hold' | 'full';
  /** Held requests of a group that are to be sent now, in order; they are held no longer. */
  due: (group: string, capacity: Capacity, nowMs: number) => readonly Release[];
  /** All held requests, because the gateway stops. */
  releaseAll: () => readonly Release[];
  /** Its caller has left. */
  withdraw: (key: string) => void;
  groups: () => readonly string[];
  /** The next to be sent. */
  first: (group: string) => string | null;
  count: () => number;
};

export type HoldingLimits = { requestsMax: number; bytesMax: number };

export type LatestStartInput = {
  arrivedAtMs: number;
  /** How long the caller had been waiting when the request came. */
  elapsedBeforeMs: number;
  deadlineMs: number;
  latencyObjectiveMs: number;
  /** Predicted time to what the objective is measured by: the first event of a stream, else the whole answer. */
  answerMs: number;
};

/** At the size designed for, a gateway gets about one batch request a second and holds it for at most six. */
export const DEFAULT_LIMITS: HoldingLimits = { requestsMax: 200, bytesMax: 16 * 1024 * 1024 };

/**
 * How often it is looked whether there is room. Each look goes over the upstreams of each model with held
 * requests; room lasts for some hundred milliseconds, until the other gateways' news have come.
 */
export const LOOK_EVERY_MS = 100;
/** Slots that batch work leaves free for more urgent requests that come before the other gateways have heard of it. */
const RESERVED_SHARE = 0.05;
/** Batch prompts join no queue of prompts longer than this. */
const UNREAD_MAX_MS = 120;
/** Within this time the other gateways hear of what this one sent. */
const NEWS_MS = 300;
/** One in ten first events takes 1.4 times its prediction or longer. */
const ANSWER_FACTOR = 1.4;
/**
 * The part of the objective that is kept for the answer at most. At the peak of a wave, predictions exceed the
 * objective, and the requests that meet them are those for which holding is made.
 */
const ANSWER_SHARE_MAX = 0.2;
/**
 * The part of the objective that may be spent on holding and answering; the rest is for more urgent requests that come
 * after it was sent.
 */
const OBJECTIVE_SHARE = 0.7;

/** Requests of the batch class that one upstream can take now without delaying more urgent ones. */
export function roomAt(place: Place): number {
  const reserved = Math.ceil(place.slots * RESERVED_SHARE);
  const freeSlots = place.slots - reserved - place.inFlightCount;
  if (freeSlots <= 0) return 0;
  // A long prompt is admitted where nothing else waits to be read, or it could never be.
  if (place.unreadMs <= 0) {
    return Math.min(freeSlots, Math.max(1, UNREAD_MAX_MS / Math.max(1, place.ownReadMs)));
  }
  const readable = (UNREAD_MAX_MS - place.unreadMs) / Math.max(1, place.ownReadMs);
  return Math.max(0, Math.min(freeSlots, Math.floor(readable)));
}

/** Infinite while no upstream has more urgent work: then nothing is held back. */
export function roomAmong(places: readonly Place[]): number {
  if (places.every(({ moreUrgentCount }) => moreUrgentCount === 0)) return Infinity;
  return places.reduce((sum, place) => sum + roomAt(place), 0);
}

/** By when it has to be sent to be answered within its objective. */
export function latestStartMs(input: LatestStartInput): number {
  const { arrivedAtMs, elapsedBeforeMs, latencyObjectiveMs, answerMs, deadlineMs } = input;
  const byObjectiveMs = arrivedAtMs - elapsedBeforeMs + OBJECTIVE_SHARE * latencyObjectiveMs;
  const reservedMs = Math.min(ANSWER_FACTOR * answerMs, ANSWER_SHARE_MAX * latencyObjectiveMs);
  return Math.min(byObjectiveMs, deadlineMs) - reservedMs;
}

/**
 * Each gateway sends its part of the room within the time that news takes. Without it all gateways send to the same
 * free slots as soon as they hear of them.
 */
type Allowance = { count: number; atMs: number };

export function createBatchHolding(limits: HoldingLimits = DEFAULT_LIMITS): BatchHolding {
  /** In the order in which they are sent: the earliest latest start first. */
  const byGroup = new Map<string, HeldRequest[]>();
  const allowances = new Map<string, Allowance>();
  let heldCount = 0;
  let heldBytes = 0;

  function refill(group: string, { room, gatewayCount }: Capacity, nowMs: number): Allowance {
    const share = room / Math.max(1, gatewayCount);
    const most = Math.max(1, share);
    const before = allowances.get(group) ?? { count: most, atMs: nowMs };
    const grown = before.count + (share * (nowMs - before.atMs)) / NEWS_MS;
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
    arrived: (request, capacity, nowMs) => {
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
    due: (group, capacity, nowMs) => {
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
