/** The platform's store as the gateway uses it: records by kind and name, with conditions and watches. */
import type { results } from '@copperlever/runtime';

import type * as storePositions from '../shared/store-positions.js';
import type * as fleet from './fleet.js';

/** Who may give orders to upstreams. The term grows with each new holder and fences older ones. */
export type LeaseValue = {
  /** Empty for that of a record that cannot be read. */
  holderId: string;
  /** Where the holder answers other gateways: one whose seeds are all gone finds it here. */
  address: string;
  term: number;
  /** Gateways that the holder knew of, itself among them: one that starts learns how many share what there is. */
  gatewayCount: number;
  /** Organisations whose quota was nearly used up: of the others one that starts may admit more before it is lent any. */
  scarceOrganisations: readonly string[];
  /** Counts renewals, so that each one changes the record. */
  renewals: number;
  /** Set by a holder that stops: nothing of its own is under way. */
  isReleased: boolean;
  /**
   * So long after this record was written its holder still gives no orders, since another gateway may just have given some. A duration,
   * because the next life of the holder has no clock in common with this one. Null in records of builds that don't write it.
   */
  orderDelayMs: number | null;
};

/** Requests with all of these traits are refused, since upstreams end under them; see `QuarantineEntry`. Times of day. */
export type QuarantineValue = {
  traits: readonly string[];
  epoch: number;
  /** An operator may set it. */
  isLifted: boolean;
  /** It is only suspected: it may be sent alone. */
  isSuspected: boolean;
  trialCount: number;
  crashCount: number;
  /** Over a quarter of the requests have these traits; null from the build before, which refused for long without proof. */
  isCommon: boolean | null;
  decidedBy: string;
  decidedAtWallMs: number;
  untilWallMs: number;
};

/**
 * The software versions at which streams that live may have begun, by service. `isComplete`: at no others. `era`: of the store when it
 * was last known to lack nothing; another one means that a return from a copy may have lost a part of it.
 */
export type StreamVersionsValue = {
  services: readonly { service: string; versions: readonly string[]; isComplete: boolean }[];
  era: number;
};

/** Which version began each of these streams. By the time of day records of long ago are told from those of streams that live. */
export type StreamOriginsValue = {
  writtenAtWallMs: number;
  origins: readonly { requestId: string; service: string; version: string }[];
};

/** What is kept under each kind. */
export type KindValues = {
  upstreams: fleet.UpstreamRecord;
  configuration: fleet.FleetConfig;
  leases: LeaseValue;
  quarantine: QuarantineValue;
  streamVersions: StreamVersionsValue;
  streamOrigins: StreamOriginsValue;
};

/** The kinds that gateways write. */
export type OwnKind = 'leases' | 'quarantine' | 'streamVersions' | 'streamOrigins';

export type Kind = keyof KindValues;

/** At the position of its last change. */
export type StoredRecord<Value> = storePositions.Position & { name: string; value: Value };

export type StoreError =
  /** Nothing was done. */
  | { kind: 'unavailable'; reason: string }
  /** The answer was lost, or makes no sense: it may have been done. */
  | { kind: 'outcome-unknown'; reason: string }
  /** The condition did not hold. */
  | { kind: 'conflict' }
  /** The changes since that revision are no longer known. */
  | { kind: 'history-gone' };

/** A record that another writer left in a form that nobody can read: it stands for nothing. */
export type UnreadableRecord = storePositions.Position & { name: string };

export type Listing<Value> = storePositions.Position & {
  records: readonly StoredRecord<Value>[];
  unreadable: readonly UnreadableRecord[];
};

export type Change<Value> =
  | { kind: 'written'; record: StoredRecord<Value> }
  | ({ kind: 'unreadable' } & UnreadableRecord)
  | (storePositions.Position & { kind: 'deleted'; name: string });

export type Changes<Value> = storePositions.Position & { changes: readonly Change<Value>[] };

/** All calls end by `deadlineMs` on the local monotonic clock. */
export type RecordStore = {
  /** The latest era of the store that an answer has named. */
  era: () => number;
  list: <K extends Kind>(
    kind: K,
    deadlineMs: number,
  ) => Promise<results.Result<Listing<KindValues[K]>, StoreError>>;
  /** Waits up to `waitMs` for changes after `revision`; those of another era than that of the revision are not whole. */
  watch: <K extends Kind>(
    kind: K,
    revision: number,
    waitMs: number,
    deadlineMs: number,
  ) => Promise<results.Result<Changes<KindValues[K]>, StoreError>>;
  get: <K extends Kind>(
    kind: K,
    name: string,
    deadlineMs: number,
  ) => Promise<results.Result<StoredRecord<KindValues[K]> | null, StoreError>>;
  /** Creates a record that must be absent (`revision` null), or replaces it at that revision. */
  put: <K extends OwnKind>(
    kind: K,
    name: string,
    value: KindValues[K],
    revision: number | null,
    deadlineMs: number,
  ) => Promise<results.Result<StoredRecord<KindValues[K]>, StoreError>>;
};
