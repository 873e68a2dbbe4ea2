/**
 * Decides which models are resident in turn when an upstream cannot hold all of them, for example after the loss of so
 * many VMs that the floors no longer fit. Without turns, a model might never be loaded because others are busier, or
 * two models might evict each other with every request.
 */

/** A model that has work waiting here and is not resident. */
export type WaitingModel = { model: string; sizeBytes: number; oldestDeadlineMs: number };

/** A model that is resident here. */
export type ResidentModel = {
  model: string;
  sizeBytes: number;
  loadedAtMs: number;
  loadTookMs: number;
  /** Running requests; the model cannot be unloaded before they end. */
  runningCount: number;
  /** The earliest deadline of its waiting work; Infinity if there is none. */
  oldestDeadlineMs: number;
};

export type RotationStep =
  | { kind: 'load'; model: string; displaced: readonly string[] }
  /** These models must not start new work, so that they can be unloaded. */
  | { kind: 'drain'; model: string; draining: readonly string[] }
  | { kind: 'wait' };

/**
 * A turn lasts at least this many times as long as the load that started it, so at most a third of the time is spent
 * loading.
 */
const MIN_TURN_LOADS = 2;

function isTurnOver(resident: ResidentModel, nowMs: number): boolean {
  return nowMs - resident.loadedAtMs >= MIN_TURN_LOADS * resident.loadTookMs;
}

/**
 * The model with the earliest waiting deadline is loaded next; those whose own waiting deadline is latest are evicted.
 */
export function chooseRotationStep(
  waiting: readonly WaitingModel[],
  resident: readonly ResidentModel[],
  freeBytes: number,
  nowMs: number,
): RotationStep {
  const next = [...waiting].sort(
    (left, right) => left.oldestDeadlineMs - right.oldestDeadlineMs,
  )[0];
  if (next === undefined) return { kind: 'wait' };
  const leaving: ResidentModel[] = [];
  let bytes = freeBytes;
  const candidates = resident
    .filter((other) => isTurnOver(other, nowMs))
    .sort((left, right) => right.oldestDeadlineMs - left.oldestDeadlineMs);
  for (const other of candidates) {
    if (bytes >= next.sizeBytes) break;
    leaving.push(other);
    bytes += other.sizeBytes;
  }
  if (bytes < next.sizeBytes) return { kind: 'wait' };
  const names = leaving.map((other) => other.model);
  return leaving.some((other) => other.runningCount > 0)
    ? { kind: 'drain', model: next.model, draining: names }
    : { kind: 'load', model: next.model, displaced: names };
}
