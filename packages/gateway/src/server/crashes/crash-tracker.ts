/**
 * Pools what gateways see of upstreams that end, and refuses the requests that end them. Each gateway tells a few others, which
 * follow from the fleet, of each end and its suspects. One that finds what the suspects of several ends share asks others when
 * that was last sound before it decides, and tells all.
 */
import type { gatewayPeer } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import * as crashEvidence from '../../shared/crashes/crash-evidence.js';
import type * as peerRegistries from '../../shared/peer-registry.js';
import * as quarantines from '../../shared/crashes/quarantine.js';
import * as rendezvous from '../../shared/rendezvous.js';
import type * as soundTimes from '../../shared/crashes/sound-times.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as peerLinks from '../peers/peer-link.js';
import * as crashCodec from './crash-codec.js';
import * as crashWatches from './crash-watch.js';

export type CrashTrackerDeps = {
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>;
  log: logEvents.GatewayLog;
  metrics: Pick<metricsModule.GatewayMetrics, 'answersLost' | 'quarantineChanged'>;
  evidence: crashEvidence.CrashEvidence;
  quarantine: quarantines.Quarantine;
  sound: soundTimes.SoundTimes;
  probe: crashWatches.CrashWatchDeps['probe'];
  isLeaving: crashWatches.CrashWatchDeps['isLeaving'];
  link: Pick<peerLinks.PeerLink, 'shareCrashes'>;
  book: Pick<peerRegistries.PeerRegistry, 'live' | 'lease' | 'addressOf'>;
  gatewayId: string;
  address: string;
  /** Something was decided here. */
  onDecided: () => void;
};

export type CrashTracker = {
  watch: crashWatches.CrashWatch;
  /** Handles what another gateway tells and asks. */
  handle: (request: gatewayPeer.ShareCrashesRequest) => gatewayPeer.ShareCrashesReply;
  /** Applies entries that another gateway, or the store, has told. */
  applyEntries: (entries: readonly quarantines.QuarantineEntry[], source: string) => void;
  /** Decides here, and tells others. */
  decide: (entry: quarantines.QuarantineEntry) => void;
  /** Another gateway lacks entries that this one has. */
  tellEntries: (address: string) => void;
};

const LOGGED_TRAITS_MAX = 12;
/** Gateways that gather all ends; beside them the holder of the lease, if there is one. */
const COLLECTORS = 3;
const COLLECTORS_KEY = 'ends of upstreams';
/** Gateways that are asked before a decision, and told of it at once; the others hear of it with their next exchange. */
const ASKED_MAX = 32;
/** A hundred round trips. */
const SHARE_TIMEOUT_MS = 300;
const RETRY_AFTER_MS = 200;
/** Each decision needs others to be asked: bounds what evidence from a bad source can cause. */
const DECISIONS_MAX = 20;

type Target = Pick<peerRegistries.KnownPeer, 'gatewayId' | 'address'>;

