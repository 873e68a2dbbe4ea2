/** Gateways that share the retry budget of one service, on a virtual clock: cut off from one another, killed and started. */
import { clocks as clocksModule, logs } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import type * as retryLedgers from '../shared/retries/retry-ledger.js';
import * as retriesModule from '../server/retries/retries.js';
import type * as logEvents from '../types/log-events.js';

export const SERVICE = 'desk';

export type RetryGateway = {
  gatewayId: string;
  /** Gateways reach those of the same group. */
  group: number;
  reachesStore: boolean;
  heldTerm: number | null;
  retries: retriesModule.Retries;
};

export type RetryFleet = {
  clock: fakeClocks.FakeClock;
  gateways: RetryGateway[];
  /** A request that a caller sent to the gateway. */
  request: (gateway: RetryGateway) => void;
  /** Sends a retry if it may. */
  retry: (gateway: RetryGateway) => Promise<boolean>;
  restart: (gateway: RetryGateway) => void;
  /** Lets the lease and the exchanges go on. */
  step: (ms: number) => Promise<void>;
  /** The most retries in a window that ends with one, beside what the limit allows in it: the window nearest to its limit. */
  worstWindow: () => { retries: number; allowed: number };
  retryCount: () => number;
};

export type RetryFleetOptions = {
  gatewayCount: number;
  limits: retryLedgers.RetryLimits;
  /** How long a request holds its token before it is sent. */
  heldMs?: () => number;
};

const NETWORK_MS = 2;
const ASK_TIMEOUT_MS = 100;
const EXCHANGE_MS = 250;
const RENEW_MS = 1_000;
const VALID_MS = 2_200;
const EXPIRY_MS = 2_400;
const STEP_MS = 10;

type Lease = { holder: RetryGateway | null; term: number; renewedMs: number };

type Entry = RetryGateway & {
  incarnation: number;
  acquired: { sinceMs: number; isFirst: boolean } | null;
  renewedMs: number;
  heardMs: number;
  nextExchangeMs: number;
};

