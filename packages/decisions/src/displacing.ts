/** Which copies leave an upstream to make room for another. Bytes held are the caller's to count. */

/** A copy that the upstream holds now. */
export type HeldCopy = {
  model: string;
  /** Weights with the adapters that are served from it: they leave with their base model. */
  sizeBytes: number;
  /** This upstream must keep it: the model's floor, or its last copy. */
  isFloor: boolean;
  /** Requests that run or wait on it here. */
  activeCount: number;
  /** Slots of this upstream that its work keeps busy. */
  busySlots: number;
  /** The slots that the model's other copies have to spare. */
  spareSlotsElsewhere: number;
  lastUsedAtMs: number;
  loadedAtMs: number;
};

export type Displacement = {
  models: string[];
  /** Slots of work that would find no other copy. */
  lostSlots: number;
};

/**
 * A copy stays at least this long. Made for two models that take turns at being the busier one: each
 * load would displace the copy that the last one brought, and both would load for ever.
 */
const LEAST_STAY_MS = 60_000;

function lostSlots(copy: HeldCopy): number {
  return Math.max(0, copy.busySlots - copy.spareSlotsElsewhere);
}

function compareCost(left: HeldCopy, right: HeldCopy): number {
  return (
    lostSlots(left) - lostSlots(right) ||
    left.busySlots - right.busySlots ||
    left.lastUsedAtMs - right.lastUsedAtMs
  );
}

/** Keeps none that need not go: a large copy taken late may make small ones taken early needless. */
function dropNeedless(chosen: readonly HeldCopy[], neededBytes: number): HeldCopy[] {
  const kept = [...chosen];
  const bySize = [...chosen].sort((left, right) => left.sizeBytes - right.sizeBytes);
  bySize.forEach((copy) => {
    const restBytes = kept.reduce((sumBytes, other) => sumBytes + other.sizeBytes, 0);
    if (restBytes - copy.sizeBytes >= neededBytes) kept.splice(kept.indexOf(copy), 1);
  });
  return kept;
}

/**
 * The cheapest copies that together free `neededBytes`, or null when that cannot be. Floors never leave:
 * a model without a copy is out of its callers' reach until the weight store has loaded it again.
 */
export function chooseDisplaced(
  copies: readonly HeldCopy[],
  neededBytes: number,
  nowMs: number,
): Displacement | null {
  if (neededBytes <= 0) return { models: [], lostSlots: 0 };
  const movable = copies.filter(
    (copy) => !copy.isFloor && nowMs - copy.loadedAtMs >= LEAST_STAY_MS,
  );
  movable.sort(compareCost);
  const chosen: HeldCopy[] = [];
  let freedBytes = 0;
  for (const copy of movable) {
    if (freedBytes >= neededBytes) break;
    chosen.push(copy);
    freedBytes += copy.sizeBytes;
  }
  if (freedBytes < neededBytes) return null;
  const needed = dropNeedless(chosen, neededBytes);
  return {
    models: needed.map((copy) => copy.model),
    lostSlots: needed.reduce((sum, copy) => sum + lostSlots(copy), 0),
  };
}
