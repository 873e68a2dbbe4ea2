/** Follows the floors of the models that are ready here, and takes those that nobody keeps. */
import type { floorTypes } from '@copperlever/coordination';
import { clocks, type logs, type metrics, type randoms } from '@copperlever/runtime';

import * as floorDecisions from '../../shared/floor-decisions.js';

export type FloorKeeperDeps = {
  clock: clocks.Clock;
  random: randoms.Random;
  log: logs.Logger;
  metrics: Pick<metrics.Metrics, 'count' | 'gauge'>;
  floors: floorTypes.Floors;
  self: { holderId: string; incarnation: number };
  /** The models, without adapters, that are ready here. */
  readyModels: () => readonly string[];
  standingOf: (holderId: string, model: string) => floorDecisions.HolderStanding;
  /** Whether the upstream stays: one that is to be emptied takes no floors. */
  isStaying: () => boolean;
  /** Whether another agent is asked to take the model over: its floor may move any moment. */
  isHandingOver?: (model: string) => boolean;
  /** Loads a model again whose floor is here and whose copy is lost. */
  reload: (model: string) => void;
};

export type FloorKeeper = {
  isFloorHere: (model: string) => boolean;
  /** The models whose floor this agent holds. */
  heldModels: () => readonly string[];
  run: (signal: AbortSignal) => Promise<void>;
  /** One round; for tests and for those who cannot wait for the next one. */
  check: () => Promise<void>;
};

type Known = {
  held: floorTypes.HeldFloor | null;
  readAgainAtMs: number;
  /** Since when the holder is seen without the copy. */
  withoutCopySinceMs: number | null;
  /** When another agent was seen to have taken the floor from this one. */
  lostAtMs: number | null;
};

const CALL_TIMEOUT_MS = 2_000;
const ROUND_MS = 1_000;
/** At plan size some 4,000 copies are read once in this time: about 70 reads a second in all. */
const READ_AGAIN_MS = 60_000;
const READ_MOVING_MS = 2_000;
/** Calls in one round: an agent that has just started reads its floors within seconds. */
const READS_PER_ROUND = 4;

export function createFloorKeeper(deps: FloorKeeperDeps): FloorKeeper {
  const { clock, floors, self } = deps;
  const known = new Map<string, Known>();

  function viewOf(model: string): floorDecisions.FloorView {
    const one = known.get(model);
    const sinceMs = one?.withoutCopySinceMs ?? null;
    return {
      held: one?.held,
      self,
      standingOf: (holderId) => deps.standingOf(holderId, model),
      wasTakenLately:
        one?.lostAtMs != null && clock.nowMs() - one.lostAtMs < floorDecisions.HOLDER_RELOAD_MS,
      withoutCopyMs: sinceMs === null ? 0 : clock.nowMs() - sinceMs,
    };
  }

  function remember(model: string, held: floorTypes.HeldFloor | null): void {
    // Spread over time, so that agents that started together do not read together for ever.
    const isMoving = deps.isHandingOver?.(model) === true;
    const periodMs = isMoving ? READ_MOVING_MS : READ_AGAIN_MS;
    const readAgainAtMs = clock.nowMs() + periodMs * (0.5 + deps.random.fraction());
    const wasMine = isMine(model);
    const isLost = wasMine && held !== null && held.floor.holderId !== self.holderId;
    const lostAtMs = isLost ? clock.nowMs() : (known.get(model)?.lostAtMs ?? null);
    const withoutCopySinceMs = known.get(model)?.withoutCopySinceMs ?? null;
    known.set(model, { held, readAgainAtMs, withoutCopySinceMs, lostAtMs });
  }

  async function read(model: string): Promise<boolean> {
    const found = await floors.read(model, clock.nowMs() + CALL_TIMEOUT_MS);
    if (found.ok) remember(model, found.val);
    return found.ok;
  }

  async function take(model: string): Promise<void> {
    const expected = known.get(model)?.held ?? null;
    const taken = await floors.acquire(model, expected, self, clock.nowMs() + CALL_TIMEOUT_MS);
    const outcome = taken.ok ? 'taken' : taken.val.kind;
    deps.metrics.count('agent.floor_moves', 1, { outcome });
    deps.log.info('floor-asked', { model, outcome });
    if (taken.ok) remember(model, taken.val);
    else await read(model);
  }

  function noteStanding(model: string): void {
    const one = known.get(model);
    if (one === undefined || one.held === null) return;
    const isWithout = deps.standingOf(one.held.floor.holderId, model) === 'without-copy';
    one.withoutCopySinceMs = isWithout ? (one.withoutCopySinceMs ?? clock.nowMs()) : null;
  }

  function isMine(model: string): boolean {
    return known.get(model)?.held?.floor.holderId === self.holderId;
  }

  function heldModels(): string[] {
    return [...known.keys()].filter(isMine);
  }

  function reloadLost(ready: readonly string[]): void {
    if (!deps.isStaying()) return;
    heldModels()
      .filter((model) => !ready.includes(model))
      .forEach(deps.reload);
  }

  function isReadDue(model: string): boolean {
    const one = known.get(model);
    if (one === undefined || one.readAgainAtMs <= clock.nowMs()) return true;
    const isMoving = deps.isHandingOver?.(model) === true;
    return isMoving && one.readAgainAtMs > clock.nowMs() + 2 * READ_MOVING_MS;
  }

  async function check(): Promise<void> {
    const ready = deps.readyModels();
    ready.forEach(noteStanding);
    reloadLost(ready);
    deps.metrics.gauge('agent.floors_held', heldModels().length);
    for (const model of ready.filter(isReadDue).slice(0, READS_PER_ROUND)) {
      // In an outage one call says enough for this round: floors stay as they are.
      if (!(await read(model))) return;
    }
    if (!deps.isStaying()) return;
    const wanted = ready.filter((model) => floorDecisions.shouldTake(viewOf(model)));
    for (const model of wanted.slice(0, READS_PER_ROUND)) await take(model);
  }

  return {
    isFloorHere: (model) => floorDecisions.mustKeep(viewOf(model)),
    heldModels,
    check,
    run: async (signal) => {
      while (!signal.aborted) {
        await check();
        await clocks.sleepUntil(clock, clock.nowMs() + ROUND_MS, signal);
      }
    },
  };
}
