/**
 * What an engine's memory is promised to. The agent charges a copy before it orders the load, and
 * takes the charge back only when the engine's own report proves that the memory is free.
 */

export type CopyId = { name: string; version: string };

export type Charge = CopyId & {
  sizeBytes: number;
  state: 'loading' | 'ready' | 'unloading';
  /** Orders that may still take effect although nobody knows. */
  unsettledOrderCount: number;
};

export type MemoryLedger = {
  /** Charges a copy before its load is ordered; false when it does not fit. */
  reserve: (copy: CopyId & { sizeBytes: number }) => boolean;
  find: (copy: CopyId) => Charge | undefined;
  markUnloading: (copy: CopyId) => void;
  /** An order for the copy went out and its fate is not known. */
  markUnsettled: (copy: CopyId) => void;
  /** The load never left this process: nothing can come of it. */
  cancelReservation: (copy: CopyId) => void;
  /** Takes over what the engine reports. `fenced`: no order sent before the report can still act. */
  applyReport: (
    copies: readonly (CopyId & { sizeBytes: number; state: 'loading' | 'ready' })[],
    fenced: boolean,
  ) => void;
  /** The engine restarted: it holds nothing, and orders to its predecessor are void. */
  applyRestart: () => void;
  charges: () => readonly Charge[];
  chargedBytes: () => number;
  freeBytes: () => number;
};

function keyOf(copy: CopyId): string {
  return `${copy.name}@${copy.version}`;
}

export function createMemoryLedger(capacityBytes: number): MemoryLedger {
  const charges = new Map<string, Charge>();

  function chargedBytes(): number {
    return [...charges.values()].reduce((sumBytes, charge) => sumBytes + charge.sizeBytes, 0);
  }

  function settleAbsent(charge: Charge, fenced: boolean): void {
    // A late order to an engine that does not check fencing could still load the copy. Its memory
    // would then be given away twice, so the charge stays until the engine restarts.
    const mayStillLoad = charge.unsettledOrderCount > 0 && !fenced;
    if (mayStillLoad) return;
    charges.delete(keyOf(charge));
  }

  return {
    reserve: (copy) => {
      if (charges.has(keyOf(copy))) return true;
      if (chargedBytes() + copy.sizeBytes > capacityBytes) return false;
      charges.set(keyOf(copy), { ...copy, state: 'loading', unsettledOrderCount: 0 });
      return true;
    },
    find: (copy) => charges.get(keyOf(copy)),
    markUnloading: (copy) => {
      const charge = charges.get(keyOf(copy));
      if (charge !== undefined) charge.state = 'unloading';
    },
    markUnsettled: (copy) => {
      const charge = charges.get(keyOf(copy));
      if (charge !== undefined) charge.unsettledOrderCount += 1;
    },
    cancelReservation: (copy) => {
      const charge = charges.get(keyOf(copy));
      if (charge?.state === 'loading' && charge.unsettledOrderCount === 0) {
        charges.delete(keyOf(copy));
      }
    },
    applyReport: (copies, fenced) => {
      const reported = new Map(copies.map((copy) => [keyOf(copy), copy]));
      for (const [key, copy] of reported) {
        const charge = charges.get(key);
        if (charge === undefined) charges.set(key, { ...copy, unsettledOrderCount: 0 });
        else if (charge.state !== 'unloading') charge.state = copy.state;
        if (charge !== undefined && fenced) charge.unsettledOrderCount = 0;
      }
      for (const [key, charge] of charges) {
        if (!reported.has(key)) settleAbsent(charge, fenced);
      }
    },
    applyRestart: () => charges.clear(),
    charges: () => [...charges.values()],
    chargedBytes,
    freeBytes: () => capacityBytes - chargedBytes(),
  };
}
