/** What this gateway sent lately, by trait, and what of it went well: without it chance and cause look alike in the evidence. */
export type Usage = {
  /** Requests with the trait, and all. */
  sentCount: number;
  sentTotal: number;
  /** Requests whose answer has gone on. */
  soundTotal: number;
};

export type RequestCensus = {
  noteSent: (traits: readonly string[], nowMs: number) => void;
  /** An answer that began then has gone on, or is complete. */
  noteSound: (traits: readonly string[], beganMs: number) => void;
  /** When a sound answer with the trait last began. */
  lastSoundMs: (trait: string) => number | null;
  /** Since then, as far as it is remembered. */
  usage: (trait: string, sinceMs: number) => Usage;
};

/** Some ten bytes each; the traits of requests that are in use are written again all the time. */
const SOUND_TRAITS_MAX = 8_000;
/** A minute's worth at several times the rate that is planned for one gateway. */
const REMEMBERED_MAX = 3_000;

type Sent = { atMs: number; traits: readonly string[] };

function countSince<Item>(items: readonly Item[], isSince: (item: Item) => boolean): number {
  return items.reduce((count, item) => count + Number(isSince(item)), 0);
}

export function createRequestCensus(): RequestCensus {
  const soundMs = new Map<string, number>();
  let sent: Sent[] = [];
  let soundBegunMs: number[] = [];

  return {
    noteSent: (traits, nowMs) => {
      sent.push({ atMs: nowMs, traits });
      if (sent.length > 2 * REMEMBERED_MAX) sent = sent.slice(-REMEMBERED_MAX);
    },
    noteSound: (traits, beganMs) => {
      soundBegunMs.push(beganMs);
      if (soundBegunMs.length > 2 * REMEMBERED_MAX) {
        soundBegunMs = soundBegunMs.slice(-REMEMBERED_MAX);
      }
      traits.forEach((trait) => {
        const latestMs = Math.max(beganMs, soundMs.get(trait) ?? -Infinity);
        soundMs.delete(trait);
        soundMs.set(trait, latestMs);
      });
      for (const trait of soundMs.keys()) {
        if (soundMs.size <= SOUND_TRAITS_MAX) break;
        soundMs.delete(trait);
      }
    },
    lastSoundMs: (trait) => soundMs.get(trait) ?? null,
    usage: (trait, sinceMs) => {
      const since = sent.filter(({ atMs }) => atMs >= sinceMs);
      return {
        sentCount: countSince(since, ({ traits }) => traits.includes(trait)),
        sentTotal: since.length,
        soundTotal: countSince(soundBegunMs, (beganMs) => beganMs >= sinceMs),
      };
    },
  };
}
