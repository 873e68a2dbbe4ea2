/** Messages between gateways about upstreams that ended and about requests that are refused for that. */
import type { gatewayPeer } from '@copperlever/protocol';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import type * as quarantines from '../../shared/crashes/quarantine.js';
import * as requestTraits from '../../shared/crashes/request-traits.js';
import type * as trialArbiters from '../../shared/crashes/trial-arbiter.js';

/** Traits that one message names; more of them tell no more of what ended an upstream. */
const TRAITS_MAX = 2_000;

type EntryLists = Pick<gatewayPeer.GatewayNews, 'quarantine' | 'suspected'>;

function toEntryMessage(
  entry: quarantines.QuarantineEntry,
  nowMs: number,
): gatewayPeer.QuarantineEntryNews {
  const { traits, epoch, state, trialCount, crashCount, isCommon, decidedBy } = entry;
  const { decidedAtMs, untilMs } = entry;
  return {
    traits: [...traits],
    epoch,
    isLifted: state === 'lifted',
    trialCount,
    crashCount,
    isCommon,
    decidedBy,
    ageMs: Math.max(0, Math.round(nowMs - decidedAtMs)),
    remainingMs: Math.max(0, Math.floor(untilMs - nowMs)),
  };
}

/** Suspected ones apart: gateways of the build before would refuse them. */
export function toEntryLists(
  entries: readonly quarantines.QuarantineEntry[],
  nowMs: number,
): EntryLists {
  const listOf = (isSuspected: boolean) =>
    entries
      .filter(({ state }) => (state === 'suspected') === isSuspected)
      .map((entry) => toEntryMessage(entry, nowMs));
  return { quarantine: listOf(false), suspected: listOf(true) };
}

function fromEntryMessage(
  { ageMs, remainingMs, isLifted, ...news }: gatewayPeer.QuarantineEntryNews,
  unlifted: 'suspected' | 'refused',
  nowMs: number,
): quarantines.QuarantineEntry {
  return {
    ...news,
    traits: [...news.traits].sort(),
    state: isLifted ? 'lifted' : unlifted,
    trialCount: news.trialCount ?? news.epoch,
    isCommon: news.isCommon ?? false,
    decidedAtMs: nowMs - ageMs,
    untilMs: nowMs + remainingMs,
  };
}

export function fromEntryLists(
  { quarantine, suspected }: EntryLists,
  nowMs: number,
): quarantines.QuarantineEntry[] {
  return [
    ...quarantine.map((one) => fromEntryMessage(one, 'refused', nowMs)),
    ...suspected.map((one) => fromEntryMessage(one, 'suspected', nowMs)),
  ];
}

export type CrashReport = { crash: crashEvidence.Crash; isWithdrawn: boolean };

/** The traits of the reports' suspects, and of what is asked about, each once. */
export function toCrashMessages(
  reports: readonly CrashReport[],
  asked: readonly crashEvidence.Candidate[],
  nowMs: number,
): Pick<gatewayPeer.ShareCrashesRequest, 'traits' | 'crashes' | 'useSinceAgeMs'> {
  const positions = new Map<string, number>();
  const positionOf = (trait: string): number[] => {
    const known = positions.get(trait);
    if (known !== undefined) return [known];
    if (positions.size >= TRAITS_MAX) return [];
    positions.set(trait, positions.size);
    return [positions.size - 1];
  };
  asked.forEach(({ trait }) => positionOf(trait));
  const crashes = reports.map(({ crash, isWithdrawn }) => ({
    upstreamId: crash.upstreamId,
    trialTrait: crash.trialTrait,
    ageMs: Math.max(0, Math.round(nowMs - crash.atMs)),
    suspects: crash.suspects.map((traits) => ({ traits: traits.flatMap(positionOf) })),
    isWithdrawn,
  }));
  const useSinceAgeMs = asked.map(({ sinceMs }) => Math.max(0, Math.round(nowMs - sinceMs)));
  return { traits: [...positions.keys()], crashes, useSinceAgeMs };
}

