/**
 * Whether a silent request needs a new connection. Load: many requests wait in one agent's queue, each of
 * them silent. Harm without this: each opens a connection of its own every few seconds, and takes the
 * shared one from all others. A connection that has brought anything of late, to whichever request, is
 * not the reason for the silence; and of a new one it is not yet known.
 */

export type ChannelTimes = {
  openedAtMs: number;
  /** When anything last came over it; the time of its opening before that. */
  heardAtMs: number;
};

/** Shorter than the first silence after which a request asks again. */
export const FRESH_MS = 900;

export function needsReopening(channel: ChannelTimes, nowMs: number): boolean {
  const isNew = nowMs - channel.openedAtMs < FRESH_MS;
  const isHeard = nowMs - channel.heardAtMs < FRESH_MS;
  return !isNew && !isHeard;
}
