/**
 * Which gateways have processor time to spare for others. Load: gateways of uneven size with as many callers each. Harm
 * prevented: a small one in a burst is asked by others, answers too late, and each question costs both of them a call.
 */

/** A gateway that lives; `millicores`: what it may use of processors, 0 where that is not known. */
export type ProcessorShare = { gatewayId: string; millicores: number };

/** With an even share of the callers, a gateway of half the mean is twice as busy as the mean one. */
const LEAST_SHARE_OF_MEAN = 0.5;

/** All where they are alike or nothing is known. */
export function withAmple(live: readonly ProcessorShare[]): readonly string[] {
  const known = live.filter(({ millicores }) => millicores > 0);
  const sum = known.reduce((total, { millicores }) => total + millicores, 0);
  const least = known.length === 0 ? 0 : (sum / known.length) * LEAST_SHARE_OF_MEAN;
  return live.filter(({ millicores }) => millicores >= least).map(({ gatewayId }) => gatewayId);
}