export function createCrashTracker(deps: CrashTrackerDeps): CrashTracker {
  const { clock, log, evidence, sound, quarantine, book, gatewayId } = deps;
  let isDeciding = false;
  let isDecidingAgain = false;

  function soundMs(trait: string): number | null {
    const times = [sound.lastMs(trait), watch.runningSoundMs(trait)];
    const known = times.flatMap((time) => time ?? []);
    return known.length === 0 ? null : Math.max(...known);
  }

  /** `TRAIT=CRASHES/AGE`: the ends beside which it was since it was last sound, and how long ago that is. */
  function describe(traits: readonly string[]): string {
    const nowMs = clock.nowMs();
    const histories = traits.map((trait) => ({
      trait,
      crashCount: evidence.crashCount(trait),
      atMs: soundMs(trait),
    }));
    return histories
      .sort((left, right) => right.crashCount - left.crashCount)
      .slice(0, LOGGED_TRAITS_MAX)
      .map(({ trait, crashCount, atMs }) => {
        const age = atMs === null ? 'never' : String(Math.round(nowMs - atMs));
        return `${trait}=${crashCount}/${age}`;
      })
      .join(',');
  }

  function noteOwnSound(traits: readonly string[]): void {
    traits.forEach((trait) => {
      const beganMs = soundMs(trait);
      if (beganMs !== null) evidence.noteSound(trait, beganMs);
    });
  }

  function collectors(): Target[] {
    const live = book.live(clock.nowMs());
    const all: Target[] = [{ gatewayId, address: deps.address }, ...live];
    const chosen = rendezvous.highest(COLLECTORS_KEY, all, (one) => one.gatewayId, COLLECTORS);
    const holder = live.filter((one) => one.gatewayId === book.lease()?.holderId);
    return [...new Set([...chosen, ...holder])].filter((one) => one.gatewayId !== gatewayId);
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

  async function share(
    { address, gatewayId: source }: Target,
    reports: readonly crashCodec.CrashReport[],
    asked: readonly string[],
  ): Promise<boolean> {
    const sentMs = clock.nowMs();
    const request: gatewayPeer.ShareCrashesRequest = {
      gatewayId,
      ...crashCodec.toCrashMessages(reports, asked, sentMs),
      quarantine: quarantine.entries(sentMs).map((one) => crashCodec.toEntryMessage(one, sentMs)),
    };
    const reply = await deps.link.shareCrashes(address, request, sentMs + SHARE_TIMEOUT_MS);
    if (reply.err) return false;
    const nowMs = clock.nowMs();
    request.traits.forEach((trait, index) => {
      const age = reply.val.soundAgeMs[index] ?? 0;
      if (age > 0) evidence.noteSound(trait, nowMs - (age - 1));
    });
    applyEntries(
      reply.val.quarantine.map((one) => crashCodec.fromEntryMessage(one, nowMs)),
      source,
    );
    return true;
  }

  function report(reports: readonly crashCodec.CrashReport[]): void {
    collectors().forEach((target) => {
      void share(target, reports, []).then((isTold) => {
        if (isTold) return;
        clock.schedule(clock.nowMs() + RETRY_AFTER_MS, () => void share(target, reports, []));
      });
    });
  }

  function entryFor(finding: crashEvidence.Finding): quarantines.QuarantineEntry {
    const before = quarantine.find(quarantines.keyOf(finding));
    const epoch = before === undefined ? 0 : before.epoch + 1;
    const nowMs = clock.nowMs();
    const untilMs = nowMs + quarantines.refusalMs(epoch);
    const { traits, crashCount } = finding;
    return {
      traits,
      epoch,
      isLifted: false,
      crashCount,
      decidedBy: gatewayId,
      decidedAtMs: nowMs,
      untilMs,
    };
  }

  /** Returns whether there may be more to decide. */
  async function decideOnce(): Promise<boolean> {
    const refused = quarantine.refusedSets();
    const candidates = evidence.candidates(refused, crashEvidence.CRASHES_MIN);
    noteOwnSound(candidates);
    if (evidence.find(refused, clock.nowMs()) === null) return false;
    await Promise.all(someLive().map((target) => share(target, [], candidates)));
    noteOwnSound(candidates);
    const finding = evidence.find(quarantine.refusedSets(), clock.nowMs());
    if (finding === null) return false;
    decide(entryFor(finding));
    return true;
  }

  async function decideAll(): Promise<void> {
    isDecidingAgain = true;
    if (isDeciding) return;
    isDeciding = true;
    for (let count = 0; isDecidingAgain && count < DECISIONS_MAX; count += 1) {
      isDecidingAgain = false;
      const hasMore = await decideOnce();
      isDecidingAgain = isDecidingAgain || hasMore;
    }
    isDeciding = false;
  }

  /** A trait that many use is decided on only after a while. */
  function decideNowAndLater(): void {
    void decideAll();
    clock.schedule(clock.nowMs() + crashEvidence.COMMON_AFTER_MS, () => void decideAll());
  }

  function logChange(entry: quarantines.QuarantineEntry, source: string): void {
    const { traits, epoch, isLifted, crashCount, decidedBy, decidedAtMs, untilMs } = entry;
    const nowMs = clock.nowMs();
    deps.metrics.quarantineChanged(isLifted ? 'lifted' : 'refused');
    log.warn(isLifted ? 'quarantine-lifted' : 'quarantined', {
      traits: traits.join(','),
      epoch,
      crashCount,
      decidedBy,
      ageMs: Math.round(nowMs - decidedAtMs),
      remainingMs: Math.round(untilMs - nowMs),
      source,
    });
  }

  function applyEntries(entries: readonly quarantines.QuarantineEntry[], source: string): void {
    entries
      .filter((entry) => quarantine.apply(entry, clock.nowMs()))
      .forEach((entry) => {
        logChange(entry, source);
        // What counted against them before they were lifted does not count again.
        if (entry.isLifted) entry.traits.forEach((one) => evidence.noteSound(one, clock.nowMs()));
      });
  }

  function decide(entry: quarantines.QuarantineEntry): void {
    applyEntries([entry], 'own');
    deps.onDecided();
    someLive().forEach((target) => void share(target, [], []));
  }

  function logLost(lost: crashWatches.LostUpstream, source: string): void {
    const { upstreamId, liveness, lostCount, suspects, atMs } = lost;
    log.warn(liveness === 'refuses' ? 'upstream-ended' : 'answers-lost', {
      upstreamId,
      liveness,
      lostCount,
      suspectCount: suspects.length,
      traits: describe([...new Set(suspects.flat())]),
      source,
      ageMs: Math.round(clock.nowMs() - atMs),
    });
  }

  const watch = crashWatches.createCrashWatch({
    ...deps,
    onLost: (lost) => {
      const { upstreamId, liveness, atMs, suspects } = lost;
      deps.metrics.answersLost(liveness);
      const crash = { upstreamId, atMs, suspects };
      if (liveness === 'refuses') evidence.add(crash);
      noteOwnSound(suspects.flat());
      logLost(lost, 'own');
      if (liveness !== 'refuses' || suspects.length === 0) return;
      report([{ crash, isWithdrawn: false }]);
      decideNowAndLater();
    },
    onReturned: (upstreamId) => {
      evidence.withdraw(upstreamId);
      log.info('upstream-returned', { upstreamId });
      report([{ crash: { upstreamId, atMs: clock.nowMs(), suspects: [] }, isWithdrawn: true }]);
    },
  });

  function handleReport({ crash, isWithdrawn }: crashCodec.CrashReport, source: string): void {
    const { upstreamId, suspects, atMs } = crash;
    if (isWithdrawn) {
      evidence.withdraw(upstreamId);
      return;
    }
    if (!evidence.add(crash)) return;
    noteOwnSound(suspects.flat());
    const liveness = 'refuses';
    logLost({ upstreamId, liveness, atMs, lostCount: suspects.length, suspects }, source);
    decideNowAndLater();
  }

  return {
    watch,
    applyEntries,
    decide,
    tellEntries: (address) => void share({ gatewayId: address, address }, [], []),
    handle: (request) => {
      const nowMs = clock.nowMs();
      const source = request.gatewayId;
      applyEntries(
        request.quarantine.map((one) => crashCodec.fromEntryMessage(one, nowMs)),
        source,
      );
      crashCodec.fromCrashMessages(request, nowMs).forEach((one) => handleReport(one, source));
      return {
        soundAgeMs: request.traits.map((trait) => {
          const beganMs = soundMs(trait);
          return beganMs === null ? 0 : Math.max(0, Math.round(nowMs - beganMs)) + 1;
        }),
        quarantine: quarantine.entries(nowMs).map((one) => crashCodec.toEntryMessage(one, nowMs)),
      };
    },
  };
}
