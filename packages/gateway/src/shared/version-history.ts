/**
 * The software versions at which streams that still live can have begun, as far as this gateway knows: those that it has seen listed,
 * and those of the record that all gateways share. No gateway begins streams at a version before the record names it, so that the
 * record tells a gateway that has just started what began before; and a version is recorded only once the lists of all others have it
 * or are too old to be relied on. With one version, any stream began at it, at whichever gateway.
 */
import type * as listBudgets from './list-budget.js';

export type ListedVersion = { service: string; softwareVersion: string };

/** `isComplete`: streams that live can have begun at no other version. */
export type RecordedVersions = {
  service: string;
  versions: readonly string[];
  isComplete: boolean;
};

export type VersionHistory = {
  /** The versions that are listed now. */
  note: (listed: readonly ListedVersion[], nowMs: number) => void;
  /** The store has confirmed the list as of this time. */
  noteConfirmed: (asOfMs: number) => void;
  /** The record as the store has it; empty if there is none. `isLossless`: nothing that was written to it can be missing. */
  applyRecord: (recorded: readonly RecordedVersions[], isLossless: boolean, nowMs: number) => void;
  isRecordKnown: () => boolean;
  /** Whether the record has been applied since the list has been observed without a gap. */
  isRecordCurrent: () => boolean;
  /** Since when the list has been observed without a gap in which a version could have come and gone. */
  observedSinceMs: () => number;
  /** Whether the list has been observed here for so many lives of a stream, without a gap. */
  hasObservedLives: (lives: number, nowMs: number) => boolean;
  /** The only version at which a stream of the service that still lives can have begun; null if several are possible. */
  onlyVersion: (service: string, listAgeMs: number | null, nowMs: number) => string | null;
  /** Whether streams that live can have begun at no version but those that are known here. */
  isComplete: (service: string, nowMs: number) => boolean;
  /** Whether streams may begin at the version already. */
  mayBegin: (service: string, version: string, nowMs: number) => boolean;
  /** Whether a version of the service could be used if the record named it. */
  lacksRecord: (service: string, isUnheld: boolean, nowMs: number) => boolean;
  /** What the record should say of the service by now, with what it already says; null if nothing is to be changed. */
  wanted: (
    service: string,
    recorded: RecordedVersions | null,
    options: WantedOptions,
    nowMs: number,
  ) => RecordedVersions | null;
};

export type VersionHistoryOptions = {
  /** Before this nothing was observed. */
  sinceMs: number;
  /** How long after its first event a stream may be resumed by its caller. */
  streamLifeMs: () => number;
  listBudget: Pick<listBudgets.ListBudget, 'maxOnlyVersionAgeMs' | 'newVersionHoldMs'>;
};

/**
 * `isFirst`: no stream of the service can have begun. `isUnheld`: its versions may be recorded at once. `mayMaintain`: one gateway of
 * all removes what is long gone.
 */
export type WantedOptions = { mayMaintain: boolean; isFirst: boolean; isUnheld: boolean };

type Version = {
  firstMs: number;
  goneMs: number | null;
  /** The record names it, and not only because it did long ago. */
  isRecorded: boolean;
  /** That the record names it may be long out of date: it has to be listed for a while as if it were new. */
  isStale: boolean;
};

type ServiceVersions = { versions: Map<string, Version>; isComplete: boolean };

/** One that is gone for this part of a stream's life has to be recorded anew, long before the record may lack it. */
const KEPT_SHARE = 0.5;
/** Lives of a stream after which a version that isn't listed leaves the record. */
const REMOVED_LIVES = 2;

