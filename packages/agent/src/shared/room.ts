/**
 * Which copies leave so that a wanted one fits.
 *
 * Load: more models than memory, each asked for now and then. Harm prevented: a model that nobody
 * else holds is unloaded for one that is asked for more often, or two models push each other out
 * in turns and both spend their time loading.
 */
import type * as ledgers from './memory-ledger.js';

export type Leaver = ledgers.SizedCopy & {
  lastUsedMs: number;
  /** Since when it is ready; a copy must have served for a while before it may be displaced. */
  readySinceMs: number;
  isFloor: boolean;
  isInUse: boolean;
};

export type RoomPlan =
  | { kind: 'fits' }
  /** These leave first; the ones in use finish their work before. */
  | { kind: 'after-leaving'; leavers: readonly Leaver[] }
  /** It would fit, but what would have to leave came too short a time ago. */
  | { kind: 'not-yet'; tryAtMs: number }
  | { kind: 'impossible' };

export type RoomInput = {
  neededBytes: number;
  freeBytes: number;
  leavers: readonly Leaver[];
  /** A copy that was loaded stays for at least this long, since its move has to pay for itself. */
  minimumStayMs: number;
  nowMs: number;
};

/** Idle copies before busy ones, then the one that was used longest ago. */
function compareLeavers(left: Leaver, right: Leaver): number {
  return Number(left.isInUse) - Number(right.isInUse) || left.lastUsedMs - right.lastUsedMs;
}

function take(leavers: readonly Leaver[], missingBytes: number): Leaver[] | null {
  const taken: Leaver[] = [];
  let freedBytes = 0;
  for (const leaver of leavers) {
    if (freedBytes >= missingBytes) break;
    taken.push(leaver);
    freedBytes += leaver.sizeBytes;
  }
  return freedBytes >= missingBytes ? taken : null;
}

export function planRoom(input: RoomInput): RoomPlan {
  const missingBytes = input.neededBytes - input.freeBytes;
  if (missingBytes <= 0) return { kind: 'fits' };
  const movable = input.leavers.filter((leaver) => !leaver.isFloor).sort(compareLeavers);
  const stayedUntilMs = (leaver: Leaver) => leaver.readySinceMs + input.minimumStayMs;
  const settled = movable.filter((leaver) => stayedUntilMs(leaver) <= input.nowMs);
  const taken = take(settled, missingBytes);
  if (taken !== null) return { kind: 'after-leaving', leavers: taken };
  if (take(movable, missingBytes) === null) return { kind: 'impossible' };
  const tryAtMs = Math.min(
    ...movable.map(stayedUntilMs).filter((untilMs) => untilMs > input.nowMs),
  );
  return { kind: 'not-yet', tryAtMs };
}
