/** Claims: at most one run for each idempotency key. */
import type { results } from '@copperlever/runtime';

import type * as objectStore from '../object-store/types.js';

/** Which attempt a claim allows: at one incarnation of one agent. */
export type ClaimTarget = {
  memberId: string;
  incarnation: number;
  dispatchId: string;
  /**
   * The member's tick that the holder knew before it wrote the claim. The dispatch carries this one,
   * so that a holder that was paused after its claim cannot start what a resend has revoked.
   */
  tick: number;
};

/** How the claimed request ended. */
export type ClaimOutcome =
  | { kind: 'finished'; status: number; contentType: string; bodyBase64: string }
  | { kind: 'finished-not-kept'; status: number }
  | { kind: 'failed'; cause: string }
  /** It did not run: a resend may take the claim over without asking the target. */
  | { kind: 'refused'; cause: string }
  | { kind: 'unknown'; cause: string };

export type Claim = {
  key: string;
  /** A hash of the request: one key must not stand for two different requests. */
  fingerprint: string;
  requestId: string;
  holderId: string;
  nonce: string;
  target: ClaimTarget | null;
  outcome: ClaimOutcome | null;
  /** Epoch milliseconds; kept so that old claims can be swept. */
  createdAtMs: number;
};

export type HeldClaim = { claim: Claim; version: number };

export type ClaimAttempt =
  /** This caller holds the claim and may dispatch to its target. */
  | { kind: 'held'; held: HeldClaim }
  /** Another request with the key was first. */
  | { kind: 'taken'; held: HeldClaim };

export type ClaimError =
  | { kind: 'store-unavailable'; retryAtMs: number }
  /** Another writer changed the claim: this one must stop. */
  | { kind: 'lost' };

export type Claims = {
  claim: (
    wanted: Omit<Claim, 'nonce' | 'outcome' | 'createdAtMs'>,
    deadlineMs: number,
  ) => Promise<results.Result<ClaimAttempt, ClaimError>>;
  /** Names another target, or takes the claim over from a holder whose attempt was revoked. */
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
