/** The targets that callers wait for, and what each waiter is told. */
import { type clocks, results } from '@copperlever/runtime';

import type * as types from './types.js';

export type Want = {
  target: string;
  /** The target is loaded until then even if its callers were refused, so that they find it later. */
  untilMs: number;
  askedAtMs: number;
  /** A caller asked for it, not only this system's own keeping of copies. */
  isByCaller: boolean;
  /** After a failure that may pass, the load is tried again at this instant. */
  tryAtMs: number;
};

export type Answer = results.Result<void, types.CopyError>;

export type WantsDeps = {
  clock: clocks.Clock;
  isReady: (target: string) => boolean;
};

export type Wants = {
  /** Wants, the one asked for longest ago first: that one has waited longest for its turn. */
  list: () => readonly Want[];
  want: (target: string, untilMs: number, isByCaller: boolean) => Want;
  /** Resolves when the target is ready, has failed, or at the deadline. */
  wait: (target: string, deadlineMs: number) => Promise<Answer>;
  /** Tells the waiters of `target` that it will not be ready in time for them. */
  fail: (target: string, error: types.CopyError) => void;
  /** Tells the waiters of every target that is ready by now. */
  settleReady: () => void;
  hasWaiters: () => boolean;
};

type Waiter = { target: string; settle: (answer: Answer) => void };

/** Callers refused for want of time come back after this: a load takes seconds. */
const LATE_RETRY_MS = 1_000;

export function createWants(deps: WantsDeps): Wants {
  const { clock } = deps;
  const wants = new Map<string, Want>();
  const waiters = new Set<Waiter>();

  function tooLate(target: string): types.CopyError {
    return {
      kind: 'copy-not-ready',
      cause: 'deadline-unreachable',
      retryAtMs: clock.nowMs() + LATE_RETRY_MS,
      detail: `${target} is still loading`,
    };
  }

  function forgetOld(): void {
    for (const [target, want] of wants) {
      const isWaitedFor = [...waiters].some((waiter) => waiter.target === target);
      const isOver = want.untilMs <= clock.nowMs() || deps.isReady(target);
      if (isOver && !isWaitedFor) wants.delete(target);
    }
  }

  return {
    list: () => {
      forgetOld();
      return [...wants.values()].sort((left, right) => left.askedAtMs - right.askedAtMs);
    },
    want: (target, untilMs, isByCaller) => {
      const nowMs = clock.nowMs();
      const fresh = { target, untilMs, askedAtMs: nowMs, tryAtMs: nowMs, isByCaller };
      const want = wants.get(target) ?? fresh;
      want.isByCaller ||= isByCaller;
      want.untilMs = Math.max(want.untilMs, untilMs);
      wants.set(target, want);
      return want;
    },
    wait: (target, deadlineMs) =>
      new Promise((resolve) => {
        const waiter: Waiter = { target, settle: () => {} };
        const cancel = clock.schedule(deadlineMs, () => {
          waiter.settle(results.Err(tooLate(target)));
        });
        waiter.settle = (answer) => {
          cancel();
          waiters.delete(waiter);
          resolve(answer);
        };
        waiters.add(waiter);
      }),
    fail: (target, error) => {
      [...waiters]
        .filter((waiter) => waiter.target === target)
        .forEach((waiter) => waiter.settle(results.Err(error)));
    },
    settleReady: () => {
      [...waiters]
        .filter((waiter) => deps.isReady(waiter.target))
        .forEach((waiter) => waiter.settle(results.Ok(undefined)));
    },
    hasWaiters: () => waiters.size > 0,
  };
}
