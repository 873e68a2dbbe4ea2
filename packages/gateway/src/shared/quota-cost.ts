/** What a request counts against the quota of its organisation, and how much of it there is at once. */
import type * as dialects from '../types/dialects.js';
import type * as fleet from '../types/fleet.js';
import type * as quotaCredits from './quota-credits.js';

/** Lent like a burst, so that a request larger than a small burst can run; the rest is for what is told late. */
const LENT_SLACK_SHARE = 0.8;
/** A quota without a burst has this much at once: requests do not come evenly. */
const LEAST_BURST_S = 0.5;

/** `slack`: what all gateways together may exceed a quota by. */
export function limitOf(
  { perSecond, burst }: Pick<fleet.Quota, 'perSecond' | 'burst'>,
  slack: number,
): quotaCredits.OrganisationLimit {
  const atOnce = Math.max(burst, LEAST_BURST_S * perSecond);
  return { perSecond, capacity: atOnce + LENT_SLACK_SHARE * slack };
}

export function costOf(
  quota: Pick<fleet.Quota, 'unit' | 'plainTokens'>,
  { tokenCount }: Pick<dialects.CallFacts, 'tokenCount'>,
): number {
  switch (quota.unit) {
    case 'requests':
      return 1;
    case 'tokens':
      return tokenCount ?? quota.plainTokens;
  }
}
