/** Compares this process's view of the members with those of its peers, and fetches the differences. */
import type { peer } from '@copperlever/protocol';
import type { clocks, randoms } from '@copperlever/runtime';

import * as messages from './messages.js';
import type * as notices from './notices.js';
import * as records from './records.js';
import * as swim from './swim.js';
import type * as types from './types.js';

export type ViewSyncOptions = {
  state: swim.Swim;
  noticeTable: notices.NoticeTable;
  transport: Pick<types.PeerTransport, 'listMembers'>;
  clock: clocks.Clock;
  random: randoms.Random;
  applyReply: (reply: peer.ListMembersReply) => void;
};

export type ViewSync = {
  /** Notes that the view has just changed, so that differences are expected for a while. */
  noteChange: () => void;
  /** Compares the view hash of a message; fetches if the views have differed for too long. */
  compare: (message: peer.ProbeMessage, fromAddress: string | undefined) => void;
  /** Fetches the differences from the process at the address. */
  fetchFrom: (address: string) => Promise<void>;
  /** Fetches the differences from one random member. */
  fetchFromRandomMember: () => Promise<void>;
  answer: (request: peer.ListMembersRequest, configVersion: number) => peer.ListMembersReply;
};

/** Views are compared only this long after a change: while updates are in transit, they differ without harm. */
const SETTLED_AFTER_MS = 5_000;
/** With constant changes a view never settles; if it matched no peer's for this long, it is compared all the same. */
const DISAGREEMENT_MAX_MS = 15_000;
/** One difference may be the peer's fault; three in a row are more likely this process's own. */
const DIFFERENCES_BEFORE_SYNC = 3;
/** Limits fetches while views differ permanently, for example on both sides of a half-open path. */
const SYNC_PERIOD_MS = 10_000;
const SYNC_TIMEOUT_MS = 2_000;

/**
 * An update may never reach this process, because its resends ran out first or a partition between regions outlasted
 * them; this process would then never send work to a member that is present. The hashes of two views differ until
 * their records are the same, which reveals it. A fetch brings only what the peer knows. The peer may lack this process
 * itself, if its first messages were lost, so this process announces itself again.
 */
export function createViewSync(options: ViewSyncOptions): ViewSync {
  const { state, noticeTable, transport, clock, random } = options;
  let changedAtMs = clock.nowMs();
  let agreedAtMs = clock.nowMs();
  let differenceCount = 0;
  let nextSyncAtMs = clock.nowMs();

  async function fetchFrom(address: string): Promise<void> {
    const request = { bucketHashes: [...state.bucketHashes()] };
    const deadlineMs = clock.nowMs() + SYNC_TIMEOUT_MS;
    const reply = await transport.listMembers(address, request, deadlineMs);
    if (reply.ok) options.applyReply(reply.val);
    state.reannounce(state.self().memberId, clock.nowMs());
  }

  return {
    noteChange: () => {
      changedAtMs = clock.nowMs();
    },
    compare: (message, fromAddress) => {
      if (message.viewHash === state.viewHash()) {
        differenceCount = 0;
        agreedAtMs = clock.nowMs();
        return;
      }
      // A process that knows no members yet can fetch only from an address that it called itself.
      const address = fromAddress ?? state.find(message.fromId)?.address;
      if (address === undefined) return;
      differenceCount += 1;
      const nowMs = clock.nowMs();
      const isSettled = nowMs >= changedAtMs + SETTLED_AFTER_MS;
      const isOverdue = nowMs >= agreedAtMs + DISAGREEMENT_MAX_MS;
      if (!isSettled && !isOverdue) return;
      if (differenceCount < DIFFERENCES_BEFORE_SYNC || nowMs < nextSyncAtMs) return;
      differenceCount = 0;
      nextSyncAtMs = nowMs + SYNC_PERIOD_MS * (0.5 + random.fraction());
      void fetchFrom(address);
    },
    fetchFrom,
    fetchFromRandomMember: async () => {
      const [other] = state.sampleOthers(1);
      if (other !== undefined) await fetchFrom(other.address);
    },
    answer: (request, configVersion) => {
      const localHashes = state.bucketHashes();
      const isRequested = (member: types.Member) => {
        if (request.bucketHashes.length !== swim.BUCKET_COUNT) return true;
        const bucket = records.bucketOf(member.memberId, swim.BUCKET_COUNT);
        return request.bucketHashes[bucket] !== localHashes[bucket];
      };
      const known = [...state.members(), ...state.dead()];
      return {
        fromId: state.self().memberId,
        members: known.filter(isRequested).map(messages.toUpdate),
        configVersion,
        notices: noticeTable.all().map((notice) => messages.toNotice(notice, clock.nowMs())),
      };
    },
  };
}
