/** Which of two records of a member holds. */
import * as hashes from '@copperlever/runtime/hashes';

import type * as types from './types.js';

/** Others may only say worse of a member than it says of itself; it answers with a new revision. */
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
 * What a record adds to the hash of a view: who is there and whether it is leaving. Suspicion is
 * left out, since it comes and goes, and so are attributes: with several changes a second somewhere
 * in the fleet, no two views would ever agree.
 */
export function hashOf(member: types.Member): number {
  if (member.status === 'dead') return 0;
  const isLeaving = member.status === 'leaving' ? 'leaving' : 'there';
  return hashes.hash32(`${member.memberId}/${member.incarnation}/${isLeaving}`);
}

export function bucketOf(memberId: string, bucketCount: number): number {
  return hashes.hash32(memberId) % bucketCount;
}
