/** Requests that this gateway received since its start, counted by service, model and adapter. */
export type DemandCount = {
  service: string;
  model: string;
  adapter: string | null;
  /** Only upstreams of this software version can serve them; null if any can. */
  softwareVersion: string | null;
  requestCount: number;
  missedCount: number;
  /** Requests whose objective leaves time for a copy to be loaded. */
  patientCount: number;
};

export type RequestKind = { isServed: boolean; isDelayTolerant: boolean };

export type DemandCounters = {
  add: (
    demand: Pick<DemandCount, 'service' | 'model' | 'adapter' | 'softwareVersion'>,
    kind: RequestKind,
    nowMs: number,
  ) => void;
  /** Counts that changed recently; all other gateways have received older ones. */
  recent: (nowMs: number) => readonly DemandCount[];
};

/** Spans many exchanges, so a count that has not changed for this long has reached all other gateways. */
const RECENT_MS = 5_000;

export function createDemandCounters(): DemandCounters {
  const counts = new Map<string, DemandCount & { lastMs: number }>();
  return {
    add: (demand, { isServed, isDelayTolerant }, nowMs) => {
      const { service, model, adapter, softwareVersion } = demand;
      const key = JSON.stringify([service, model, adapter, softwareVersion]);
      const count = counts.get(key) ?? {
        ...demand,
        requestCount: 0,
        missedCount: 0,
        patientCount: 0,
        lastMs: 0,
      };
      count.requestCount += 1;
      if (!isServed) count.missedCount += 1;
      if (isDelayTolerant) count.patientCount += 1;
      count.lastMs = nowMs;
      counts.set(key, count);
    },
    recent: (nowMs) => [...counts.values()].filter(({ lastMs }) => nowMs - lastMs < RECENT_MS),
  };
}
