/**
 * Keeps all gateways together within the retry budget of each service. A fault or saturation makes many requests fail at once;
 * without a limit each is retried, and the retries sustain an overload that would otherwise pass. Every send beyond a request's
 * first counts, when it is sent, also one that the upstream rejects.
 */
import type { clocks } from '@copperlever/runtime';

import * as ownTokensModule from '../../shared/retries/own-tokens.js';
import * as retryLedgers from '../../shared/retries/retry-ledger.js';
import type * as logEvents from '../../types/log-events.js';
import type * as leaseManagers from '../placement/lease-manager.js';

/** With what the asker passes on. */
export type AskedRetry = retryLedgers.Giver & {
  service: string;
  passed: readonly retryLedgers.PassedTokens[];
};

export type RetryReply = { isAllowed: boolean; retryAfterMs: number };

export type Retries = {
  recordRequest: (service: string) => void;
  /** False while the holder has just refused: another attempt need not be prepared. */
  mayRetry: (service: string) => boolean;
  /** Whether a request may be sent once more now; takes no longer than a call to the holder. */
  take: (request: { requestId: string; service: string }) => Promise<boolean>;
  /** What this gateway passes on to the holder; nothing while the holder is not heard. */
  passOn: () => readonly retryLedgers.PassedTokens[];
  /** As the holder: another gateway passes tokens on, or asks. */
  receive: (giver: retryLedgers.Giver, passed: readonly retryLedgers.PassedTokens[]) => void;
  give: (asked: AskedRetry) => RetryReply;
};

export type RetriesDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  log: Pick<logEvents.GatewayLog, 'info'>;
  limits: retryLedgers.RetryLimits;
  gatewayId: string;
  incarnation: number;
  heldTerm: () => number | null;
  /** Null unless no other gateway can hold the lease. */
  secureLease: () => leaseManagers.SecureLease | null;
  /** Since the holder of the lease was last heard. */
  holderAgeMs: (nowMs: number) => number;
  /** Asks the holder; null without an answer. */
  ask: (asked: AskedRetry) => Promise<RetryReply | null>;
};

/** After so long tokens that are passed on to the holder may be lost. */
const UNHEARD_MS = 1_000;
/** How long a gateway that was refused does not ask. Others' requests make tokens meanwhile. */
const REFUSED_MS = 50;
/** Each question that the holder does not answer holds its request up. */
const UNANSWERED_MS = 500;

type Source = 'own' | 'holder' | 'refused' | 'unanswered';

export function createRetries(deps: RetriesDeps): Retries {
  const { clock, limits, gatewayId, incarnation } = deps;
  const self = { gatewayId, incarnation };
  const own = ownTokensModule.createOwnTokens(limits);
  const closedUntilMs = new Map<string, number>();
  let ledger: { term: number; budget: retryLedgers.RetryLedger } | null = null;

  function heldLedger(): retryLedgers.RetryLedger | null {
    const term = deps.heldTerm();
    if (term === null) return null;
    if (ledger?.term !== term) {
      ledger = { term, budget: retryLedgers.createRetryLedger(limits) };
    }
    return ledger.budget;
  }

  /** Whether the slack is this holder's to give: one before it may have given all of it within the window. */
  function mayGiveSlack(nowMs: number): boolean {
    const lease = deps.secureLease();
    if (lease === null) return false;
    return lease.isFirst || nowMs - lease.sinceMs > limits.windowMs + UNHEARD_MS;
  }

  function isHolderHeard(nowMs: number): boolean {
    return deps.heldTerm() !== null || deps.holderAgeMs(nowMs) < UNHEARD_MS;
  }

  function passOn(): readonly retryLedgers.PassedTokens[] {
    const nowMs = clock.nowMs();
    return isHolderHeard(nowMs) ? own.passOn(nowMs) : [];
  }

  function give({ service, passed, ...giver }: AskedRetry): RetryReply {
    const budget = heldLedger();
    if (budget === null) return { isAllowed: false, retryAfterMs: UNANSWERED_MS };
    const nowMs = clock.nowMs();
    budget.receive(giver, passed, nowMs);
    const isAllowed = budget.take(service, mayGiveSlack(nowMs), nowMs);
    return { isAllowed, retryAfterMs: isAllowed ? 0 : REFUSED_MS };
  }

  async function askHolder(service: string): Promise<Source> {
    const asked = { ...self, service, passed: passOn() };
    const reply = deps.heldTerm() === null ? await deps.ask(asked) : give(asked);
    if (reply?.isAllowed === true) return 'holder';
    const forMs = reply?.retryAfterMs ?? UNANSWERED_MS;
    closedUntilMs.set(service, clock.nowMs() + forMs);
    return reply === null ? 'unanswered' : 'refused';
  }

  async function decide(service: string): Promise<Source> {
    const nowMs = clock.nowMs();
    if (own.take(service, nowMs)) return 'own';
    return (closedUntilMs.get(service) ?? 0) > nowMs ? 'refused' : askHolder(service);
  }

  return {
    recordRequest: (service) => own.recordRequest(service, clock.nowMs()),
    mayRetry: (service) => {
      const nowMs = clock.nowMs();
      return (closedUntilMs.get(service) ?? 0) <= nowMs || own.level(service, nowMs) >= 1;
    },
    take: async ({ requestId, service }) => {
      const source = await decide(service);
      const isAllowed = source === 'own' || source === 'holder';
      const ageMs = deps.holderAgeMs(clock.nowMs());
      const holderAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
      deps.log.info('retry-decided', { requestId, service, isAllowed, source, holderAgeMs });
      return isAllowed;
    },
    passOn,
    receive: (giver, passed) => heldLedger()?.receive(giver, passed, clock.nowMs()),
    give,
  };
}
