/**
 * How often a gateway asks the lease holder. Each gateway asks several times a second, and at once when a request
 * found no copy, so the holder's work grows with the fleet, on the loop that also forwards its requests. A holder
 * with an eighth of a core answered 17 gateways later than they wait, and all of them went on without its updates.
 */

/** Loads and copies change within some hundred milliseconds. */
const REGULAR_MS = 250;
/** Limits the regular requests of up to a hundred gateways to two hundred a second at the holder. */
const REGULAR_PER_GATEWAY_MS = 5;
/** A gateway considers the holder gone after a second without a message. */
const REGULAR_MAX_MS = 500;
/** Misses come in groups. The request for the first miss covers those that follow within this time. */
const URGENT_MS = 40;
/** Limits urgent requests to five hundred a second, if up to a hundred gateways have misses all the time. */
const URGENT_PER_GATEWAY_MS = 2;
const URGENT_MAX_MS = 250;

/** Interval between two requests while nothing is urgent. */
export function regularIntervalMs(gatewayCount: number): number {
  return Math.min(REGULAR_MAX_MS, Math.max(REGULAR_MS, gatewayCount * REGULAR_PER_GATEWAY_MS));
}

/** Minimum interval between two requests, however urgent. */
export function urgentIntervalMs(gatewayCount: number): number {
  return Math.min(URGENT_MAX_MS, Math.max(URGENT_MS, gatewayCount * URGENT_PER_GATEWAY_MS));
}

/** Time for a reply to arrive, in addition to the interval before the request. */
const REPLY_MS = 50;

/** Time after which all gateways that receive the holder's replies know of its changes. */
export function propagationMs(gatewayCount: number): number {
  return regularIntervalMs(gatewayCount) + REPLY_MS;
}
