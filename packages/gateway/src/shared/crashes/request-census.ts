/**
 * What this gateway sent lately, by trait, and what of it went well: without it chance and cause look alike in the evidence. Compared is
 * only what the same upstreams can run: that others answer says nothing about a trait whose own upstreams are down.
 */
export type Usage = {
  /** Requests with the trait, and all that the same upstreams can run. */
  sentCount: number;
  sentTotal: number;
  /** Of these the requests whose answer has gone on. */
  soundTotal: number;
};

/** What was sent: its traits, and the service and model whose upstreams can run it. */
export type SentRequest = { traits: readonly string[]; pool: string };

export type RequestCensus = {
  noteSent: (request: SentRequest, nowMs: number) => void;
  /** An answer that began then has gone on, or is complete. */
  noteSound: (request: SentRequest, beganMs: number) => void;
  /** When a sound answer with the trait last began. */
  lastSoundMs: (trait: string) => number | null;
  /** Since then, as far as it is remembered. */
  usage: (trait: string, sinceMs: number) => Usage;
};

/** Some ten bytes each; the traits of requests that are in use are written again all the time. */
const SOUND_TRAITS_MAX = 8_000;
/** A minute's worth at several times the rate that is planned for one gateway. */
const REMEMBERED_MAX = 3_000;

type Sent = SentRequest & { atMs: number };

type Sound = { beganMs: number; pool: string };

function countSince<Item>(items: readonly Item[], isSince: (item: Item) => boolean): number {
  return items.reduce((count, item) => count + Number(isSince(item)), 0);
}

export function createRequestCensus(): RequestCensus {
  const soundMs = new Map<string, number>();
  let sent: Sent[] = [];
  let sound: Sound[] = [];

  function poolsOf(trait: string): ReadonlySet<string> {
    return new Set(sent.filter(({ traits }) => traits.includes(trait)).map(({ pool }) => pool));
  }

  return {
    noteSent: ({ traits, pool }, nowMs) => {
      sent.push({ atMs: nowMs, traits, pool });
      if (sent.length > 2 * REMEMBERED_MAX) sent = sent.slice(-REMEMBERED_MAX);
    },
    noteSound: ({ traits, pool }, beganMs) => {
      sound.push({ beganMs, pool });
      if (sound.length > 2 * REMEMBERED_MAX) sound = sound.slice(-REMEMBERED_MAX);
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
      const pools = poolsOf(trait);
      const since = sent.filter(({ atMs, pool }) => atMs >= sinceMs && pools.has(pool));
      return {
        sentCount: countSince(since, ({ traits }) => traits.includes(trait)),
        sentTotal: since.length,
        soundTotal: countSince(sound, ({ beganMs, pool }) => beganMs >= sinceMs && pools.has(pool)),
      };
    },
  };
}
