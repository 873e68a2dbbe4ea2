/**
 * The software versions that the upstreams of each service recently had, as far as this gateway knows. If a service had only one
 * version for as long as streams live, every stream began at it, at whichever gateway. This holds because no gateway begins
 * streams at a new version before the lists of all others have it or are too old to be relied on.
 */
import type * as listBudgets from './list-budget.js';

export type ListedVersion = { service: string; softwareVersion: string };

export type VersionHistory = {
  /** The versions that are listed now. */
  note: (listed: readonly ListedVersion[], nowMs: number) => void;
  /** The only version at which a stream of the service that still lives can have begun; null if several are possible. */
  onlyVersion: (service: string, listAgeMs: number | null, nowMs: number) => string | null;
  /** Whether streams may begin at the version already: other gateways may not have heard of it yet. */
  mayBegin: (service: string, version: string, nowMs: number) => boolean;
};

export type VersionHistoryOptions = {
  /** Before this nothing was observed; -Infinity if no stream can have begun before. */
  sinceMs: number;
  /** How long after its first event a stream may be resumed by its caller. */
  streamLifeMs: () => number;
  listBudget: Pick<listBudgets.ListBudget, 'maxOnlyVersionAgeMs' | 'newVersionHoldMs'>;
};

type Version = { firstMs: number; goneMs: number | null };

export function createVersionHistory(options: VersionHistoryOptions): VersionHistory {
  const { sinceMs, streamLifeMs, listBudget } = options;
  const services = new Map<string, Map<string, Version>>();

  function noteListed({ service, softwareVersion }: ListedVersion, firstMs: number): void {
    const versions = services.get(service) ?? new Map<string, Version>();
    services.set(service, versions);
    const version = versions.get(softwareVersion);
    if (version === undefined) versions.set(softwareVersion, { firstMs, goneMs: null });
    else version.goneMs = null;
  }

  function noteGone(listed: ReadonlySet<string>, nowMs: number): void {
    services.forEach((versions, service) => {
      versions.forEach((version, name) => {
        if (!listed.has(`${service}\n${name}`)) version.goneMs ??= nowMs;
        const isForgotten = version.goneMs !== null && nowMs - version.goneMs > streamLifeMs();
        if (isForgotten) versions.delete(name);
      });
    });
  }

  return {
    note: (listed, nowMs) => {
      const keys = new Set(
        listed.map(({ service, softwareVersion }) => `${service}\n${softwareVersion}`),
      );
      const knownServices = new Set(services.keys());
      listed.forEach((entry) => {
        // It is not known how long the versions of a service have been listed when it is first seen: assumed to be long.
        noteListed(entry, knownServices.has(entry.service) ? nowMs : -Infinity);
      });
      noteGone(keys, nowMs);
    },
    onlyVersion: (service, listAgeMs, nowMs) => {
      const isListRecent = listAgeMs !== null && listAgeMs <= listBudget.maxOnlyVersionAgeMs;
      if (!isListRecent || nowMs - sinceMs < streamLifeMs()) return null;
      const versions = [...(services.get(service) ?? [])].filter(
        ([, { goneMs }]) => goneMs === null || nowMs - goneMs <= streamLifeMs(),
      );
      return versions.length === 1 ? (versions[0]?.[0] ?? null) : null;
    },
    mayBegin: (service, version, nowMs) => {
      const known = services.get(service)?.get(version);
      return known !== undefined && nowMs - known.firstMs >= listBudget.newVersionHoldMs;
    },
  };
}
