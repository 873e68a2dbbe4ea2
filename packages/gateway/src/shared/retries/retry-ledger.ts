/**
 * The retry budget of all gateways, at the holder of the lease: the tokens that they have passed on, and the slack of the limit,
 * of which each unit comes back a window after its use. A gateway that has all the losses may so use what the requests of all
 * others allow.
 */
import * as retryTokens from './retry-tokens.js';

export type RetryLimits = { ratio: number; slack: number; windowMs: number };

/** Cumulative since the gateway's start, in thousandths, so that a lost message only loses tokens. */
export type PassedTokens = { service: string; thousandths: number };

export type Giver = { gatewayId: string; incarnation: number };

export type RetryLedger = {
  /** Takes over what the gateway has passed on since it told last. The first time, nothing: it may be old. */
  receive: (giver: Giver, passed: readonly PassedTokens[], nowMs: number) => void;
  /** Gives one retry. The slack is only used if no other holder may have given any of it within the window. */
  take: (service: string, mayUseSlack: boolean, nowMs: number) => boolean;
};

/** A token is used within this time of being made, and within as much again of being passed on. */
export const TOKEN_LIFE_MS = 500;
/**
 * So long a request may hold a token before it is sent, while its earlier attempt ends: short beside the life of tokens, since it
 * delays what they allow in the same way.
 */
export const TOKEN_HELD_MS = 100;
/** Parts of the limit; the rest covers the life of tokens, and retries that take long to arrive. */
const RATIO_SHARE = 0.9;
const SLACK_SHARE = 0.95;
/** How much later than it is given a retry may arrive at its upstream. */
const ARRIVAL_MS = 500;
const THOUSAND = 1_000;
/** Gateways that have been gone for long are forgotten. */
const GIVERS_MAX = 1_000;

export function tokensPerRequest({ ratio }: RetryLimits): number {
  return ratio * RATIO_SHARE;
}

type KnownGiver = { incarnation: number; thousandths: Map<string, number> };

export function createRetryLedger(limits: RetryLimits): RetryLedger {
  const pools = new Map<string, retryTokens.TokenPool>();
  /** When units of the slack were given, by service. */
  const givenMs = new Map<string, number[]>();
  const givers = new Map<string, KnownGiver>();

  function poolOf(service: string): retryTokens.TokenPool {
    const known = pools.get(service) ?? retryTokens.createTokenPool(TOKEN_LIFE_MS);
    pools.set(service, known);
    return known;
  }

  function knownGiver({ gatewayId, incarnation }: Giver): KnownGiver {
    const known = givers.get(gatewayId);
    const giver =
      known?.incarnation === incarnation ? known : { incarnation, thousandths: new Map() };
    givers.delete(gatewayId);
    givers.set(gatewayId, giver);
    const [oldest] = givers.keys();
    if (givers.size > GIVERS_MAX && oldest !== undefined) givers.delete(oldest);
    return giver;
  }

  /** Units of the slack that are left. */
  function slackLeft(service: string, nowMs: number): number {
    const sinceMs = nowMs - limits.windowMs - ARRIVAL_MS;
    const recent = (givenMs.get(service) ?? []).filter((atMs) => atMs > sinceMs);
    givenMs.set(service, recent);
    return Math.floor(limits.slack * SLACK_SHARE) - recent.length;
  }

  return {
    receive: (giver, passed, nowMs) => {
      const { thousandths } = knownGiver(giver);
      passed.forEach(({ service, thousandths: total }) => {
        const before = thousandths.get(service);
        thousandths.set(service, Math.max(before ?? 0, total));
        if (before === undefined || total <= before) return;
        poolOf(service).add((total - before) / THOUSAND, nowMs);
      });
    },
    take: (service, mayUseSlack, nowMs) => {
      if (poolOf(service).take(nowMs)) return true;
      if (!mayUseSlack || slackLeft(service, nowMs) < 1) return false;
      givenMs.get(service)?.push(nowMs);
      return true;
    },
  };
}
