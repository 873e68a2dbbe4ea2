/** Numbered versions of one configuration document. The document itself is opaque to the library. */
import type { results } from '@copperlever/runtime';

/** A part of a version's document, named by the hash of its content. */
export type PartReference = { partName: string; hash: string };

/** A part with its content. */
export type Part = PartReference & { data: Buffer };

/** The head object: the newest version and the references to its parts. */
export type ConfigHead = {
  version: number;
  parts: readonly PartReference[];
  /** The hash of the audit record of the patch that made this version; empty for version 0. */
  auditHash: string;
  /** Identifies the writer's own head when the answer to the write was lost. */
  nonce: string;
};

/** A version with its complete document. */
export type ConfigVersion<Document> = { version: number; document: Document };

/** A version with the data that is needed to send it to a peer. */
export type StoredVersion<Document> = ConfigVersion<Document> & {
  head: ConfigHead;
  /** The content of each part, by its hash. */
  parts: ReadonlyMap<string, Buffer>;
};

/** Splits a document into parts, and joins them again. */
export type DocumentCodec<Document> = {
  toParts: (document: Document) => readonly Part[];
  /** Undefined if the parts do not form a document. */
  fromParts: (parts: readonly Part[]) => Document | undefined;
};

/** One accepted patch. Each record references the previous one, so that the records form one chain. */
export type AuditRecord = {
  version: number;
  againstVersion: number;
  operator: string;
  /** RFC 3339. */
  acceptedAt: string;
  patch: unknown;
  previousAuditHash: string;
};

export type ConfigError =
  /** The patch was written against a version that is no longer the newest. */
  | { kind: 'stale'; presentVersion: number }
  /** Nothing was changed. */
  | { kind: 'store-unavailable'; retryAtMs: number }
  /** At the deadline it was unknown whether the patch was accepted; the history shows it later. */
  | { kind: 'outcome-unknown'; version: number; auditHash: string }
  | { kind: 'too-large'; partName: string; sizeBytes: number }
  /** The objects in the store do not form a document. */
  | { kind: 'malformed'; key: string };

export type Submission<Document> = {
  operator: string;
  /** The patch as the operator wrote it, for the audit trail. */
  patch: unknown;
  againstVersion: number;
  /** The document of `againstVersion` with the patch applied. */
  document: Document;
};

export type ConfigStore<Document> = {
  /** The newest version; null before the first. Parts in `known` are not read again. */
  read: (
    deadlineMs: number,
    known?: ReadonlyMap<string, Buffer>,
  ) => Promise<results.Result<StoredVersion<Document> | null, ConfigError>>;
  /** Assembles a version that a peer sent; undefined if parts are missing or corrupt. */
  assemble: (
    head: ConfigHead,
    parts: ReadonlyMap<string, Buffer>,
  ) => StoredVersion<Document> | undefined;
  /** Resolves to the accepted version, with the data to send it to peers. */
  submit: (
    submission: Submission<Document>,
    deadlineMs: number,
  ) => Promise<results.Result<StoredVersion<Document>, ConfigError>>;
  /** Accepted patches, the newest first. */
  history: (
    limit: number,
    deadlineMs: number,
  ) => Promise<results.Result<readonly AuditRecord[], ConfigError>>;
};

export type ConfigFollower<Document> = {
  /** The newest version that this process holds; null before the first. */
  current: () => ConfigVersion<Document> | null;
  /** The number of the newest version that this process holds; zero before the first. */
  version: () => number;
  /** Called when a peer reports that it holds `version`; the follower fetches it if it is newer. */
  onPeerVersion: (version: number, memberId: string) => void;
  /** Adopts a version that this process itself has just submitted or read, if it is newer. */
  offer: (version: StoredVersion<Document>) => void;
  /** The data that a peer at `heldVersion` lacks; undefined if this process has nothing newer. */
  share: (heldVersion: number, heldPartHashes: readonly string[]) => SharedVersion | undefined;
  onChange: (listener: (version: ConfigVersion<Document>) => void) => void;
  start: () => void;
  stop: () => Promise<void>;
};

/** A version as sent to a peer, without the parts that the receiver holds already. */
export type SharedVersion = {
  head: ConfigHead;
  parts: readonly { hash: string; data: Buffer }[];
};
