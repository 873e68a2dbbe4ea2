/**
 * Decides whether this gateway sheds connections: it fails the readiness probe, so that the balancer sends no new ones,
 * and closes those it has after their answers. It does so while it has too little processor time for them. When callers
 * are spread evenly over gateways of uneven size, connections to the small ones would wait for seconds to be accepted
 * while the large ones idle. Only a gateway that has larger ones beside it sheds connections: among equals, they would
 * go to gateways that are just as busy.
 */
import type * as logEvents from '../../types/log-events.js';

export type Shedding = {
  /** Notes that the event loop was busy for `busyShare` of the latest `elapsedMs`. */
  noteBusy: (busyShare: number, elapsedMs: number) => void;
  isShedding: () => boolean;
};

export type SheddingDeps = {
  log: Pick<logEvents.GatewayLog, 'info'>;
  /** Whether there are live gateways with far more processor time. */
  hasLarger: () => boolean;
};

/** Time constant of the mean: two polls of the balancer. A shorter burst is over before the balancer reacts. */
const AVERAGING_MS = 2_000;
/** Above this share the time of one event-loop turn grows without bound. */
const BEGIN_SHARE = 0.9;
/** Leaves room for the connections that come back at once. */
const END_SHARE = 0.5;

export function createShedding({ log, hasLarger }: SheddingDeps): Shedding {
  let meanShare = 0;
  let isActive = false;

  function toggle(): void {
    isActive = !isActive;
    log.info(isActive ? 'shedding-began' : 'shedding-ended', {
      busyShare: Math.round(meanShare * 100) / 100,
    });
  }

  return {
    noteBusy: (busyShare, elapsedMs) => {
      meanShare += (busyShare - meanShare) * Math.min(1, elapsedMs / AVERAGING_MS);
      if (isActive ? meanShare < END_SHARE : meanShare > BEGIN_SHARE && hasLarger()) toggle();
    },
    isShedding: () => isActive,
  };
}
