/** Selects the member records for the next message: changes of standing first, then attributes if there is room. */
import * as gossipBuffer from './gossip-buffer.js';
import type * as types from './types.js';

export type UpdateLimits = {
  /** The maximum number of updates in one message: about 1.6 KB at 100 bytes each. */
  updatesPerMessage: number;
  /**
   * How often each process sends a change of standing: four times in an immediate push, and eight times with its next
   * probes. With eight in all, one of 1,140 processes missed a suspicion until it ended, 20 s later.
   */
  transmitLimit: number;
  /** How often each process sends changed attributes; about one process in fifty may miss a given change. */
  attributesTransmitLimit: number;
};

export type MemberUpdates = {
  add: (member: types.Member, change: 'standing' | 'attributes', nowMs: number) => void;
  /** Returns the records for the next message, in a fleet of `memberCount` members. */
  take: (memberCount: number, nowMs: number) => types.Member[];
  size: () => number;
};

/** Fleets below this size may send more than one attribute update in a message: this number divided by the members. */
const ATTRIBUTES_FLEET_LIMIT = 128;

/**
 * The ready models of agents change several times a second in a large fleet. Each change costs each daemon about 3 KB,
 * so at one change a second attributes alone would exceed the budget of 2 KB a second. From 128 members on, a message
 * therefore carries one changed record. Beyond that rate, attributes arrive late or not at all, which costs a request
 * an extra hop, while changes of standing and the bytes sent are unaffected.
 */
function attributeUpdatesMax(memberCount: number, updatesPerMessage: number): number {
  const room = Math.floor(ATTRIBUTES_FLEET_LIMIT / Math.max(1, memberCount));
  return Math.min(updatesPerMessage, Math.max(1, room));
}

export function createMemberUpdates(limits: UpdateLimits): MemberUpdates {
  const standingUpdates = gossipBuffer.createGossipBuffer<types.Member>();
  const attributeUpdates = gossipBuffer.createGossipBuffer<types.Member>();

  return {
    add: (member, change, nowMs) => {
      // A pending change of standing carries the new attributes as well.
      if (change === 'standing' || standingUpdates.has(member.memberId)) {
        attributeUpdates.remove(member.memberId);
        standingUpdates.add(member.memberId, member, nowMs);
      } else {
        attributeUpdates.add(member.memberId, member, nowMs);
      }
    },
    take: (memberCount, nowMs) => {
      const { updatesPerMessage } = limits;
      const first = standingUpdates.take(updatesPerMessage, limits.transmitLimit, nowMs);
      const room = Math.min(
        updatesPerMessage - first.length,
        attributeUpdatesMax(memberCount, updatesPerMessage),
      );
      return [...first, ...attributeUpdates.take(room, limits.attributesTransmitLimit, nowMs)];
    },
    size: () => standingUpdates.size() + attributeUpdates.size(),
  };
}
