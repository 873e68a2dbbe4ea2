/**
 * How often the holder of the lease is asked. Load: each gateway asks several times a second, and at once when a
 * request has found no copy. Harm prevented: with the fleet the holder's work grows, which forwards requests on the
 * same loop: on an eighth of a core it answered 17 gateways later than they wait, and all of them went on blind.
 */

/** Loads and copies change within some hundred milliseconds. */
const PERIOD_MS = 250;
/** So that the holder of up to a hundred gateways answers their regular questions two hundred times a second at most. */
const PERIOD_PER_GATEWAY_MS = 5;
/** A gateway that has not heard of the holder for a second takes it for gone. */
const PERIOD_MAX_MS = 500;
/** Misses come in groups; the first one's message tells of those that follow within this time. */
const HURRY_MS = 40;
/** Five hundred questions a second at most, should up to a hundred gateways have misses all the time. */
const HURRY_PER_GATEWAY_MS = 2;
const HURRY_MAX_MS = 250;

/** From one question to the next while nothing is urgent. */
export function periodMs(gatewayCount: number): number {
  return Math.min(PERIOD_MAX_MS, Math.max(PERIOD_MS, gatewayCount * PERIOD_PER_GATEWAY_MS));
}

/** From one question to the next at least, however urgent. */
export function hurryMs(gatewayCount: number): number {
  return Math.min(HURRY_MAX_MS, Math.max(HURRY_MS, gatewayCount * HURRY_PER_GATEWAY_MS));
}

/** What an answer takes on its way, beside the pause before the question. */
const ANSWER_MS = 50;

/** After which all gateways that hear the holder know what it has changed. */
export function noticeMs(gatewayCount: number): number {
  return periodMs(gatewayCount) + ANSWER_MS;
}
