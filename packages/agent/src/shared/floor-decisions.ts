/**
 * Who keeps the last copy of a model.
 *
 * Load: many models on fewer accelerators, where copies come and go by the minute. Harm prevented:
 * two agents each unload a copy in the belief that the other keeps one, and the model is nowhere.
 */
import type { floorTypes } from '@copperlever/coordination';

/** What this agent knows of a floor's holder. */
export type HolderStanding =
  /** It is there, stays, and says that it has the model ready. */
  | 'keeping'
  /** It is there and has not got the model, or not yet. */
  | 'without-copy'
  /** It is gone, or leaving, or its upstream is to be emptied. */
  | 'going';

export type FloorView = {
  /** Null: nobody holds it. Undefined: it was never read. */
  held: floorTypes.HeldFloor | null | undefined;
  self: { holderId: string; incarnation: number };
  standingOf: (holderId: string) => HolderStanding;
  /**
   * The floor was here and another agent took it a short time ago. It had the model ready then, though
   * the membership may not say so yet.
   */
  wasTakenLately: boolean;
  /** How long the holder has been without the copy. */
  withoutCopyMs: number;
};

/**
 * A holder that lost its copy, to a restart of its engine, loads it again within this time. After it
 * the floor goes to whoever has the model ready.
 */
export const HOLDER_RELOAD_MS = 30_000;

/** Whether an agent that has the model ready should make itself the floor's holder. */
export function shouldTake(view: FloorView): boolean {
  const { held, self } = view;
  if (held === undefined) return false;
  if (held === null) return true;
  // Held by a later process of the same agent: this one was replaced while it was paused.
  if (held.floor.holderId === self.holderId) return held.floor.incarnation < self.incarnation;
  switch (view.standingOf(held.floor.holderId)) {
    case 'keeping':
      return false;
    case 'going':
      return true;
    case 'without-copy':
      return view.withoutCopyMs >= HOLDER_RELOAD_MS;
  }
}

/**
 * Whether this agent must keep its copy. Once a floor stands it always has a holder, and a holder
 * never unloads: so it is enough that another holder is known, is there and has the model. What is
 * not known counts as kept here.
 */
export function mustKeep(view: FloorView): boolean {
  const { held, self } = view;
  if (held === undefined || held === null) return true;
  if (held.floor.holderId === self.holderId) return true;
  switch (view.standingOf(held.floor.holderId)) {
    case 'keeping':
      return false;
    case 'without-copy':
      return !view.wasTakenLately;
    case 'going':
      return true;
  }
}
