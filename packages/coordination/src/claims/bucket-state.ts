/** The content of a bucket of claims, and how one operation changes it. Does no I/O. */
import type * as types from './types.js';

/** The content of a bucket's object. */
export type Bucket = {
  /** Identifies the write, so that its writer can recognise it. */
  nonce: string;
  claims: Record<string, types.HeldClaim>;
};

/** Each operation carries its claim's nonce, so that applying it again changes nothing. */
export type Operation =
  | { kind: 'claim'; claim: types.Claim }
  | { kind: 'change'; held: types.HeldClaim; claim: types.Claim };

export type Decision =
  | { kind: 'done'; held: types.HeldClaim; isChanged: boolean }
  | { kind: 'taken'; held: types.HeldClaim }
  | { kind: 'lost' };

function claimNew(bucket: Bucket, claim: types.Claim): Decision {
  const present = bucket.claims[claim.key];
  if (present?.claim.nonce === claim.nonce) {
    return { kind: 'done', held: present, isChanged: false };
  }
  if (present !== undefined) return { kind: 'taken', held: present };
  const held = { claim, version: 1 };
  bucket.claims[claim.key] = held;
  return { kind: 'done', held, isChanged: true };
}

function changeHeld(bucket: Bucket, before: types.HeldClaim, claim: types.Claim): Decision {
  const present = bucket.claims[claim.key];
  if (present === undefined) return { kind: 'lost' };
  if (present.claim.nonce === claim.nonce) {
    return { kind: 'done', held: present, isChanged: false };
  }
  const isUnchanged =
    present.version === before.version && present.claim.nonce === before.claim.nonce;
  if (!isUnchanged) return { kind: 'lost' };
  const held = { claim, version: present.version + 1 };
  bucket.claims[claim.key] = held;
  return { kind: 'done', held, isChanged: true };
}

/** Applies the operation to the bucket in place. */
export function apply(bucket: Bucket, operation: Operation): Decision {
  switch (operation.kind) {
    case 'claim':
      return claimNew(bucket, operation.claim);
    case 'change':
      return changeHeld(bucket, operation.held, operation.claim);
  }
}

/** Removes settled claims created before `settledBeforeMs`, for which no more resends are expected. */
export function prune(bucket: Bucket, settledBeforeMs: number): void {
  for (const [key, { claim }] of Object.entries(bucket.claims)) {
    if (claim.outcome !== null && claim.createdAtMs < settledBeforeMs) delete bucket.claims[key];
  }
}