export function fromCrashMessages(
  { traits, crashes }: gatewayPeer.ShareCrashesRequest,
  nowMs: number,
): CrashReport[] {
  return crashes.map(({ upstreamId, ageMs, suspects, isWithdrawn, trialTrait }) => ({
    crash: {
      upstreamId,
      trialTrait,
      atMs: nowMs - ageMs,
      suspects: suspects.map((suspect) => suspect.traits.flatMap((index) => traits[index] ?? [])),
    },
    isWithdrawn,
  }));
}

/** For gateways of the build before, which know requests by their fingerprints alone. */
export function toEarlierMessages(
  entries: readonly quarantines.QuarantineEntry[],
  nowMs: number,
): gatewayPeer.QuarantineNews[] {
  return entries.flatMap(({ traits, state, untilMs }) => {
    const fingerprint = traits.length === 1 ? requestTraits.toFingerprint(traits[0] ?? '') : null;
    if (state !== 'refused' || fingerprint === null) return [];
    return { fingerprint, remainingMs: Math.max(0, Math.floor(untilMs - nowMs)) };
  });
}

/** What the news of another gateway, of this build or the one before, tell of requests that are refused. */
export function fromNews(
  news: gatewayPeer.GatewayNews,
  nowMs: number,
): quarantines.QuarantineEntry[] {
  if (news.quarantineDigest !== '') {
    return fromEntryLists(news, nowMs);
  }
  return news.quarantined.map(({ fingerprint, remainingMs }) => ({
    traits: [requestTraits.ofFingerprint(fingerprint)],
    epoch: 0,
    state: 'refused',
    trialCount: 0,
    crashCount: 0,
    isCommon: false,
    decidedBy: news.gatewayId,
    decidedAtMs: nowMs,
    untilMs: nowMs + remainingMs,
  }));
}

export type TrialMessage =
  ({ phase: 'ask' } & trialArbiters.TrialQuestion) | ({ phase: 'ended' } & trialArbiters.TrialEnd);

const OUTCOMES: readonly trialArbiters.TrialOutcome[] = ['sound', 'crashed', 'undecided'];

export function toTrialMessage(message: TrialMessage, nowMs: number): gatewayPeer.TrialNews {
  const { trait, upstreamId } = message;
  switch (message.phase) {
    case 'ask': {
      const { otherIds, crashCount, untilMs } = message;
      const remainingMs = Math.max(0, Math.round(untilMs - nowMs));
      const asked = { otherIds: [...otherIds], crashCount, remainingMs };
      return { trait, upstreamId, phase: 'ask', ...asked };
    }
    case 'ended': {
      const none = { otherIds: [], crashCount: 0, remainingMs: 0 };
      return { trait, upstreamId, phase: message.outcome, ...none };
    }
  }
}

export function fromTrialMessage(news: gatewayPeer.TrialNews, nowMs: number): TrialMessage {
  const { trait, upstreamId, phase } = news;
  if (phase === 'ask') {
    const { otherIds, crashCount, remainingMs } = news;
    const untilMs = nowMs + remainingMs;
    return { phase, trait, upstreamId, otherIds, crashCount, untilMs };
  }
  const outcome = OUTCOMES.find((one) => one === phase) ?? 'undecided';
  return { phase: 'ended', trait, upstreamId, outcome };
}

export function toTrialReply(verdict: trialArbiters.TrialVerdict): gatewayPeer.TrialReply {
  const retryAfterMs = 'retryAfterMs' in verdict ? verdict.retryAfterMs : 0;
  return { verdict: verdict.kind, retryAfterMs };
}

/** A gateway of the build before suspects nothing. */
export function fromTrialReply(
  reply: gatewayPeer.TrialReply | undefined,
): trialArbiters.TrialVerdict {
  switch (reply?.verdict) {
    case 'alone':
      return { kind: 'alone' };
    case 'busy':
    case 'last-up':
      return { kind: reply.verdict, retryAfterMs: reply.retryAfterMs };
    default:
      return { kind: 'free' };
  }
}
