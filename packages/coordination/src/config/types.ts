/** Numbered versions of one configuration document. The document itself is opaque to the library. */

/** A part of a version's document, named by the hash of its content. */
export type PartReference = { partName: string; hash: string };

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

export type ConfigFollower<Document> = {
  /** The newest version that this process holds; null before the first. */
  current: () => ConfigVersion<Document> | null;
  /** A peer said that it holds `version`; the follower fetches it if it is newer. */
  hearOf: (version: number, memberId: string) => void;
  onChange: (listener: (version: ConfigVersion<Document>) => void) => void;
};