export function createRetryFleet(options: RetryFleetOptions): RetryFleet {
  const { limits } = options;
  const clock = fakeClocks.createFakeClock();
  const log = logs.createSilentLogger() as logEvents.GatewayLog;
  const lease: Lease = { holder: null, term: 0, renewedMs: -Infinity };
  const requestsMs: number[] = [];
  const retriesMs: number[] = [];

  const entries: Entry[] = [];

  /** The holder with the highest term of those that the gateway reaches. */
  function holderOf(gateway: RetryGateway): Entry | undefined {
    return entries
      .filter(({ group, heldTerm }) => group === gateway.group && heldTerm !== null)
      .sort((left, right) => (right.heldTerm ?? 0) - (left.heldTerm ?? 0))[0];
  }

  async function ask(gateway: Entry, asked: retriesModule.AskedRetry) {
    const deadlineMs = clock.nowMs() + ASK_TIMEOUT_MS;
    await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
    const holder = holderOf(gateway);
    const reply = holder?.retries.give(asked);
    await clocksModule.sleepUntil(
      clock,
      reply === undefined ? deadlineMs : clock.nowMs() + NETWORK_MS,
    );
    return holder?.group === gateway.group ? (reply ?? null) : null;
  }

  function createRetries(entry: Entry): retriesModule.Retries {
    return retriesModule.createRetries({
      clock,
      log,
      limits,
      gatewayId: entry.gatewayId,
      incarnation: entry.incarnation,
      heldTerm: () => entry.heldTerm,
      secureLease: () => (clock.nowMs() < entry.renewedMs + VALID_MS ? entry.acquired : null),
      holderAgeMs: (nowMs) => nowMs - entry.heardMs,
      ask: (asked) => ask(entry, asked),
    });
  }

  function drop(entry: Entry): void {
    entry.heldTerm = null;
    entry.acquired = null;
  }

  function start(entry: Entry): void {
    entry.incarnation += 1;
    drop(entry);
    entry.heardMs = -Infinity;
    entry.retries = createRetries(entry);
  }

  for (let count = 1; count <= options.gatewayCount; count += 1) {
    const entry: Entry = {
      gatewayId: `g${count}`,
      group: 0,
      reachesStore: true,
      heldTerm: null,
      incarnation: 0,
      acquired: null,
      renewedMs: -Infinity,
      heardMs: -Infinity,
      nextExchangeMs: count * 17,
      retries: undefined as unknown as retriesModule.Retries,
    };
    start(entry);
    entries.push(entry);
  }

  function acquire(entry: Entry, nowMs: number): void {
    const isFirst = lease.holder === null;
    lease.term += 1;
    Object.assign(lease, { holder: entry, renewedMs: nowMs });
    Object.assign(entry, {
      heldTerm: lease.term,
      acquired: { sinceMs: nowMs, isFirst },
      renewedMs: nowMs,
    });
  }

  function keepLease(nowMs: number): void {
    entries.forEach((entry) => {
      if (entry.heldTerm === null) return;
      const known = holderOf(entry)?.heldTerm ?? 0;
      const isOlder = entry.heldTerm < Math.max(known, entry.reachesStore ? lease.term : 0);
      if (isOlder) drop(entry);
      else if (entry.reachesStore && nowMs - entry.renewedMs >= RENEW_MS) {
        entry.renewedMs = nowMs;
        lease.renewedMs = nowMs;
      }
    });
    const taker = entries.find(
      (entry) =>
        entry.reachesStore && holderOf(entry) === undefined && nowMs - lease.renewedMs >= EXPIRY_MS,
    );
    if (taker !== undefined) acquire(taker, nowMs);
  }

  function exchangeDue(nowMs: number): void {
    entries.forEach((entry) => {
      if (nowMs < entry.nextExchangeMs) return;
      entry.nextExchangeMs = nowMs + EXCHANGE_MS;
      const passed = entry.retries.passOn();
      const holder = holderOf(entry);
      if (holder === undefined) return;
      holder.retries.receive(entry, passed);
      entry.heardMs = nowMs;
    });
  }

  function countWithin(timesMs: readonly number[], fromMs: number, toMs: number): number {
    return timesMs.filter((atMs) => atMs > fromMs && atMs <= toMs).length;
  }

  function allowedUpTo(toMs: number): number {
    const { windowMs } = limits;
    const counts = [0, windowMs / 2, windowMs].map((backMs) =>
      countWithin(requestsMs, toMs - backMs - windowMs, toMs - backMs),
    );
    return limits.ratio * Math.max(...counts) + limits.slack;
  }

  return {
    clock,
    gateways: entries,
    request: (gateway) => {
      requestsMs.push(clock.nowMs());
      gateway.retries.recordRequest(SERVICE);
    },
    retry: async (gateway) => {
      const isAllowed = await gateway.retries.take({ requestId: 'r', service: SERVICE });
      if (isAllowed) retriesMs.push(clock.nowMs() + (options.heldMs?.() ?? 0));
      return isAllowed;
    },
    restart: (gateway) => {
      const entry = entries.find(({ gatewayId }) => gatewayId === gateway.gatewayId);
      if (entry !== undefined) start(entry);
    },
    step: async (ms) => {
      const untilMs = clock.nowMs() + ms;
      while (clock.nowMs() < untilMs) {
        keepLease(clock.nowMs());
        exchangeDue(clock.nowMs());
        await clock.advance(STEP_MS);
      }
    },
    worstWindow: () => {
      let worst = { retries: 0, allowed: Infinity };
      [...new Set(retriesMs)].forEach((toMs) => {
        const retries = countWithin(retriesMs, toMs - limits.windowMs, toMs);
        const allowed = allowedUpTo(toMs);
        if (retries / allowed > worst.retries / worst.allowed) worst = { retries, allowed };
      });
      return worst;
    },
    retryCount: () => retriesMs.length,
  };
}
