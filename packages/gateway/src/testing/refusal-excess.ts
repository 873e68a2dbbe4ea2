/** By how much refusal rates of classes differ at one gateway. */
import type * as scarcityFleet from './scarcity-fleet.js';

/** `byRequests`: how many more of the more urgent class were refused than the allowed difference of rates explains. */
export type Excess = { byRequests: number; told: string };

const WINDOW_MS = 2_000;
const WINDOW_STEP_MS = 250;
/** Refusal rates may differ by so much. */
const ALLOWED_SHARE = 0.05;

type Counts = { name: string; asked: number; refused: number };

function countsOf(decisions: readonly scarcityFleet.Decision[], name: string): Counts {
  const own = decisions.filter(({ className }) => className === name);
  return { name, asked: own.length, refused: own.filter(({ isRefused }) => isRefused).length };
}

function excessWithin(
  decisions: readonly scarcityFleet.Decision[],
  urgent: Counts,
  other: Counts,
): Excess {
  if (other.asked === 0) return { byRequests: 0, told: '' };
  const allowed = (other.refused / other.asked + ALLOWED_SHARE) * urgent.asked;
  // Those that were let in while urgent requests were let in as well took nothing from them.
  const helpfulCount = decisions.filter(
    ({ className, refusedNow }) => className === other.name && refusedNow.includes(urgent.name),
  ).length;
  const byRequests = Math.max(0, Math.min(urgent.refused - allowed, helpfulCount));
  return { byRequests, told: JSON.stringify({ urgent, other }) };
}

/** The excess of every two seconds, for each pair of classes, of which `names` begins with the most urgent. */
export function excesses(
  decisions: readonly scarcityFleet.Decision[],
  names: readonly string[],
  lengthMs: number,
): Excess[] {
  const windowCount = Math.floor((lengthMs - WINDOW_MS) / WINDOW_STEP_MS) + 1;
  const gateways = [...new Set(decisions.map(({ gateway }) => gateway))];
  return gateways.flatMap((gateway) => {
    const own = decisions.filter((decision) => decision.gateway === gateway);
    return Array.from({ length: windowCount }, (_, index) => index * WINDOW_STEP_MS).flatMap(
      (fromMs) => {
        const within = own.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS);
        const counts = names.map((name) => countsOf(within, name));
        return counts.flatMap((urgent, place) =>
          counts.slice(place + 1).map((other) => excessWithin(within, urgent, other)),
        );
      },
    );
  });
}
