/** Messages between gateways about upstreams that ended and about requests that are refused for that. */
import type { gatewayPeer } from '@copperlever/protocol';

import type * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import type * as quarantines from '../../shared/crashes/quarantine.js';
import * as requestTraits from '../../shared/crashes/request-traits.js';

/** Traits that one message names; more of them tell no more of what ended an upstream. */
const TRAITS_MAX = 2_000;

export function toEntryMessage(
  entry: quarantines.QuarantineEntry,
  nowMs: number,
): gatewayPeer.QuarantineEntryNews {
  const { traits, epoch, isLifted, crashCount, decidedBy, decidedAtMs, untilMs } = entry;
  return {
    traits: [...traits],
    epoch,
    isLifted,
    crashCount,
    decidedBy,
    ageMs: Math.max(0, Math.round(nowMs - decidedAtMs)),
    remainingMs: Math.max(0, Math.floor(untilMs - nowMs)),
  };
}

export function fromEntryMessage(
  { ageMs, remainingMs, ...news }: gatewayPeer.QuarantineEntryNews,
  nowMs: number,
): quarantines.QuarantineEntry {
  const traits = [...news.traits].sort();
  return { ...news, traits, decidedAtMs: nowMs - ageMs, untilMs: nowMs + remainingMs };
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
  const crashes = reports.map(({ crash: { upstreamId, atMs, suspects }, isWithdrawn }) => ({
    upstreamId,
    ageMs: Math.max(0, Math.round(nowMs - atMs)),
    suspects: suspects.map((traits) => ({ traits: traits.flatMap(positionOf) })),
    isWithdrawn,
  }));
  const useSinceAgeMs = asked.map(({ sinceMs }) => Math.max(0, Math.round(nowMs - sinceMs)));
  return { traits: [...positions.keys()], crashes, useSinceAgeMs };
}

export function fromCrashMessages(
  { traits, crashes }: gatewayPeer.ShareCrashesRequest,
  nowMs: number,
): CrashReport[] {
  return crashes.map(({ upstreamId, ageMs, suspects, isWithdrawn }) => ({
    crash: {
      upstreamId,
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
  return entries.flatMap(({ traits, isLifted, untilMs }) => {
    const fingerprint = traits.length === 1 ? requestTraits.toFingerprint(traits[0] ?? '') : null;
    if (isLifted || fingerprint === null) return [];
    return { fingerprint, remainingMs: Math.max(0, Math.floor(untilMs - nowMs)) };
  });
}

/** What the news of another gateway, of this build or the one before, tell of requests that are refused. */
export function fromNews(
  news: gatewayPeer.GatewayNews,
  nowMs: number,
): quarantines.QuarantineEntry[] {
  if (news.quarantineDigest !== '') {
    return news.quarantine.map((entry) => fromEntryMessage(entry, nowMs));
  }
  return news.quarantined.map(({ fingerprint, remainingMs }) => ({
    traits: [requestTraits.ofFingerprint(fingerprint)],
    epoch: 0,
    isLifted: false,
    crashCount: 0,
    decidedBy: news.gatewayId,
    decidedAtMs: nowMs,
    untilMs: nowMs + remainingMs,
  }));
}
