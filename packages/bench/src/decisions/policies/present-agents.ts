/** One agent of the present policy: the queue before its upstream and what it knows of its copies. */
import { queues, serviceTimes } from '@copperlever/decisions';
import type { eviction, types } from '@copperlever/decisions';

import type * as benchTypes from '../types.js';
import type * as world from '../world.js';

const MAX_WAITING = 1500;
/** Busy slots are averaged over about this many samples, one each second. */
const BUSY_SAMPLES = 120;

export type Agent = {
  upstream: world.Upstream;
  queue: queues.WorkQueue;
  times: serviceTimes.ServiceTimeEstimator;
  /** Copies that take no new work, since they are to leave. */
  draining: Set<string>;
  /** Requests that run or wait here, by model. */
  activeCount: (model: string) => number;
  busySlots: (model: string) => number;
  /** Slots that the work of all models but this one leaves. */
  availableSlots: (model: string) => number;
  admit: (request: benchTypes.Request) => queues.Admission;
  /** Starts what may start; returns what was given up on. */
  pump: () => benchTypes.Request[];
  finish: (request: benchTypes.Request, tookMs: number) => void;
  sampleBusy: () => void;
  /** All that waits here; the queue is left empty. */
  takeWaiting: () => benchTypes.Request[];
};

const bases = new Map<string, string>();

/** The model that a target of the bench belongs to. */
export function baseOf(target: string): string {
  const known = bases.get(target);
  if (known !== undefined) return known;
  const base = target.split('-adapter-')[0] ?? target;
  bases.set(target, base);
  return base;
}

/** What a finished request tells of the times of its model. */
export function toServiceTime(
  request: benchTypes.Request,
  model: benchTypes.ModelSpec,
  tookMs: number,
): serviceTimes.ServiceTime {
  const slowness = tookMs / request.realServiceMs;
  return {
    prefillMsPerToken: model.prefillMsPerToken * slowness,
    decodeMsPerToken: model.decodeMsPerToken * slowness,
    outputShare: request.realOutputTokens / request.outputTokens,
  };
}

export function createAgent(fleet: world.World, upstream: world.Upstream): Agent {
  const { slotCount } = upstream.spec;
  const times = serviceTimes.createServiceTimeEstimator(baseOf);
  const queue = queues.createWorkQueue({ slotCount, maxWaiting: MAX_WAITING }, times);
  const active = new Map<string, benchTypes.Request>();
  const activeByModel = new Map<string, number>();
  const busy = new Map<string, number>();

  function addActive(model: string, change: number): void {
    activeByModel.set(model, (activeByModel.get(model) ?? 0) + change);
  }

  function leave(request: benchTypes.Request): void {
    active.delete(request.id);
    addActive(request.model, -1);
  }

  function isReady(item: types.WorkItem): boolean {
    const copy = upstream.copies.get((active.get(item.id) as benchTypes.Request).model);
    return copy !== undefined && copy.readyAtMs <= fleet.nowMs();
  }

  function takeExpired(): benchTypes.Request[] {
    return queue.takeExpired(fleet.nowMs()).map((item) => {
      const request = active.get(item.id) as benchTypes.Request;
      leave(request);
      return request;
    });
  }

  return {
    upstream,
    queue,
    times,
    draining: new Set(),
    activeCount: (model) => activeByModel.get(model) ?? 0,
    busySlots: (model) => busy.get(model) ?? 0,
    availableSlots: (model) => {
      let othersSlots = 0;
      busy.forEach((slots, other) => {
        if (other !== model) othersSlots += slots;
      });
      return Math.max(0, slotCount - othersSlots);
    },
    admit: (request) => {
      const readyAtMs = upstream.copies.get(request.model)?.readyAtMs ?? 0;
      const verdict = queue.admit({ ...request, readyAtMs }, fleet.nowMs());
      if (verdict.kind === 'admit') {
        active.set(request.id, request);
        addActive(request.model, 1);
      }
      return verdict;
    },
    pump: () => {
      const expired = takeExpired();
      for (;;) {
        const item = queue.startNext(fleet.nowMs(), isReady);
        if (item === null) return expired;
        fleet.start(active.get(item.id) as benchTypes.Request, upstream.spec.id);
      }
    },
    finish: (request, tookMs) => {
      const model = fleet.model(request.model);
      times.observe(request.target, toServiceTime(request, model, tookMs));
      queue.finish(request.id, fleet.nowMs());
      leave(request);
    },
    sampleBusy: () => {
      const running = new Map<string, number>();
      upstream.running.forEach(({ model }) => running.set(model, (running.get(model) ?? 0) + 1));
      upstream.copies.forEach((_, model) => {
        const old = busy.get(model) ?? 0;
        busy.set(model, old + ((running.get(model) ?? 0) - old) / BUSY_SAMPLES);
      });
      [...busy.keys()]
        .filter((model) => !upstream.copies.has(model))
        .forEach((model) => busy.delete(model));
    },
    takeWaiting: () => {
      const waiting = [...active.values()].filter((request) => queue.withdraw(request.id));
      waiting.forEach(leave);
      return waiting;
    },
  };
}

/** The copies of one agent, as the decision on what leaves sees them. */
export function listHeldCopies(
  agent: Agent,
  isFloor: (model: string) => boolean,
  spareSlotsElsewhere: (model: string) => number,
  fleet: world.World,
): eviction.HeldCopy[] {
  return [...agent.upstream.copies.values()]
    .filter((copy) => copy.readyAtMs <= fleet.nowMs())
    .map((copy) => ({
      model: copy.model,
      sizeBytes: fleet.model(copy.model).sizeBytes,
      isFloor: isFloor(copy.model),
      activeCount: agent.activeCount(copy.model),
      busySlots: agent.busySlots(copy.model),
      spareSlotsElsewhere: spareSlotsElsewhere(copy.model),
      lastUsedAtMs: copy.lastUsedAtMs,
      loadedAtMs: copy.readyAtMs === 0 ? -Infinity : copy.readyAtMs,
    }));
}
