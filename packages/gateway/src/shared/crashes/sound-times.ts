/** When requests with a trait last began an answer that their upstream survived, as this gateway has seen. */
export type SoundTimes = {
  note: (traits: readonly string[], beganMs: number) => void;
  lastMs: (trait: string) => number | null;
};

/** Some ten bytes each; the traits of requests that are in use are written again all the time. */
const ENTRIES_MAX = 8_000;

export function createSoundTimes(): SoundTimes {
  const lastMs = new Map<string, number>();
  return {
    note: (traits, beganMs) => {
      traits.forEach((trait) => {
        const latestMs = Math.max(beganMs, lastMs.get(trait) ?? -Infinity);
        lastMs.delete(trait);
        lastMs.set(trait, latestMs);
      });
      for (const trait of lastMs.keys()) {
        if (lastMs.size <= ENTRIES_MAX) break;
        lastMs.delete(trait);
      }
    },
    lastMs: (trait) => lastMs.get(trait) ?? null,
  };
}
