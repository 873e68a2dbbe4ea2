/** Fetches and serves configuration versions between peers, over the peer service. */
import type { peer } from '@copperlever/protocol';
import { randoms } from '@copperlever/runtime';

import type * as membershipTypes from '../membership/types.js';

import type * as configFollower from './config-follower.js';
import * as configStore from './config-store.js';
import type * as types from './types.js';

export type ConfigPeersOptions = {
  membership: Pick<membershipTypes.Membership, 'members' | 'find' | 'self'>;
  transport: Pick<membershipTypes.PeerTransport, 'fetchConfig'>;
  random: randoms.Random;
};

/** A process that starts tries this many peers before it reads the object store. */
const CANDIDATES_MAX = 3;

export function createConfigPeers(options: ConfigPeersOptions): configFollower.ConfigPeers {
  const { membership, transport, random } = options;
  return {
    fetch: async (memberId, heldVersion, heldPartHashes, deadlineMs) => {
      const member = membership.find(memberId);
      if (member === undefined) return undefined;
      const request = { heldVersion, heldPartHashes: [...heldPartHashes] };
      const reply = await transport.fetchConfig(member.address, request, deadlineMs);
      if (reply.err || reply.val.version === 0) return undefined;
      const head = configStore.parseHead(reply.val.head);
      return head === undefined ? undefined : { head, parts: reply.val.parts };
    },
    candidates: () => {
      const self = membership.self();
      const others = membership.members().filter((member) => member.memberId !== self.memberId);
      const isSameRegion = (member: membershipTypes.Member) => member.region === self.region;
      const inRegion = randoms.sample(random, others.filter(isSameRegion), CANDIDATES_MAX);
      const chosen =
        inRegion.length > 0 ? inRegion : randoms.sample(random, others, CANDIDATES_MAX);
      return chosen.map((member) => member.memberId);
    },
  };
}

/** Replies with the version and the parts that the peer lacks. */
export function answerFetch(
  follower: Pick<types.ConfigFollower<unknown>, 'share'>,
  request: peer.FetchConfigRequest,
): peer.FetchConfigReply {
  const shared = follower.share(request.heldVersion, request.heldPartHashes);
  if (shared === undefined) return { version: 0, head: Buffer.alloc(0), parts: [] };
  return {
    version: shared.head.version,
    head: Buffer.from(JSON.stringify(shared.head)),
    parts: [...shared.parts],
  };
}
