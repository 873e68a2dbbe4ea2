/** Compares this process's view of the members with its peers', and fetches what differs. */
import type { peer } from '@copperlever/protocol';
import type { clocks, randoms } from '@copperlever/runtime';

import * as messages from './messages.js';
import type * as notices from './notices.js';
import * as records from './records.js';
import * as swim from './swim.js';
import type * as types from './types.js';

export type ViewSyncOptions = {
  state: swim.Swim;
  board: notices.NoticeBoard;
  transport: Pick<types.PeerTransport, 'listMembers'>;
  clock: clocks.Clock;
  random: randoms.Random;
  learn: (reply: peer.ListMembersReply) => void;
};

export type ViewSync = {
  /** The view has just changed: differences are expected for a while. */
  noteChange: () => void;
  /** Looks at the view hash of a message; fetches if the views have differed for too long. */
  compare: (message: peer.ProbeMessage, fromAddress: string | undefined) => void;
  /** Fetches what differs from the view of the process at the address. */
  fetchFrom: (address: string) => Promise<void>;
  /** The same from one random member. */
  fetchSoon: () => Promise<void>;
  answer: (request: peer.ListMembersRequest, configVersion: number) => peer.ListMembersReply;
};

/** While updates are on their way, views differ without harm. */
const SETTLED_AFTER_MS = 5_000;
/** In a storm a view never settles; if it agreed with nobody's for this long, it is compared. */
const DIFFERENT_AFTER_MS = 15_000;
/** One difference may be the peer's; three in a row are more likely this process's own. */
const DIFFERENCES_BEFORE_SYNC = 3;
/** With views that differ for good, for example on both sides of a half-open path. */
const SYNC_PERIOD_MS = 10_000;
const SYNC_TIMEOUT_MS = 2_000;

/**
 * Failure: an update was not passed on to this process before it was sent often enough, or a cut
 * between regions outlasted every resend. Symptom: it never sends work to a member that is there.
 * Enough, because the hashes of two views differ until their records are the same. A fetch brings
 * only what the other knows; what it may lack is this process itself, whose first messages were
 * lost, so that is told again.
 */
export function createViewSync(options: ViewSyncOptions): ViewSync {
  const { state, board, transport, clock, random } = options;
  let changedAtMs = clock.nowMs();
  let agreedAtMs = clock.nowMs();
  let differenceCount = 0;
  let nextSyncAtMs = clock.nowMs();

  async function fetchFrom(address: string): Promise<void> {
    const request = { bucketHashes: [...state.bucketHashes()] };
    const deadlineMs = clock.nowMs() + SYNC_TIMEOUT_MS;
    const reply = await transport.listMembers(address, request, deadlineMs);
    if (reply.ok) options.learn(reply.val);
    state.repeat(state.self().memberId, clock.nowMs());
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
      // A process that knows nobody yet can ask only whom it reached itself.
      const address = fromAddress ?? state.find(message.fromId)?.address;
      if (address === undefined) return;
      differenceCount += 1;
      const nowMs = clock.nowMs();
      const isSettled = nowMs >= changedAtMs + SETTLED_AFTER_MS;
      const isOverdue = nowMs >= agreedAtMs + DIFFERENT_AFTER_MS;
      if (!isSettled && !isOverdue) return;
      if (differenceCount < DIFFERENCES_BEFORE_SYNC || nowMs < nextSyncAtMs) return;
      differenceCount = 0;
      nextSyncAtMs = nowMs + SYNC_PERIOD_MS * (0.5 + random.fraction());
      void fetchFrom(address);
    },
    fetchFrom,
    fetchSoon: async () => {
      const [other] = state.sampleOthers(1);
      if (other !== undefined) await fetchFrom(other.address);
    },
    answer: (request, configVersion) => {
      const own = state.bucketHashes();
      const isWanted = (member: types.Member) => {
        if (request.bucketHashes.length !== swim.BUCKET_COUNT) return true;
        const bucket = records.bucketOf(member.memberId, swim.BUCKET_COUNT);
        return request.bucketHashes[bucket] !== own[bucket];
      };
      const known = [...state.members(), ...state.dead()];
      return {
        fromId: state.self().memberId,
        members: known.filter(isWanted).map(messages.toUpdate),
        configVersion,
        notices: board.all().map((notice) => messages.toNotice(notice, clock.nowMs())),
      };
    },
  };
}