export function createVersionHistory(options: VersionHistoryOptions): VersionHistory {
  const { sinceMs, streamLifeMs, listBudget } = options;
  const services = new Map<string, ServiceVersions>();
  let isRecordKnown = false;
  let isRecordCurrent = false;
  let observedSinceMs = sinceMs;
  let confirmedMs: number | null = null;

  function versionsOf(service: string): ServiceVersions {
    const found = services.get(service);
    if (found !== undefined) return found;
    const created = { versions: new Map<string, Version>(), isComplete: false };
    services.set(service, created);
    return created;
  }

  function hasObservedLives(lives: number, nowMs: number): boolean {
    return nowMs - observedSinceMs >= lives * streamLifeMs();
  }

  /** It has been listed for so long that each list that is relied on has it. */
  function isHeld({ firstMs }: Version, nowMs: number): boolean {
    return nowMs - firstMs >= listBudget.newVersionHoldMs;
  }

  /**
   * Streams may have begun at a version that came and went meanwhile, which only the record names. Shorter gaps hide none: a version is
   * recorded once it has been listed for `newVersionHoldMs`.
   */
  function noteGap(asOfMs: number, gapMs: number): void {
    observedSinceMs = asOfMs;
    isRecordCurrent = false;
    services.forEach((service) => {
      service.isComplete = false;
      service.versions.forEach((version) => {
        // Others may have dropped it from the record, as after an absence of this length that is seen.
        if (gapMs > KEPT_SHARE * streamLifeMs()) {
          version.isRecorded = false;
          version.isStale = true;
        }
        if (!version.isRecorded) version.firstMs = asOfMs;
      });
    });
  }

  function noteConfirmed(asOfMs: number): void {
    if (confirmedMs === null) observedSinceMs = Math.max(sinceMs, asOfMs);
    else if (asOfMs - confirmedMs > listBudget.newVersionHoldMs) {
      noteGap(asOfMs, asOfMs - confirmedMs);
    }
    confirmedMs = Math.max(confirmedMs ?? -Infinity, asOfMs);
  }

  function expire(nowMs: number): void {
    services.forEach(({ versions }) => {
      versions.forEach((version, name) => {
        if (version.goneMs === null) return;
        const goneForMs = nowMs - version.goneMs;
        if (goneForMs > KEPT_SHARE * streamLifeMs()) {
          version.isRecorded = false;
          version.isStale = true;
        }
        if (goneForMs > streamLifeMs()) versions.delete(name);
      });
    });
  }

  function noteGone(listed: ReadonlySet<string>, nowMs: number): void {
    services.forEach(({ versions }, service) => {
      versions.forEach((version, name) => {
        if (!listed.has(`${service}\n${name}`)) version.goneMs ??= nowMs;
      });
    });
  }

  function applyService({ service, versions }: RecordedVersions, nowMs: number): void {
    const known = versionsOf(service).versions;
    versions.forEach((name) => {
      const version = known.get(name);
      if (version !== undefined) {
        const isUpToDate = !version.isStale || isHeld(version, nowMs);
        version.isRecorded ||= version.goneMs === null && isUpToDate;
        return;
      }
      // Seen to be gone for as long as streams live, and not removed from the record yet.
      if (hasObservedLives(1, nowMs)) return;
      known.set(name, { firstMs: nowMs, goneMs: nowMs, isRecorded: false, isStale: true });
    });
  }

  function isComplete(service: string, nowMs: number): boolean {
    return hasObservedLives(1, nowMs) || services.get(service)?.isComplete === true;
  }

  function isListRecent(nowMs: number): boolean {
    return confirmedMs !== null && nowMs - confirmedMs <= listBudget.maxOnlyVersionAgeMs;
  }

  function mayRecord(version: Version, isUnheld: boolean, nowMs: number): boolean {
    if (version.goneMs !== null) return version.isRecorded;
    // By an old list it may have left before the lists of others had it.
    return isUnheld || version.isRecorded || (isHeld(version, nowMs) && isListRecent(nowMs));
  }

  return {
    note: (listed, nowMs) => {
      // Before what is listed now is noted: one that comes back after long is new.
      expire(nowMs);
      listed.forEach(({ service, softwareVersion }) => {
        const { versions } = versionsOf(service);
        const version = versions.get(softwareVersion);
        if (version === undefined) {
          // Once the record is known here it may name it from before a time of which others know nothing.
          const added = { firstMs: nowMs, goneMs: null, isRecorded: false, isStale: isRecordKnown };
          versions.set(softwareVersion, added);
          return;
        }
        if (version.goneMs !== null && !version.isRecorded) version.firstMs = nowMs;
        version.goneMs = null;
      });
      const keys = listed.map(({ service, softwareVersion }) => `${service}\n${softwareVersion}`);
      noteGone(new Set(keys), nowMs);
    },
    applyRecord: (recorded, isLossless, nowMs) => {
      recorded.forEach((one) => {
        applyService(one, nowMs);
        if (isLossless && one.isComplete) versionsOf(one.service).isComplete = true;
      });
      isRecordKnown = true;
      isRecordCurrent = true;
    },
    isRecordKnown: () => isRecordKnown,
    isRecordCurrent: () => isRecordCurrent,
    observedSinceMs: () => observedSinceMs,
    noteConfirmed,
    hasObservedLives,
    isComplete,
    onlyVersion: (service, listAgeMs, nowMs) => {
      if (listAgeMs !== null) noteConfirmed(nowMs - listAgeMs);
      if (listAgeMs === null || listAgeMs > listBudget.maxOnlyVersionAgeMs) return null;
      if (!isComplete(service, nowMs)) return null;
      const versions = [...(services.get(service)?.versions ?? [])].filter(
        ([, { goneMs }]) => goneMs === null || nowMs - goneMs <= streamLifeMs(),
      );
      const [only] = versions;
      if (only === undefined || versions.length > 1) return null;
      const [name, { isRecorded }] = only;
      return isRecorded || hasObservedLives(1, nowMs) ? name : null;
    },
    mayBegin: (service, version, nowMs) => {
      const known = services.get(service)?.versions.get(version);
      if (known === undefined) return false;
      if (known.isRecorded) return true;
      // A store that can't be read at the start must not keep this gateway from serving; the others have recorded what they use.
      return !isRecordKnown && isHeld(known, nowMs);
    },
    lacksRecord: (service, isUnheld, nowMs) =>
      [...(services.get(service)?.versions.values() ?? [])].some(
        (version) =>
          version.goneMs === null && !version.isRecorded && mayRecord(version, isUnheld, nowMs),
      ),
    wanted: (service, recorded, { mayMaintain, isFirst, isUnheld }, nowMs) => {
      const own = services.get(service);
      const before = recorded?.versions ?? [];
      const added = [...(own?.versions ?? [])]
        .filter(([name, version]) => !before.includes(name) && mayRecord(version, isUnheld, nowMs))
        .map(([name]) => name);
      const mayDrop = mayMaintain && hasObservedLives(REMOVED_LIVES, nowMs);
      const kept = before.filter((name) => !mayDrop || own?.versions.has(name) === true);
      const isCompleteNow = recorded?.isComplete === true || isFirst || isComplete(service, nowMs);
      const isCompletion =
        mayMaintain && recorded !== null && isCompleteNow !== recorded.isComplete;
      const isSame = added.length === 0 && kept.length === before.length && !isCompletion;
      const versions = [...kept, ...added].sort();
      return isSame ? null : { service, versions, isComplete: isCompleteNow };
    },
  };
}
