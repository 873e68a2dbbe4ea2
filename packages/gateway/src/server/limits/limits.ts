/** Keeps all gateways together to the limits that upstreams name: a permit for each request, from the holder of the lease. */
import type { clocks } from '@copperlever/runtime';

import * as localPermitsModule from '../../shared/local-permits.js';
import * as permitLedgers from '../../shared/permit-ledger.js';
import type * as upstreamLimitsModule from '../../shared/upstream-limits.js';

/** What is known of an upstream's limit, for the logs; `holderAgeMs`: since the holder was last heard. */
export type LimitInputs = { perSecond: number; limitAgeMs: number; holderAgeMs: number };

/** `limit`: what the asker knows. */
export type AskedPermit = { gatewayId: string; limit: upstreamLimitsModule.ReportedLimit };

export type Limits = {
  isLimited: (upstreamId: string) => boolean;
  /** For how long nothing may be sent there, probably; null when something may be. */
  closedForMs: (upstreamId: string) => number | null;
  /** Null without a limit. */
  basis: (upstreamId: string) => LimitInputs | null;
  /** Whether a request may be sent there; takes no longer than a call to the holder. */
  take: (upstreamId: string) => Promise<boolean>;
  /** As the holder: another gateway asks. */
  give: (asked: AskedPermit) => permitLedgers.PermitReply;
  /** As the holder: more is asked of the upstream than it takes. */
  isStarved: (upstreamId: string) => boolean;
};

export type LimitsDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  upstreamLimits: upstreamLimitsModule.UpstreamLimits;
  gatewayId: string;
  fleet: (nowMs: number) => localPermitsModule.FleetView;
  /** The term of the lease that is held here; null when it is not. */
  heldTerm: () => number | null;
  /** Since the holder of the lease was last heard. */
  holderAgeMs: (nowMs: number) => number;
  /** Takes over what another gateway knows. */
  told: (limit: upstreamLimitsModule.ReportedLimit, source: string) => void;
  /** Asks the holder; null without an answer. */
  ask: (asked: AskedPermit) => Promise<permitLedgers.PermitReply | null>;
};

/** After so long this gateway counts on its own part. */
const UNHEARD_MS = 1_000;
/** Once denied, no request asks again at once. */
const MIN_CLOSED_MS = 50;
/** The holder's answer did not come: it is slow, or about to be taken for gone. */
const UNANSWERED_MS = 300;
/** Until its own part may have grown to a request. */
const OWN_CLOSED_MS = 1_000;

export function createLimits(deps: LimitsDeps): Limits {
  const { clock, upstreamLimits, gatewayId } = deps;
  const ownPermits = localPermitsModule.createLocalPermits(gatewayId, deps.fleet);
  /** Denied until then. */
  const closedUntilMs = new Map<string, number>();
  let ledger: { term: number; gives: permitLedgers.PermitLedger } | null = null;

  /** How long the holder has been unheard beyond what happens in passing; 0 while it is heard. */
  function unheardMs(nowMs: number): number {
    if (deps.heldTerm() !== null) return 0;
    return Math.max(0, deps.holderAgeMs(nowMs) - UNHEARD_MS);
  }

  function rateAt(upstreamId: string): number | null {
    const perSecond = upstreamLimits.perSecond(upstreamId);
    return perSecond === null ? null : permitLedgers.rateOf(perSecond);
  }

  function give({ gatewayId: askerId, limit }: AskedPermit): permitLedgers.PermitReply {
    const { upstreamId } = limit;
    deps.told(limit, askerId);
    const term = deps.heldTerm();
    if (term === null) return { kind: 'denied', retryAfterMs: UNANSWERED_MS };
    // What an earlier term of this holder gave, others have added to since.
    if (ledger?.term !== term) ledger = { term, gives: permitLedgers.createPermitLedger() };
    const rate = rateAt(upstreamId) ?? permitLedgers.rateOf(limit.perSecond ?? 0);
    return ledger.gives.take(upstreamId, rate, askerId, clock.nowMs());
  }

  async function askHolder(asked: AskedPermit): Promise<boolean> {
    const reply = deps.heldTerm() === null ? await deps.ask(asked) : give(asked);
    if (reply?.kind === 'taken') return true;
    const forMs = reply === null ? UNANSWERED_MS : Math.max(MIN_CLOSED_MS, reply.retryAfterMs);
    closedUntilMs.set(asked.limit.upstreamId, clock.nowMs() + forMs);
    return false;
  }

  return {
    isLimited: (upstreamId) => upstreamLimits.perSecond(upstreamId) !== null,
    closedForMs: (upstreamId) => {
      const rate = rateAt(upstreamId);
      if (rate === null) return null;
      const nowMs = clock.nowMs();
      const forMs = unheardMs(nowMs);
      if (forMs > 0) {
        return ownPermits.isAvailable(upstreamId, rate, forMs, nowMs) ? null : OWN_CLOSED_MS;
      }
      ownPermits.clear();
      const untilMs = closedUntilMs.get(upstreamId) ?? 0;
      return untilMs > nowMs ? untilMs - nowMs : null;
    },
    basis: (upstreamId) => {
      const perSecond = upstreamLimits.perSecond(upstreamId);
      if (perSecond === null) return null;
      const nowMs = clock.nowMs();
      const limitAgeMs = upstreamLimits.ageMs(upstreamId, nowMs) ?? 0;
      return { perSecond, limitAgeMs, holderAgeMs: deps.holderAgeMs(nowMs) };
    },
    take: async (upstreamId) => {
      const perSecond = upstreamLimits.perSecond(upstreamId);
      if (perSecond === null) return true;
      const nowMs = clock.nowMs();
      const forMs = unheardMs(nowMs);
      if (forMs > 0) {
        return ownPermits.take(upstreamId, permitLedgers.rateOf(perSecond), forMs, nowMs);
      }
      ownPermits.clear();
      const ageMs = upstreamLimits.ageMs(upstreamId, nowMs) ?? 0;
      return askHolder({ gatewayId, limit: { upstreamId, perSecond, ageMs } });
    },
    give,
    isStarved: (upstreamId) => ledger?.gives.isOverloaded(upstreamId, clock.nowMs()) ?? false,
  };
}
