/**
 * Follows which requests run at each upstream, to tell on its end which of them may have caused it. A request that crashes its
 * upstream does so when the answer begins: one whose answer had gone on for a while when the upstream ended is innocent.
 */
import type { clocks } from '@copperlever/runtime';

import type * as requestCensus from '../../shared/crashes/request-census.js';
import type * as livenessProbes from './liveness-probe.js';

/**
 * How an attempt ended, as evidence. `whole`: its framing shows that the answer is complete. `unframed`: the end of the
 * connection ended it, which may have been a crash. `lost`: the connection broke. `other` shows nothing.
 */
export type AttemptEvidence = 'whole' | 'unframed' | 'lost' | 'other';

export type WatchedAttempt = {
  /** The first event or the whole answer has arrived. */
  began: () => void;
  ended: (evidence: AttemptEvidence) => void;
};

/** An upstream that lost answers. */
export type LostUpstream = {
  upstreamId: string;
  liveness: livenessProbes.Liveness;
  atMs: number;
  /** Attempts that were lost, or ran there when it ended. */
  lostCount: number;
  /** The traits of each request that may have ended it. */
  suspects: readonly (readonly string[])[];
  /** The trait of the whole request that was there on trial; undefined if none was. */
  trialTrait: string | undefined;
};

export type CrashWatch = {
  /** `trialTrait`: of a request on trial. */
  started: (
    upstreamId: string,
    address: string,
    request: requestCensus.SentRequest,
    trialTrait?: string,
  ) => WatchedAttempt;
  /** Resolves once it is known whether the upstream, which may have lost answers, has ended. */
  settled: (upstreamId: string) => Promise<void>;
  /** It answered a request that was sent at `sentMs`. */
  noteAnswered: (upstreamId: string, sentMs: number) => void;
  /** Begin times of answers with the trait that have gone on for long enough, of those that still run. */
  runningSoundMs: (trait: string) => number | null;
  retain: (upstreamIds: ReadonlySet<string>) => void;
};

export type CrashWatchDeps = {
  clock: Pick<clocks.Clock, 'nowMs' | 'schedule'>;
  probe: livenessProbes.LivenessProbe;
  /** Whether an end of the upstream is expected, since it leaves. */
  isLeaving: (upstreamId: string) => boolean;
  census: requestCensus.RequestCensus;
  onLost: (lost: LostUpstream) => void;
  /** An upstream that was taken for ended answers. */
  onReturned: (upstreamId: string) => void;
};

type Attempt = requestCensus.SentRequest & {
  trialTrait: string | undefined;
  startedMs: number;
  beganMs: number | null;
};

type Watched = {
  open: Set<Attempt>;
  lost: Attempt[];
  unframed: Attempt[];
  isProbing: boolean;
  onSettled: (() => void)[];
  endedMs: number | null;
};

/** A request that ends its upstream does so as its answer begins. An answer that has gone on for so long is sound. */
export const SOUND_AFTER_MS = 500;
/** One that began earlier did not end its upstream. Between the two the end shows neither. */
export const SUSPECT_BEFORE_MS = 300;
/** A trait that was sound so lately needs no proof. */
const PROVEN_MS = 60_000;
/** Unframed answers that end within this time share a probe. */
const UNFRAMED_DELAY_MS = 50;

