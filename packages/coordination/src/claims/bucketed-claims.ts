/**
 * Stores claims in buckets by the hash of their key, one object for each bucket. One write commits all operations that
 * wait for a bucket, which saves writes where few processes make many claims a second; see docs/CAPACITY.md for rates.
 */
import { clocks, results } from '@copperlever/runtime';
import * as hashes from '@copperlever/runtime/hashes';
import type { randoms } from '@copperlever/runtime';

import * as nonces from '../nonces.js';
import * as resilientStore from '../object-store/resilient-store.js';
import type * as objectStore from '../object-store/types.js';

import * as bucketState from './bucket-state.js';
import type * as types from './types.js';

export type BucketedClaimsOptions = {
  store: types.ClaimStore;
  clock: clocks.Clock;
  random: randoms.Random;
  bucketCount: number;
  /**
   * How long a batch waits for more operations. Without a wait, a write carries hardly more than one operation unless
   * the store is slow; with a wait, the write rate is at most bucketCount / gatherMs.
   */
  gatherMs: number;
  /** How long a settled claim is kept; a bucket must have room for all claims of this period. */
  retentionMs: number;
};

type QueuedOperation = {
  operation: bucketState.Operation;
  deadlineMs: number;
  answer: (decision: bucketState.Decision | types.ClaimError) => void;
};

type BucketQueue = {
  key: string;
  waiting: QueuedOperation[];
  isCommitting: boolean;
  /** The bucket's content and version as last read or written; null if it must be read first. */
  cached: { value: Buffer | null; version: number } | null;
};

const RETRY_AFTER_MS = 1_000;
const EMPTY_BUCKET: bucketState.Bucket = { nonce: '', claims: {} };

function parse(value: Buffer | null): bucketState.Bucket {
  if (value === null) return structuredClone(EMPTY_BUCKET);
  return JSON.parse(value.toString('utf8')) as bucketState.Bucket;
}

