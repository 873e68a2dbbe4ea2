/** Which of several equal upstreams a gateway prefers: others than most other gateways do, and always the same. */
import * as hashes from '@copperlever/runtime/hashes';

const RANGE = 2 ** 32;

/** From 0 to 1, evenly spread over gateways and over upstreams. */
export function preference(gatewayId: string, upstreamId: string): number {
  return hashes.hash32(`${gatewayId}\n${upstreamId}`) / RANGE;
}
