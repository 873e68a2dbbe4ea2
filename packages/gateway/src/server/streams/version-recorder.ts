/**
 * Keeps the record of the software versions at which streams may have begun, in the platform's store: it outlives all gateways.
 * A version is recorded before the first stream begins at it, so that a gateway that has just started knows what the streams of
 * before can have begun at.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks, randoms } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import type * as versionHistories from '../../shared/version-history.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';

export type VersionRecorderDeps = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info' | 'error'>;
  random: randoms.Random;
  store: Pick<stores.RecordStore, 'get' | 'put' | 'era'>;
  history: versionHistories.VersionHistory;
  isHolder: () => boolean;
  /** Services with streams that may be resumed; null before the first configuration. */
  services: () => readonly string[] | null;
  /** The settings say that no gateway ran before; believed only where the store has no record. */
  isFirstStart: boolean;
  newVersionHoldMs: number;
};

export type VersionRecorder = {
  start: () => void;
  stop: () => void;
  /** Upstreams have been listed: the record is read after that, since what it names beyond the list is gone. */
  noteListed: () => void;
  /** Whether streams can begin, as far as the record matters; a store that doesn't answer holds a start up only for a while. */
  isSettled: () => boolean;
  /**
   * The only version that the record names for the service, confirmed by a write: reads may be answered with what was true before.
   * Null if it names several, may lack some, or could not be written.
   */
  confirmOnly: (service: string) => Promise<string | null>;
};

/** One record for all services: they change by releases, a few times a day each. */
const RECORD_NAME = 'main';
const CALL_TIMEOUT_MS = 1_000;
/** Some round trips to the store; callers wait for it. */
const CONFIRM_TIMEOUT_MS = 500;
/** Of a record that may lack something. */
const NO_ERA = -1;
const STEP_MS = 100;
const START_MAX_MS = 3_000;
/** After a call that failed, and up to twice as long, so that not all gateways ask a store that is short of capacity at once. */
const RETRY_MS = 500;
/** So long the holder has for itself, and the others after it, so that few of them ask and one writes. */
const OTHERS_AFTER_MS = 50;
const SPREAD_MS = 150;

/** The record as it was last read. */
type Read = {
  revision: number | null;
  services: readonly versionHistories.RecordedVersions[];
  isPresent: boolean;
  /** The era of the store in which nothing was missing in it. */
  era: number;
};

function describe(services: readonly versionHistories.RecordedVersions[]): string {
  return services
    .map(
      ({ service, versions, isComplete }) =>
        `${service}=${versions.join('+')}${isComplete ? '' : '/incomplete'}`,
    )
    .join(' ');
}

