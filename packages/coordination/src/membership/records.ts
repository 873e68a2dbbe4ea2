/** Compares and hashes the records of members. */
import * as hashes from '@copperlever/runtime/hashes';

import type * as types from './types.js';

/**
 * Within one revision the more severe status wins: other processes may only mark a member as suspected or dead, and
 * the member refutes that with a higher revision.
 */
function statusRank(status: types.MemberStatus): number {
  switch (status) {
    case 'alive':
    case 'leaving':
      return 0;
    case 'suspected':
      return 1;
    case 'dead':
      return 2;
  }
}

/** Whether `candidate` overrides `present`, a record of the same member. */
export function isNewer(candidate: types.Member, present: types.Member): boolean {
  if (candidate.incarnation !== present.incarnation) {
    return candidate.incarnation > present.incarnation;
  }
  if (candidate.revision !== present.revision) return candidate.revision > present.revision;
  return statusRank(candidate.status) > statusRank(present.status);
}

/**
 * The part of a record that enters the hash of a view: the member's presence and whether it is leaving. Suspicion is
 * left out because it is temporary, and attributes because, with several changes a second in the fleet, no two views
 * would ever agree.
 */
export function hashOf(member: types.Member): number {
  if (member.status === 'dead') return 0;
  const presence = member.status === 'leaving' ? 'leaving' : 'there';
  return hashes.hash32(`${member.memberId}/${member.incarnation}/${presence}`);
}

export function bucketOf(memberId: string, bucketCount: number): number {
  return hashes.hash32(memberId) % bucketCount;
}
