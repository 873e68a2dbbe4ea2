/** Numbered versions of one configuration document. The document itself is opaque to the library. */
import type { results } from '@copperlever/runtime';

/** A part of a version's document, named by the hash of its content. */
export type PartReference = { partName: string; hash: string };

/** A part with its content. */
export type Part = PartReference & { data: Buffer };

/** The head object: the newest version and where its parts are. */
export type ConfigHead = {
  version: number;
  parts: readonly PartReference[];
  /** The hash of the audit record of the patch that made this version; empty for version 0. */
  auditHash: string;
  /** Told apart from another writer's head when the answer to the write was lost. */
  nonce: string;
};

/** A version that a process holds whole. */
export type ConfigVersion<Document> = { version: number; document: Document };

/** A version with what is needed to pass it on to a peer. */
export type StoredVersion<Document> = ConfigVersion<Document> & {
  head: ConfigHead;
  /** The content of each part, by its hash. */
  parts: ReadonlyMap<string, Buffer>;
};

/** How a document is cut into parts, and put together again. */
export type DocumentCodec<Document> = {
  toParts: (document: Document) => readonly Part[];
  /** Undefined when the parts do not make a document. */
  fromParts: (parts: readonly Part[]) => Document | undefined;
};

/** One accepted patch. Each record names the one before it, so that the trail is one line. */
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
  /** The patch was written against a version that is not the newest. */
  | { kind: 'stale'; presentVersion: number }
  /** Nothing was changed. */
  | { kind: 'store-unavailable'; retryAtMs: number }
  /** At the deadline it was open whether the patch was accepted; the history will tell. */
  | { kind: 'outcome-unknown'; version: number; auditHash: string }
  | { kind: 'too-large'; partName: string; sizeBytes: number }
  /** The store's objects do not make a document. */
  | { kind: 'malformed'; key: string };

export type Submission<Document> = {
  operator: string;
  /** As the operator wrote it, for the audit trail. */
  patch: unknown;
  againstVersion: number;
  /** What the patch makes of the document of `againstVersion`. */
  document: Document;
};

export type ConfigStore<Document> = {
  /** The newest version; null before the first. Parts in `known` are not read again. */
  read: (
    deadlineMs: number,
    known?: ReadonlyMap<string, Buffer>,
  ) => Promise<results.Result<StoredVersion<Document> | null, ConfigError>>;
  /** The version as a peer sent it, if it is whole and unharmed. */
  assemble: (
    head: ConfigHead,
    parts: ReadonlyMap<string, Buffer>,
  ) => StoredVersion<Document> | undefined;
  /** Resolves to the accepted version, ready to be passed on. */
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
  /** A peer said that it holds `version`; the follower fetches it if it is newer. */
  onPeerVersion: (version: number, memberId: string) => void;
  /** Takes a version that this process itself has just submitted or read. */
  offer: (version: StoredVersion<Document>) => void;
  /** What a peer lacks that holds `heldVersion`; undefined when this process has nothing newer. */
  share: (heldVersion: number, heldPartHashes: readonly string[]) => SharedVersion | undefined;
  onChange: (listener: (version: ConfigVersion<Document>) => void) => void;
  start: () => void;
  stop: () => Promise<void>;
};

/** A version on its way between two peers, without the parts that the receiver holds. */
export type SharedVersion = {
  head: ConfigHead;
  parts: readonly { hash: string; data: Buffer }[];
};