export function createBucketedClaims(options: BucketedClaimsOptions): types.Claims {
  const { store, clock, random, bucketCount } = options;
  const queues = new Map<number, BucketQueue>();

  function queueOf(key: string): BucketQueue {
    const index = hashes.hash32(key) % bucketCount;
    const known = queues.get(index);
    if (known !== undefined) return known;
    const queue = {
      key: `claim-buckets/${bucketCount}/${index}`,
      waiting: [],
      isCommitting: false,
      cached: null,
    };
    queues.set(index, queue);
    return queue;
  }

  function unavailable(retryAtMs = clock.nowMs() + RETRY_AFTER_MS): types.ClaimError {
    return { kind: 'store-unavailable', retryAtMs };
  }

  async function readBucket(queue: BucketQueue, deadlineMs: number): Promise<boolean> {
    const read = await store.get(queue.key, deadlineMs);
    if (read.err) return false;
    queue.cached = { value: read.val?.value ?? null, version: read.val?.version ?? 0 };
    return true;
  }

  /** Fails operations whose deadline has passed. If such a claim is written later, its target was never used. */
  function dropExpired(queue: BucketQueue): void {
    const nowMs = clock.nowMs();
    const expired = queue.waiting.filter((item) => item.deadlineMs <= nowMs);
    queue.waiting = queue.waiting.filter((item) => item.deadlineMs > nowMs);
    for (const item of expired) item.answer(unavailable());
  }

  /** Attempts to commit the whole batch; undefined if it must be tried again. */
  async function attempt(
    queue: BucketQueue,
    batch: readonly QueuedOperation[],
    deadlineMs: number,
  ): Promise<bucketState.Decision[] | undefined> {
    const isFreshRead = queue.cached === null;
    if (queue.cached === null && !(await readBucket(queue, deadlineMs))) return undefined;
    const { value, version } = queue.cached ?? { value: null, version: 0 };
    const bucket = parse(value);
    const decisions = batch.map((item) => bucketState.apply(bucket, item.operation));
    const isSettled = decisions.every((decision) => decision.kind === 'done');
    if (!isSettled && !isFreshRead) {
      // The cached bucket may be stale, so "taken" and "lost" are only returned after a fresh read.
      queue.cached = null;
      return attempt(queue, batch, deadlineMs);
    }
    const isChanged = decisions.some((decision) => decision.kind === 'done' && decision.isChanged);
    if (!isChanged) return decisions;
    bucketState.prune(bucket, clock.wallMs() - options.retentionMs);
    bucket.nonce = nonces.createNonce(random);
    const next = Buffer.from(JSON.stringify(bucket));
    const condition: objectStore.WriteCondition =
      value === null ? { kind: 'absent' } : { kind: 'version', version };
    const done = await store.put(queue.key, next, condition, deadlineMs);
    queue.cached = done.ok ? { value: next, version: done.val } : null;
    return done.ok ? decisions : undefined;
  }

  /** Retries the batch until its deadline. Nonces make this safe: an operation that took effect is recognised. */
  async function commit(queue: BucketQueue, batch: readonly QueuedOperation[]): Promise<void> {
    const deadlineMs = Math.max(...batch.map((item) => item.deadlineMs));
    for (let count = 1; clock.nowMs() < deadlineMs; count += 1) {
      const decisions = await attempt(queue, batch, deadlineMs);
      if (decisions !== undefined) {
        batch.forEach((item, index) => item.answer(decisions[index] ?? unavailable()));
        return;
      }
      // Usually another process wrote first, and one more attempt succeeds without a wait.
      if (count === 1) continue;
      const retryAtMs = clock.nowMs() + resilientStore.backoffMs(count - 1, random);
      await clocks.sleepUntil(clock, Math.min(retryAtMs, deadlineMs));
    }
    for (const item of batch) item.answer(unavailable());
  }

  /** Commits one batch of a bucket at a time; operations that arrive meanwhile go into the next. */
  async function drain(queue: BucketQueue): Promise<void> {
    if (queue.isCommitting) return;
    queue.isCommitting = true;
    while (queue.waiting.length > 0) {
      if (options.gatherMs > 0) await clocks.sleepUntil(clock, clock.nowMs() + options.gatherMs);
      dropExpired(queue);
      const batch = queue.waiting;
      queue.waiting = [];
      if (batch.length > 0) await commit(queue, batch);
    }
    queue.isCommitting = false;
  }

  function enqueue(
    operation: bucketState.Operation,
    deadlineMs: number,
  ): Promise<bucketState.Decision | types.ClaimError> {
    const queue = queueOf(operation.claim.key);
    const answer = new Promise<bucketState.Decision | types.ClaimError>((resolve) => {
      queue.waiting.push({ operation, deadlineMs, answer: resolve });
    });
    void drain(queue);
    return clocks
      .raceDeadline(clock, deadlineMs, answer)
      .then((decision) => (decision === 'deadline' ? unavailable() : decision));
  }

  async function change(
    held: types.HeldClaim,
    fields: Partial<types.Claim>,
    deadlineMs: number,
  ): Promise<results.Result<types.HeldClaim, types.ClaimError>> {
    const claim = { ...held.claim, ...fields, nonce: nonces.createNonce(random) };
    const decision = await enqueue({ kind: 'change', held, claim }, deadlineMs);
    switch (decision.kind) {
      case 'done':
        return results.Ok(decision.held);
      case 'taken':
      case 'lost':
        return results.Err({ kind: 'lost' });
      case 'store-unavailable':
        return results.Err(decision);
    }
  }

  return {
    claim: async (wanted, deadlineMs) => {
      const fresh = {
        nonce: nonces.createNonce(random),
        outcome: null,
        createdAtMs: clock.wallMs(),
      };
      const operation = { kind: 'claim' as const, claim: { ...wanted, ...fresh } };
      const decision = await enqueue(operation, deadlineMs);
      switch (decision.kind) {
        case 'done':
          return results.Ok({ kind: 'held', held: decision.held });
        case 'taken':
          return results.Ok({ kind: 'taken', held: decision.held });
        case 'lost':
          return results.Err({ kind: 'lost' });
        case 'store-unavailable':
          return results.Err(decision);
      }
    },
    retarget: (held, next, deadlineMs) => change(held, { ...next, outcome: null }, deadlineMs),
    settle: (held, outcome, deadlineMs) => change(held, { outcome }, deadlineMs),
    read: async (key, deadlineMs) => {
      const read = await store.get(queueOf(key).key, deadlineMs);
      if (read.ok) return results.Ok(parse(read.val?.value ?? null).claims[key] ?? null);
      const retryAtMs = read.val.kind === 'unavailable' ? read.val.retryAtMs : undefined;
      return results.Err(unavailable(retryAtMs));
    },
  };
}