export function createVersionRecorder(deps: VersionRecorderDeps): VersionRecorder {
  const { clock, log, store, history } = deps;
  const stopping = new AbortController();
  let latest: Read | null = null;
  let isListed = false;
  let hasStepped = false;
  let startedMs = clock.nowMs();
  /** When this gateway, which isn't the holder, looks after what lacks a record; null while nothing does. */
  let turnMs: number | null = null;
  /** From when on the record is vouched for in the era of the store. */
  let vouchedEra = 0;
  let vouchFromMs = 0;
  /** A record was read from which nothing could be missing. */
  let hasKnownAll = false;
  let retryAtMs = -Infinity;
  let wakeUp: () => void = () => {};
  let confirmation: Promise<Read | null> = Promise.resolve(null);
  let nextConfirmation: Promise<Read | null> | null = null;

  /** Whether nothing of the record can be missing: a return of the store from a copy may lose what was written in the era before. */
  function isComplete({ era }: Read): boolean {
    return era === store.era();
  }

  function retryLater(): void {
    retryAtMs = clock.nowMs() + RETRY_MS + deps.random.below(RETRY_MS);
  }

  async function read(): Promise<Read | null> {
    const observedSinceMs = history.observedSinceMs();
    const found = await store.get('streamVersions', RECORD_NAME, clock.nowMs() + CALL_TIMEOUT_MS);
    if (found.err) {
      retryLater();
      return null;
    }
    // What was asked before a gap in the list does not show what was recorded during it.
    if (history.observedSinceMs() !== observedSinceMs) return null;
    const { revision = null, value = null } = found.val ?? {};
    const isBeforeFirst = value === null && deps.isFirstStart && store.era() === 0;
    latest = {
      revision,
      services: value?.services ?? [],
      isPresent: value !== null,
      era: isBeforeFirst ? 0 : (value?.era ?? NO_ERA),
    };
    const isLossless = isComplete(latest);
    hasKnownAll ||= isLossless;
    const isNew = !history.isRecordCurrent();
    history.applyRecord(latest.services, isLossless, clock.nowMs());
    if (isNew) {
      const { isPresent } = latest;
      log.info('stream-versions-read', {
        isPresent,
        isLossless,
        versions: describe(latest.services),
      });
    }
    return latest;
  }

  /** No stream of it can have begun: one would be in a record from which nothing can be missing. */
  function isFirst(service: string, known: Read): boolean {
    return isComplete(known) && known.services.every((one) => one.service !== service);
  }

  /** Whether its versions may be recorded at once. They may too where no gateway that records has run: there is nobody to agree with. */
  function isUnheld(service: string, known: Read): boolean {
    return isFirst(service, known) || (!known.isPresent && store.era() === 0);
  }

  function wantedOf(service: string, known: Read): versionHistories.RecordedVersions | null {
    const recorded = known.services.find((one) => one.service === service) ?? null;
    const options = {
      mayMaintain: deps.isHolder(),
      isFirst: isFirst(service, known),
      isUnheld: isUnheld(service, known),
    };
    return history.wanted(service, recorded, options, clock.nowMs());
  }

  /**
   * Whether the record is to be marked as complete in this era. After a return of the store from a copy it may lack versions; those that
   * are in use are known here once they have been listed for `newVersionHoldMs`.
   */
  function mustVouch(known: Read): boolean {
    const era = store.era();
    if (era !== vouchedEra) {
      vouchedEra = era;
      vouchFromMs = clock.nowMs() + deps.newVersionHoldMs;
    }
    const knowsAll = hasKnownAll || history.hasObservedLives(1, clock.nowMs());
    return knowsAll && !isComplete(known) && clock.nowMs() >= vouchFromMs;
  }

  function isDue(services: readonly string[], known: Read): boolean {
    const nowMs = clock.nowMs();
    const isLacking = services.some((service) =>
      history.lacksRecord(service, isUnheld(service, known), nowMs),
    );
    if (deps.isHolder()) {
      return isLacking || mustVouch(known) || services.some((one) => wantedOf(one, known) !== null);
    }
    if (!isLacking) {
      turnMs = null;
      return false;
    }
    const waitsMs = services.some((service) => isUnheld(service, known))
      ? 0
      : OTHERS_AFTER_MS + deps.random.below(SPREAD_MS);
    turnMs ??= nowMs + waitsMs;
    return nowMs >= turnMs;
  }

  /** Returns whether the record says what it should. */
  async function write(services: readonly string[], known: Read): Promise<boolean> {
    const changed = services.flatMap((service) => wantedOf(service, known) ?? []);
    const isVouching = mustVouch(known);
    if (changed.length === 0 && !isVouching) return true;
    const others = known.services.filter(({ service }) =>
      changed.every((one) => one.service !== service),
    );
    const nowMs = clock.nowMs();
    const vouched = isVouching
      ? others.map((one) => ({ ...one, isComplete: history.isComplete(one.service, nowMs) }))
      : others;
    const value = {
      services: [...vouched, ...changed],
      // What may lack something stays marked as such until it is vouched for.
      era: isComplete(known) || isVouching ? store.era() : NO_ERA,
    };
    const deadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const observedSinceMs = history.observedSinceMs();
    const put = await store.put('streamVersions', RECORD_NAME, value, known.revision, deadlineMs);
    if (put.err) {
      if (put.val.kind !== 'conflict') retryLater();
      return false;
    }
    if (history.observedSinceMs() !== observedSinceMs) return false;
    const { era } = value;
    latest = { revision: put.val.revision, services: value.services, isPresent: true, era };
    const isLossless = isComplete(latest);
    history.applyRecord(value.services, isLossless, clock.nowMs());
    log.info('stream-versions-recorded', { versions: describe(changed), isLossless });
    return true;
  }

  /** Writes the record as it was read, which fails if it has been changed since. */
  async function confirmRecord(): Promise<Read | null> {
    const present = await read();
    if (present === null || !present.isPresent || !isComplete(present)) return null;
    const { revision, services, era } = present;
    const deadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const put = await store.put(
      'streamVersions',
      RECORD_NAME,
      { services: [...services], era },
      revision,
      deadlineMs,
    );
    if (put.err) return null;
    latest = { ...present, revision: put.val.revision };
    return latest;
  }

  /** One confirmation for all that ask before it begins: streams that begin after it may be missing in it. */
  function confirm(): Promise<Read | null> {
    if (nextConfirmation !== null) return nextConfirmation;
    const next = confirmation.then(() => {
      nextConfirmation = null;
      return confirmRecord();
    });
    nextConfirmation = next;
    confirmation = next;
    return next;
  }

  async function step(): Promise<void> {
    const services = deps.services();
    if (!isListed || services === null || clock.nowMs() < retryAtMs) return;
    const known = latest !== null && history.isRecordCurrent() ? latest : await read();
    if (known === null) return;
    if (!isDue(services, known)) {
      hasStepped = true;
      return;
    }
    const present = await read();
    if (present !== null && (await write(services, present))) hasStepped = true;
  }

  async function pause(): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      wakeUp = resolve;
    });
    await clocksModule.raceDeadline(clock, clock.nowMs() + STEP_MS, woken);
  }

  async function run(): Promise<void> {
    startedMs = clock.nowMs();
    while (!stopping.signal.aborted) {
      await steps.guard(deps.log, 'stream-versions', step);
      await pause();
    }
  }

  return {
    start: () => void run(),
    stop: () => {
      stopping.abort();
      wakeUp();
    },
    noteListed: () => {
      if (isListed) return;
      isListed = true;
      wakeUp();
    },
    confirmOnly: async (service) => {
      const deadlineMs = clock.nowMs() + CONFIRM_TIMEOUT_MS;
      const confirmed = await clocksModule.raceDeadline(clock, deadlineMs, confirm());
      if (confirmed === 'deadline') return null;
      const recorded = confirmed?.services.find((one) => one.service === service);
      const [only] = recorded?.versions ?? [];
      const isOnly = recorded?.versions.length === 1 && recorded.isComplete;
      return isOnly ? (only ?? null) : null;
    },
    isSettled: () => hasStepped || clock.nowMs() - startedMs >= START_MAX_MS,
  };
}
