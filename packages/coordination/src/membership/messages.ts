/** Converts between the library's records and the messages of the peer service. */
import { peer } from '@copperlever/protocol';

import type * as types from './types.js';

function fromStatus(status: peer.MemberStatus): types.MemberStatus {
  switch (status) {
    case peer.MemberStatus.MEMBER_STATUS_SUSPECTED:
      return 'suspected';
    case peer.MemberStatus.MEMBER_STATUS_LEAVING:
      return 'leaving';
    case peer.MemberStatus.MEMBER_STATUS_DEAD:
      return 'dead';
    case peer.MemberStatus.MEMBER_STATUS_ALIVE:
    case peer.MemberStatus.MEMBER_STATUS_UNSPECIFIED:
      return 'alive';
  }
}

function toStatus(status: types.MemberStatus): peer.MemberStatus {
  switch (status) {
    case 'alive':
      return peer.MemberStatus.MEMBER_STATUS_ALIVE;
    case 'suspected':
      return peer.MemberStatus.MEMBER_STATUS_SUSPECTED;
    case 'leaving':
      return peer.MemberStatus.MEMBER_STATUS_LEAVING;
    case 'dead':
      return peer.MemberStatus.MEMBER_STATUS_DEAD;
  }
}

export function toUpdate(member: types.Member): peer.MemberUpdate {
  return { ...member, status: toStatus(member.status) };
}

export function fromUpdate(update: peer.MemberUpdate): types.Member {
  return { ...update, status: fromStatus(update.status) };
}

/** A notice is sent with its remaining time, since the monotonic clocks of two machines cannot be compared. */
export function toNotice(notice: types.Notice, nowMs: number): peer.Notice {
  const remainingMs = Math.max(0, Math.round(notice.expiresAtMs - nowMs));
  return { topic: notice.topic, key: notice.key, remainingMs };
}

export function fromNotice(notice: peer.Notice, nowMs: number): types.Notice {
  return { topic: notice.topic, key: notice.key, expiresAtMs: nowMs + notice.remainingMs };
}
