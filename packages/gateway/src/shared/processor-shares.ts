/**
 * Which gateways have enough processor time to serve others. With gateways of uneven size and as many callers each, a
 * small gateway in a burst would answer the requests of others too late, and each such request costs both of them a
 * call.
 */

/** A live gateway. `millicores`: the processor time it may use, 0 if unknown. */
export type ProcessorShare = { gatewayId: string; millicores: number };

/**
 * With an equal share of the callers, a gateway of half the mean size is twice as busy as one of mean size.
 */
const MIN_SHARE_OF_MEAN = 0.5;

/** All gateways if they are of equal size, or if no size is known. */
export function withSufficientProcessor(live: readonly ProcessorShare[]): readonly string[] {
  const known = live.filter(({ millicores }) => millicores > 0);
  const sum = known.reduce((total, { millicores }) => total + millicores, 0);
  const minMillicores = known.length === 0 ? 0 : (sum / known.length) * MIN_SHARE_OF_MEAN;
  return live
    .filter(({ millicores }) => millicores >= minMillicores)
    .map(({ gatewayId }) => gatewayId);
}
