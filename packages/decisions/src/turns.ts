/**
 * Whose turn it is when the models of an upstream cannot all be resident. Made for the loss of so many
 * VMs that the floors no longer fit. The harm prevented is twofold: a model that is never loaded
 * because others are busier, and a pair of models that displace each other at every request.
 */

/** A model that has work waiting here and is not resident. */
export type WaitingModel = { model: string; sizeBytes: number; oldestDeadlineMs: number };

/** A model that is resident here. */
export type ResidentModel = {
  model: string;
  sizeBytes: number;
  loadedAtMs: number;
  loadTookMs: number;
  /** Requests that run on it: it cannot leave before they end. */
  runningCount: number;
  /** The earliest deadline of its waiting work, or Infinity. */
  oldestDeadlineMs: number;
};

export type Turn =
  | { kind: 'load'; model: string; displaced: readonly string[] }
  /** These are to take no new work, so that they can leave. */
  | { kind: 'drain'; model: string; draining: readonly string[] }
  | { kind: 'wait' };

/**
 * A turn lasts at least this many times the load that began it, so that at most a third of the time goes
 * into loading.
 */
const LEAST_TURN_LOADS = 2;

function hadItsTurn(resident: ResidentModel, nowMs: number): boolean {
  return nowMs - resident.loadedAtMs >= LEAST_TURN_LOADS * resident.loadTookMs;
}

/** The oldest waiting deadline goes next; those leave whose own waiting deadline is the latest. */
export function chooseTurn(
  waiting: readonly WaitingModel[],
  resident: readonly ResidentModel[],
  freeBytes: number,
  nowMs: number,
): Turn {
  const next = [...waiting].sort(
    (left, right) => left.oldestDeadlineMs - right.oldestDeadlineMs,
  )[0];
  if (next === undefined) return { kind: 'wait' };
  const leaving: ResidentModel[] = [];
  let bytes = freeBytes;
  const candidates = resident
    .filter((other) => hadItsTurn(other, nowMs))
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
