/** The cost of a request against its organisation's quota, and the capacity of a quota. */
import type * as dialects from '../types/dialects.js';
import type * as fleet from '../types/fleet.js';
import type * as quotaCredits from './quota-credits.js';

/**
 * This share of the overage margin is added to the capacity that is lent, so that a request larger than a small burst
 * can run. The rest covers use that is reported late.
 */
const LENT_MARGIN_SHARE = 0.8;
/**
 * Minimum burst, in seconds of the rate. Requests do not arrive evenly, so a quota without a burst needs one too.
 */
const MIN_BURST_S = 0.5;

/** `margin`: the amount by which all gateways together may exceed a quota. */
export function limitOf(
  { perSecond, burst }: Pick<fleet.Quota, 'perSecond' | 'burst'>,
  margin: number,
): quotaCredits.OrganisationLimit {
  const atOnce = Math.max(burst, MIN_BURST_S * perSecond);
  return { perSecond, capacity: atOnce + LENT_MARGIN_SHARE * margin };
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
