/** Which records of members go into the next message: standings first, attributes as room allows. */
import * as gossipBuffer from './gossip-buffer.js';
import type * as types from './types.js';

export type UpdateLimits = {
  /** Updates in one message: about 1.6 KB at 100 bytes each. */
  updatesPerMessage: number;
  /**
   * How often each process passes a standing on: four times at once, and eight times with its next
   * probes. With eight in all, one of 1,140 processes missed a suspicion until it ended, 20 s later.
   */
  transmitLimit: number;
  /** How often it passes changed attributes on; about one in fifty may miss one change. */
  attributesTransmitLimit: number;
};

export type MemberUpdates = {
  add: (member: types.Member, change: 'standing' | 'attributes', nowMs: number) => void;
  /** What goes into a message of a fleet of `memberCount`. */
  take: (memberCount: number, nowMs: number) => types.Member[];
  size: () => number;
};

/** Divided by the members: the changed attributes that a message of a small fleet has room for. */
const ATTRIBUTES_ROOM = 128;

/**
 * Load: agents whose ready models change, several a second in a large fleet. Harm: each change costs
 * each daemon about 3 KB, so at one a second attributes alone break the budget of 2 KB a second.
 * Limit: one changed record in a message at 128 members and more; beyond that attributes arrive late
 * or not at all, which costs a hop, while standings and bytes stay as they are.
 */
function attributesRoom(memberCount: number, updatesPerMessage: number): number {
  const room = Math.floor(ATTRIBUTES_ROOM / Math.max(1, memberCount));
  return Math.min(updatesPerMessage, Math.max(1, room));
}

export function createMemberUpdates(limits: UpdateLimits): MemberUpdates {
  const standings = gossipBuffer.createGossipBuffer<types.Member>();
  const attributes = gossipBuffer.createGossipBuffer<types.Member>();

  return {
    add: (member, change, nowMs) => {
      // A standing that is still on its way carries the new attributes as well.
      if (change === 'standing' || standings.has(member.memberId)) {
        attributes.remove(member.memberId);
        standings.add(member.memberId, member, nowMs);
      } else {
        attributes.add(member.memberId, member, nowMs);
      }
    },
    take: (memberCount, nowMs) => {
      const { updatesPerMessage } = limits;
      const first = standings.take(updatesPerMessage, limits.transmitLimit, nowMs);
      const room = Math.min(
        updatesPerMessage - first.length,
        attributesRoom(memberCount, updatesPerMessage),
      );
      return [...first, ...attributes.take(room, limits.attributesTransmitLimit, nowMs)];
    },
    size: () => standings.size() + attributes.size(),
  };
}
