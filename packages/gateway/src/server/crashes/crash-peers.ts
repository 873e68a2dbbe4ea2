/**
 * The other gateways of a crash tracker: which of them gather the ends of upstreams, what is told to them, and what they are asked
 * before a decision.
 */
import type { gatewayPeer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import type * as quarantines from '../../shared/crashes/quarantine.js';
import type * as requestCensus from '../../shared/crashes/request-census.js';
import type * as peerRegistries from '../../shared/peer-registry.js';
import type * as trialArbiters from '../../shared/crashes/trial-arbiter.js';
import * as rendezvous from '../../shared/rendezvous.js';
import type * as peerLinks from '../peers/peer-link.js';
import * as crashCodec from './crash-codec.js';

export type CrashPeersDeps = {
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>;
  link: Pick<peerLinks.PeerLink, 'shareCrashes'>;
  book: Pick<peerRegistries.PeerRegistry, 'live' | 'lease'>;
  evidence: Pick<crashEvidence.CrashEvidence, 'noteSound'>;
  census: Pick<requestCensus.RequestCensus, 'usage'>;
  quarantine: Pick<quarantines.Quarantine, 'entries'>;
  /** Asks or tells this gateway's own arbiter. */
  ownTrial: (message: crashCodec.TrialMessage) => trialArbiters.TrialVerdict;
  /** Applies entries that another gateway has told. */
  applyEntries: (entries: readonly quarantines.QuarantineEntry[], source: string) => void;
  gatewayId: string;
  address: string;
};

export type CrashPeers = {
  /** Tells the gateways that gather all ends, once more where one does not answer. */
  report: (reports: readonly crashCodec.CrashReport[]) => void;
  /** Whether this gateway hears of all ends. One that knows only its own suspects would take what these share for the cause. */
  isCollector: () => boolean;
  /** Whether it decides which suspected requests may be sent. */
  isArbiter: () => boolean;
  /** Asks the gateway that decides about trials, or tells it. Null if neither it nor the next one answers. */
  tellTrial: (message: crashCodec.TrialMessage) => Promise<trialArbiters.TrialVerdict | null>;
  /**
   * How all gateways use the candidates: this one, those that answer, and in proportion those that are not asked. Their answers
   * tell as well when the candidates were last sound. Null if this one is cut off from most: what it sees alone misleads.
   */
  usageByAll: (
    candidates: readonly crashEvidence.Candidate[],
  ) => Promise<ReadonlyMap<string, requestCensus.Usage> | null>;
  /** Tells what is refused: to one gateway, or at once to as many as may be. */
  tellEntries: (address: string) => void;
  tellAll: () => void;
  /** The place of this gateway among all live ones in an order that follows from the key, from 0. */
  rank: (key: string) => number;
};

/** Gateways that gather all ends; beside them the holder of the lease, if there is one. */
const COLLECTORS = 3;
const COLLECTORS_KEY = 'ends of upstreams';
/** Gateways that are asked before a decision, and told of it at once; the others hear of it with their next exchange. */
const ASKED_MAX = 32;
/** A hundred round trips. */
const SHARE_TIMEOUT_MS = 300;
/** Once more for a gateway that did not answer, since reports are not repeated otherwise. */
const RETRY_AFTER_MS = 200;
/** The second one while the first has ended, and is not missed yet. */
const ARBITERS_ASKED_MAX = 2;

type Target = Pick<peerRegistries.KnownPeer, 'gatewayId' | 'address'>;

type Shared = {
  reports?: readonly crashCodec.CrashReport[];
  asked?: readonly crashEvidence.Candidate[];
  trial?: crashCodec.TrialMessage;
};

export function createCrashPeers(deps: CrashPeersDeps): CrashPeers {
  const { clock, book, gatewayId } = deps;

  /** The gateways that hear of all ends, this one perhaps among them. */
  function collectors(): Target[] {
    const all: Target[] = [{ gatewayId, address: deps.address }, ...book.live(clock.nowMs())];
    const chosen = rendezvous.highest(COLLECTORS_KEY, all, (one) => one.gatewayId, COLLECTORS);
    const holder = all.filter((one) => one.gatewayId === book.lease()?.holderId);
    return [...new Set([...chosen, ...holder])];
  }

  function isCollector(): boolean {
    return collectors().some((one) => one.gatewayId === gatewayId);
  }

  /** The holder, from which all others hear, goes first. */
  function someLive(): Target[] {
    const holderId = book.lease()?.holderId;
    const live = [...book.live(clock.nowMs())];
    live.sort(
      (left, right) => Number(right.gatewayId === holderId) - Number(left.gatewayId === holderId),
    );
    return live.slice(0, ASKED_MAX);
  }

  /** Null if it did not answer. */
  async function share(
    { address, gatewayId: source }: Target,
    { reports = [], asked = [], trial }: Shared,
  ): Promise<gatewayPeer.ShareCrashesReply | null> {
    const sentMs = clock.nowMs();
    const request: gatewayPeer.ShareCrashesRequest = {
      gatewayId,
      ...crashCodec.toCrashMessages(reports, asked, sentMs),
      ...crashCodec.toEntryLists(deps.quarantine.entries(sentMs), sentMs),
      trial: trial === undefined ? undefined : crashCodec.toTrialMessage(trial, sentMs),
    };
    const reply = await deps.link.shareCrashes(address, request, sentMs + SHARE_TIMEOUT_MS);
    if (reply.err) return null;
    const nowMs = clock.nowMs();
    request.traits.forEach((trait, index) => {
      const age = reply.val.soundAgeMs[index] ?? 0;
      if (age > 0) deps.evidence.noteSound(trait, nowMs - (age - 1));
    });
    deps.applyEntries(crashCodec.fromEntryLists(reply.val, nowMs), source);
    return reply.val;
  }

  async function tellTrial(
    message: crashCodec.TrialMessage,
  ): Promise<trialArbiters.TrialVerdict | null> {
    for (const target of collectors().slice(0, ARBITERS_ASKED_MAX)) {
      if (target.gatewayId === gatewayId) return deps.ownTrial(message);
      const reply = await share(target, { trial: message });
      if (reply !== null) return crashCodec.fromTrialReply(reply.trial);
    }
    return null;
  }

  function report(reports: readonly crashCodec.CrashReport[]): void {
    const others = collectors().filter((one) => one.gatewayId !== gatewayId);
    others.forEach((target) => {
      void share(target, { reports }).then((answer) => {
        if (answer !== null) return;
        clock.schedule(clock.nowMs() + RETRY_AFTER_MS, () => void share(target, { reports }));
      });
    });
  }

  async function usageByAll(
    candidates: readonly crashEvidence.Candidate[],
  ): Promise<ReadonlyMap<string, requestCensus.Usage> | null> {
    const targets = someLive();
    const answers = await Promise.all(
      targets.map((target) => share(target, { asked: candidates })),
    );
    const heard = answers.flatMap((answer) => (answer === null ? [] : [answer.uses]));
    if (heard.length < targets.length / 2) return null;
    const fleetShare = (book.live(clock.nowMs()).length + 1) / (targets.length + 1);
    return new Map(
      candidates.map(({ trait, sinceMs }, index) => {
        const own = deps.census.usage(trait, sinceMs);
        const all = [own, ...heard.flatMap((uses) => uses[index] ?? [])];
        const sumOf = (field: keyof requestCensus.Usage) =>
          all.reduce((sum, one) => sum + one[field], 0) * fleetShare;
        return [
          trait,
          {
            sentCount: sumOf('sentCount'),
            sentTotal: sumOf('sentTotal'),
            soundTotal: sumOf('soundTotal'),
          },
        ];
      }),
    );
  }

  function rank(key: string): number {
    const all = [{ gatewayId }, ...book.live(clock.nowMs())];
    const order = rendezvous.highest(key, all, (one) => one.gatewayId, all.length);
    return order.findIndex((one) => one.gatewayId === gatewayId);
  }

  return {
    report,
    isCollector,
    isArbiter: () => collectors()[0]?.gatewayId === gatewayId,
    tellTrial,
    usageByAll,
    tellEntries: (address) => void share({ gatewayId: address, address }, {}),
    tellAll: () => someLive().forEach((target) => void share(target, {})),
    rank,
  };
}
