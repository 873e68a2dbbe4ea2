/**
 * Whether a gateway asks the balancer for no new connections because it has too little processor time for those it has. Load:
 * callers are spread evenly over gateways of uneven size. Harm prevented: at the small ones connections wait for seconds to be
 * accepted while the large ones idle. Only a gateway that has larger ones beside it does so: where all are alike, what one
 * leaves comes to others that are as busy.
 */
import type * as logEvents from '../../types/log-events.js';

export type Shedding = {
  /** The loop was busy for that share of the latest `elapsedMs`. */
  noteBusy: (busyShare: number, elapsedMs: number) => void;
  isShedding: () => boolean;
};

export type SheddingDeps = {
  log: Pick<logEvents.GatewayLog, 'info'>;
  /** Gateways live that have far more processor time. */
  hasLarger: () => boolean;
};

/** Two questions of the balancer: a shorter burst is over before it turns away. */
const MEAN_OVER_MS = 2_000;
/** Turns grow without bound from here on. */
const BEGIN_SHARE = 0.9;
/** Room for what comes back at once. */
const END_SHARE = 0.5;

export function createShedding({ log, hasLarger }: SheddingDeps): Shedding {
  let meanShare = 0;
  let isOn = false;

  function toggle(): void {
    isOn = !isOn;
    log.info(isOn ? 'shedding-began' : 'shedding-ended', {
      busyShare: Math.round(meanShare * 100) / 100,
    });
  }

  return {
    noteBusy: (busyShare, elapsedMs) => {
      meanShare += (busyShare - meanShare) * Math.min(1, elapsedMs / MEAN_OVER_MS);
      if (isOn ? meanShare < END_SHARE : meanShare > BEGIN_SHARE && hasLarger()) toggle();
    },
    isShedding: () => isOn,
  };
}
