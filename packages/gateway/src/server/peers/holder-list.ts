/** Applies the list of upstreams that the holder of the lease tells this gateway, and checks that it is the holder's then. */
import type { gatewayPeer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as relayedLists from '../../shared/relayed-list.js';
import * as storePositions from '../../shared/store-positions.js';
import type * as directories from '../../shared/upstream-directory.js';
import type * as logEvents from '../../types/log-events.js';
import * as messageCodec from './message-codec.js';

export type HolderListDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: logEvents.GatewayLog;
  directory: directories.UpstreamDirectory;
  listFeed: Pick<relayedLists.RelayedList, 'applyReply' | 'distrust'>;
  onUpstreamsLearned: () => void;
};

export type HolderList = {
  /** Applies an answer of the holder to a question that was asked at `askedAtMs`. */
  apply: (reply: gatewayPeer.ExchangeReply, askedAtMs: number) => void;
};

function sourceOf({ news }: gatewayPeer.ExchangeReply): string {
  return news?.gatewayId ?? 'holder';
}

export function createHolderList(deps: HolderListDeps): HolderList {
  const { directory } = deps;
  let lastMismatch = '';

  function apply(reply: gatewayPeer.ExchangeReply, askedAtMs: number): void {
    const { members } = reply;
    const nowMs = deps.clock.nowMs();
    if (members !== undefined && members.revision > 0) {
      const told = messageCodec.fromMembersMessage(members);
      const before = storePositions.format(directory.position());
      const taken = directory.applyMembers(told, nowMs);
      logMembers(told, { source: sourceOf(reply), before, taken });
      if (told.written.length > 0 || told.removed.length > 0) deps.onUpstreamsLearned();
    }
    const basis =
      members === undefined ? null : { incarnation: members.incarnation, version: members.version };
    deps.listFeed.applyReply({
      asOfMs: holderListAsOfMs(reply.news, askedAtMs),
      listVersion: basis,
    });
    if (members !== undefined) checkDigest(members, sourceOf(reply));
  }

  /**
   * A holder cannot report the removal of an upstream that it never knew, as one that came and went before it had the list. Each
   * pair of digests is acted on once: they stay different where this gateway has dropped an entry for reasons of its own.
   */
  function checkDigest(members: gatewayPeer.MembersNews, source: string): void {
    const own = directory.digest();
    const position = { era: members.storeEra, revision: members.revision };
    const isSamePosition =
      storePositions.isAtLeast(position, directory.position()) &&
      storePositions.isAtLeast(directory.position(), position);
    if (!isSamePosition || members.digest === '' || members.digest === own) return;
    const mismatch = `${own} ${members.digest}`;
    if (mismatch === lastMismatch) return;
    lastMismatch = mismatch;
    deps.log.warn('list-mismatch', { source, position: storePositions.format(position) });
    deps.listFeed.distrust();
  }

  /** A holder that has not heard of the store's return yet watches what is no more. */
  function holderListAsOfMs(
    news: gatewayPeer.GatewayNews | undefined,
    askedAtMs: number,
  ): number | null {
    if (news === undefined || news.storeEra < directory.position().era) return null;
    // It answered after it was asked, so its list is no older than that.
    return news.isListLive ? askedAtMs - news.listAgeMs : null;
  }

  function logMembers(
    { written, removed }: directories.MemberChanges,
    { source, before, taken }: { source: string; before: string; taken: ReadonlySet<string> },
  ): void {
    const changes = [
      ...written.map((record) => {
        const { upstreamId, state, softwareVersion: version } = record.value;
        return { upstreamId, state, version, name: record.name, at: record };
      }),
      ...removed.map((gone) => ({
        upstreamId: gone.name,
        state: 'gone',
        version: undefined,
        name: gone.name,
        at: gone,
      })),
    ];
    changes.forEach(({ name, at, ...change }) => {
      const isTaken = taken.has(name);
      const position = storePositions.format(at);
      const keptForMs = directory.keptForMs(change.upstreamId, deps.clock.nowMs());
      deps.log.info('upstream-changed', {
        ...change,
        source,
        position,
        before,
        isTaken,
        keptForMs,
      });
    });
  }

  return { apply };
}