export function createCrashWatch(deps: CrashWatchDeps): CrashWatch {
  const { clock, census } = deps;
  const upstreams = new Map<string, Watched>();

  function watchedOf(upstreamId: string): Watched {
    const found = upstreams.get(upstreamId);
    if (found !== undefined) return found;
    const watched = {
      open: new Set<Attempt>(),
      lost: [],
      unframed: [],
      isProbing: false,
      onSettled: [],
      endedMs: null,
    };
    upstreams.set(upstreamId, watched);
    return watched;
  }

  function hasGoneOn({ beganMs }: Attempt, untilMs: number): boolean {
    return beganMs !== null && untilMs - beganMs >= SOUND_AFTER_MS;
  }

  function maySuspect({ beganMs }: Attempt, endedMs: number): boolean {
    return beganMs === null || endedMs - beganMs < SUSPECT_BEFORE_MS;
  }

  function noteSound({ traits, pool, beganMs, startedMs }: Attempt): void {
    census.noteSound({ traits, pool }, beganMs ?? startedMs);
  }

  function needsProof({ traits }: Attempt): boolean {
    const provenFromMs = clock.nowMs() - PROVEN_MS;
    return traits.some((trait) => (census.lastSoundMs(trait) ?? -Infinity) < provenFromMs);
  }

  /** The probe was sent at `atMs`, when the first answer was lost. */
  function settle(
    upstreamId: string,
    watched: Watched,
    liveness: livenessProbes.Liveness,
    atMs: number,
  ) {
    const lost = watched.lost.splice(0);
    const unframed = watched.unframed.splice(0);
    if (liveness === 'accepts') unframed.forEach(noteSound);
    const gone =
      liveness === 'refuses' ? [...lost, ...unframed, ...watched.open] : [...lost, ...unframed];
    if (liveness === 'refuses') {
      watched.endedMs = atMs;
      gone.filter((attempt) => hasGoneOn(attempt, atMs)).forEach(noteSound);
    }
    if (lost.length === 0 && liveness !== 'refuses') return;
    const suspected = gone.filter((attempt) => maySuspect(attempt, atMs));
    const suspects = suspected.map(({ traits }) => traits);
    const trialTrait = suspected.find((attempt) => attempt.trialTrait !== undefined)?.trialTrait;
    deps.onLost({ upstreamId, liveness, atMs, lostCount: gone.length, suspects, trialTrait });
  }

  function probe(upstreamId: string, address: string, watched: Watched): void {
    if (watched.isProbing || watched.endedMs !== null || deps.isLeaving(upstreamId)) return;
    const state = watched;
    state.isProbing = true;
    const atMs = clock.nowMs();
    void deps.probe(address).then((liveness) => {
      state.isProbing = false;
      settle(upstreamId, state, liveness, atMs);
      state.onSettled.splice(0).forEach((resolve) => resolve());
    });
  }

  function proveLater(upstreamId: string, address: string, watched: Watched): void {
    clock.schedule(clock.nowMs() + UNFRAMED_DELAY_MS, () => {
      if (watched.unframed.length > 0) probe(upstreamId, address, watched);
    });
  }

  return {
    started: (upstreamId, address, request, trialTrait) => {
      const watched = watchedOf(upstreamId);
      const startedMs = clock.nowMs();
      const attempt: Attempt = { ...request, trialTrait, startedMs, beganMs: null };
      watched.open.add(attempt);
      census.noteSent(request, startedMs);
      return {
        began: () => {
          attempt.beganMs ??= clock.nowMs();
        },
        ended: (evidence) => {
          watched.open.delete(attempt);
          if (evidence === 'whole' || hasGoneOn(attempt, clock.nowMs())) noteSound(attempt);
          if (watched.endedMs !== null) return;
          if (evidence === 'lost') {
            watched.lost.push(attempt);
            probe(upstreamId, address, watched);
          }
          if (evidence === 'unframed' && needsProof(attempt)) {
            watched.unframed.push(attempt);
            if (watched.unframed.length === 1) proveLater(upstreamId, address, watched);
          }
        },
      };
    },
    settled: (upstreamId) =>
      new Promise((resolve) => {
        const watched = upstreams.get(upstreamId);
        if (watched?.isProbing === true) watched.onSettled.push(resolve);
        else resolve();
      }),
    noteAnswered: (upstreamId, sentMs) => {
      const watched = upstreams.get(upstreamId);
      if (watched?.endedMs == null || sentMs <= watched.endedMs) return;
      watched.endedMs = null;
      deps.onReturned(upstreamId);
    },
    runningSoundMs: (trait) => {
      let latestMs: number | null = null;
      const nowMs = clock.nowMs();
      for (const { open } of upstreams.values()) {
        for (const attempt of open) {
          if (!hasGoneOn(attempt, nowMs) || !attempt.traits.includes(trait)) continue;
          latestMs = Math.max(latestMs ?? -Infinity, attempt.beganMs ?? -Infinity);
        }
      }
      return latestMs;
    },
    retain: (upstreamIds) => {
      for (const [id, { open }] of upstreams) {
        if (!upstreamIds.has(id) && open.size === 0) upstreams.delete(id);
      }
    },
  };
}
