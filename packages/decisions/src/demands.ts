/**
 * The demand for each model, as slots that its work keeps busy (arrivals × service time). Made for
 * demand that moves tenfold within an hour, and for bursts of seconds on top of it.
 */
export type Demands = {
  observe: (model: string, expectedMs: number, nowMs: number) => void;
  /** Slots that the model's recent arrivals need; refused ones count, for they were wanted too. */
  neededSlots: (model: string, nowMs: number) => number;
};

/**
 * Demand that grows tenfold in an hour grows by 8% in this time, which is less than the headroom of
 * placing. A shorter memory takes chance for demand, and a burst that ends before weights are loaded for a
 * reason to move: 30 s brought twice the moves (measured, see docs/decisions.md).
 */
const MEMORY_MS = 120_000;

type Rate = { slots: number; countedAtMs: number };

export function createDemands(memoryMs = MEMORY_MS): Demands {
  const rates = new Map<string, Rate>();

  function decayed(model: string, nowMs: number): Rate {
    const rate = rates.get(model) ?? { slots: 0, countedAtMs: nowMs };
    rate.slots *= Math.exp(-(nowMs - rate.countedAtMs) / memoryMs);
    rate.countedAtMs = nowMs;
    return rate;
  }

  return {
    observe: (model, expectedMs, nowMs) => {
      const rate = decayed(model, nowMs);
      rate.slots += expectedMs / memoryMs;
      rates.set(model, rate);
    },
    neededSlots: (model, nowMs) => decayed(model, nowMs).slots,
  };
}
