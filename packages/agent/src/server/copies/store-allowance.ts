/** The weight store's allowance, made anew when the configuration changes the store's limits. */
import type { schema } from '@copperlever/configuration';
import { loadAllowance } from '@copperlever/decisions';

export type StoreAllowance = {
  tryTake: (purpose: loadAllowance.LoadPurpose, nowMs: number) => boolean;
  accepted: () => void;
  /** A load came to its end, or its copy went away without getting ready. */
  ended: (end: 'ready' | 'lost', nowMs: number) => void;
};

export function createStoreAllowance(policy: () => schema.Policy): StoreAllowance {
  let limits: loadAllowance.LoadAllowanceLimits | null = null;
  let allowance: loadAllowance.LoadAllowance | null = null;

  function current(): loadAllowance.LoadAllowance {
    const { weightStoreConcurrentLoads, weightStoreLoadsPerSecond } = policy();
    const isSame =
      limits?.concurrentLoads === weightStoreConcurrentLoads &&
      limits.loadsPerSecond === weightStoreLoadsPerSecond;
    if (isSame && allowance !== null) return allowance;
    limits = {
      concurrentLoads: weightStoreConcurrentLoads,
      loadsPerSecond: weightStoreLoadsPerSecond,
    };
    allowance = loadAllowance.createLoadAllowance(limits);
    return allowance;
  }

  return {
    tryTake: (purpose, nowMs) => current().tryAcquire(purpose, nowMs),
    accepted: () => current().recordStarted(),
    ended: (end, nowMs) => {
      current().recordFinished();
      if (end === 'lost') current().recordRefused(nowMs);
    },
  };
}
