/**
 * Measures the demand for each model as the number of slots that its requests keep busy (arrival rate times service
 * time). Demand may grow tenfold within an hour, with bursts of seconds on top.
 */
export type Demands = {
  observe: (model: string, expectedMs: number, nowMs: number) => void;
  /** Slots that the recent requests for the model need. Refused requests count as well, since they are demand too. */
  neededSlots: (model: string, nowMs: number) => number;
};

/**
 * Demand that grows tenfold in an hour grows by 8% in this time, which is less than the headroom in `placement.ts`.
 * With a shorter time, random fluctuations look like demand, and bursts that end before weights are loaded cause copies
 * to be moved: 30 s caused twice as many moves (see docs/decisions.md).
 */
const DECAY_MS = 120_000;

type Rate = { slots: number; countedAtMs: number };

export function createDemands(decayMs = DECAY_MS): Demands {
  const rates = new Map<string, Rate>();

  function decayed(model: string, nowMs: number): Rate {
    const rate = rates.get(model) ?? { slots: 0, countedAtMs: nowMs };
    rate.slots *= Math.exp(-(nowMs - rate.countedAtMs) / decayMs);
    rate.countedAtMs = nowMs;
    return rate;
  }

  return {
    observe: (model, expectedMs, nowMs) => {
      const rate = decayed(model, nowMs);
      rate.slots += expectedMs / decayMs;
      rates.set(model, rate);
    },
    neededSlots: (model, nowMs) => decayed(model, nowMs).slots,
  };
}
