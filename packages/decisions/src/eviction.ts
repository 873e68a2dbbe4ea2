/** Chooses which copies are evicted from an upstream to make room for another. The caller counts the bytes in use. */

/** A copy that the upstream holds now. */
export type HeldCopy = {
  model: string;
  /** Weights including the adapters served from them, which are unloaded together with their base model. */
  sizeBytes: number;
  /** The copy must stay on this upstream: it is the model's floor or its last copy. */
  isFloor: boolean;
  /** Requests of the model that run or wait here. */
  activeCount: number;
  /** Slots of this upstream that the model's requests keep busy. */
  busySlots: number;
  /** Free slots at the model's other copies. */
  spareSlotsElsewhere: number;
  lastUsedAtMs: number;
  loadedAtMs: number;
};

export type Eviction = {
  models: string[];
  /** Slots of work that no other copy could take over. */
  lostSlots: number;
};

/**
 * A copy stays at least this long. Otherwise two models that are busy alternately would evict each other, and both
 * would load over and over.
 */
const MIN_RESIDENCY_MS = 60_000;

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

/**
 * Removes copies that need not be evicted: a large copy that was chosen late may free enough without small ones that
 * were chosen earlier.
 */
function dropUnneeded(chosen: readonly HeldCopy[], neededBytes: number): HeldCopy[] {
  const kept = [...chosen];
  const bySize = [...chosen].sort((left, right) => left.sizeBytes - right.sizeBytes);
  bySize.forEach((copy) => {
    const restBytes = kept.reduce((sumBytes, other) => sumBytes + other.sizeBytes, 0);
    if (restBytes - copy.sizeBytes >= neededBytes) kept.splice(kept.indexOf(copy), 1);
  });
  return kept;
}

/**
 * Returns the cheapest copies that together free `neededBytes`, or null if the copies that may be evicted are too
 * small. Floors are never evicted: a model without a copy is unavailable to its callers until it is loaded from the
 * weight store again.
 */
export function chooseEvicted(
  copies: readonly HeldCopy[],
  neededBytes: number,
  nowMs: number,
): Eviction | null {
  if (neededBytes <= 0) return { models: [], lostSlots: 0 };
  const movable = copies.filter(
    (copy) => !copy.isFloor && nowMs - copy.loadedAtMs >= MIN_RESIDENCY_MS,
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
  const needed = dropUnneeded(chosen, neededBytes);
  return {
    models: needed.map((copy) => copy.model),
    lostSlots: needed.reduce((sum, copy) => sum + lostSlots(copy), 0),
  };
}
