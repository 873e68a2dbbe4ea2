/** Which copies are in use by waiting or running attempts; these are not unloaded. */
import type * as ledgers from '../../shared/memory-ledger.js';

export type Release = () => void;

export type Holds = {
  hold: (copies: readonly ledgers.CopyId[]) => Release;
  isHeld: (copy: ledgers.CopyId) => boolean;
};

function keyOf(copy: ledgers.CopyId): string {
  return `${copy.name}@${copy.version}`;
}

export function createHolds(onRelease: () => void): Holds {
  const counts = new Map<string, number>();

  function change(copy: ledgers.CopyId, by: number): void {
    const count = (counts.get(keyOf(copy)) ?? 0) + by;
    if (count > 0) counts.set(keyOf(copy), count);
    else counts.delete(keyOf(copy));
  }

  return {
    hold: (copies) => {
      let isReleased = false;
      copies.forEach((copy) => change(copy, 1));
      return () => {
        if (isReleased) return;
        isReleased = true;
        copies.forEach((copy) => change(copy, -1));
        onRelease();
      };
    },
    isHeld: (copy) => counts.has(keyOf(copy)),
  };
}
