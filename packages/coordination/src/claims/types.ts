/** Claims: records that allow at most one run for each idempotency key. */
import type { results } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

/** The one attempt that a claim allows, at one incarnation of one agent. */
export type ClaimTarget = {
  memberId: string;
  incarnation: number;
  dispatchId: string;
  /**
   * The member's tick that the holder knew before it wrote the claim. The dispatch carries it, so that a holder that
   * was paused after its claim cannot start an attempt that a resend has revoked.
   */
  tick: number;
};

/** How the claimed request ended. */
export type ClaimOutcome =
  | { kind: 'finished'; status: number; contentType: string; bodyBase64: string }
  | { kind: 'finished-not-kept'; status: number }
  | { kind: 'failed'; cause: string }
  /** The request did not run: a resend may take the claim over without revoking the attempt at the target. */
  | { kind: 'refused'; cause: string }
  | { kind: 'unknown'; cause: string };

export type Claim = {
  key: string;
  /** A hash of the request; detects one key used for two different requests. */
  fingerprint: string;
  requestId: string;
  holderId: string;
  nonce: string;
  target: ClaimTarget | null;
  outcome: ClaimOutcome | null;
  /** Epoch milliseconds; used to remove old claims. */
  createdAtMs: number;
};

export type HeldClaim = { claim: Claim; version: number };

export type ClaimAttempt =
  /** This caller holds the claim and may dispatch to its target. */
  | { kind: 'held'; held: HeldClaim }
  /** Another request with the same key holds the claim. */
  | { kind: 'taken'; held: HeldClaim };

export type ClaimError =
  | { kind: 'store-unavailable'; retryAtMs: number }
  /** Another writer changed the claim, so this caller must stop. */
  | { kind: 'lost' };

export type Claims = {
  claim: (
    wanted: Omit<Claim, 'nonce' | 'outcome' | 'createdAtMs'>,
    deadlineMs: number,
  ) => Promise<results.Result<ClaimAttempt, ClaimError>>;
  /** Changes the target, or takes the claim over from a holder whose attempt was revoked. */
  retarget: (
    held: HeldClaim,
    change: { requestId: string; holderId: string; target: ClaimTarget },
    deadlineMs: number,
  ) => Promise<results.Result<HeldClaim, ClaimError>>;
  settle: (
    held: HeldClaim,
    outcome: ClaimOutcome,
    deadlineMs: number,
  ) => Promise<results.Result<HeldClaim, ClaimError>>;
  read: (key: string, deadlineMs: number) => Promise<results.Result<HeldClaim | null, ClaimError>>;
};

export type ClaimStore = Pick<objectStore.ObjectStore, 'get' | 'put'>;
