/** Selects the processes that hold a watch on the configuration. */
import * as hashes from '@copperlever/runtime/hashes';

export type WatcherCandidate = { memberId: string; failureDomain: string };

/**
 * With two watchers for each failure domain, one may die or lag without delaying the other processes. The object API,
 * which counts a waiting watch as a call, has 16 watches at 8 failure domains instead of 1,140.
 */
export const WATCHERS_PER_DOMAIN = 2;

/** The members of `failureDomain` that watch, by rendezvous hashing, so that few watchers change with the members. */
export function watchersOf(
  members: readonly WatcherCandidate[],
  failureDomain: string,
  count = WATCHERS_PER_DOMAIN,
): string[] {
  return members
    .filter((member) => member.failureDomain === failureDomain)
    .map(({ memberId }) => ({ memberId, rank: hashes.hash32(`watch/${memberId}`) }))
    .sort((a, b) => a.rank - b.rank || (a.memberId < b.memberId ? -1 : 1))
    .slice(0, count)
    .map(({ memberId }) => memberId);
}

/** Whether the process `self` should hold a watch now. */
export function isWatcher(members: readonly WatcherCandidate[], self: WatcherCandidate): boolean {
  return watchersOf(members, self.failureDomain).includes(self.memberId);
}
