/** Requests of this gateway by service, model and adapter, counted since its start. */
export type DemandCount = {
  service: string;
  model: string;
  adapter: string | null;
  requestCount: number;
  missedCount: number;
  /** Requests that have time to wait for a load. */
  patientCount: number;
};

export type CountedRequest = Pick<DemandCount, 'service' | 'model' | 'adapter'> & {
  /** Whether an upstream with a copy could take it. */
  isServed: boolean;
  isPatient: boolean;
};

export type DemandCounters = {
  add: (request: CountedRequest, nowMs: number) => void;
  /** What was asked for lately; older counts have reached everyone. */
  recent: (nowMs: number) => readonly DemandCount[];
};

/** Many exchanges: a count that did not change for so long has been told. */
const RECENT_MS = 5_000;

export function createDemandCounters(): DemandCounters {
  const counts = new Map<string, DemandCount & { lastMs: number }>();
  return {
    add: ({ service, model, adapter, isServed, isPatient }, nowMs) => {
      const key = `${service} ${model}/${adapter ?? ''}`;
      const none = { requestCount: 0, missedCount: 0, patientCount: 0, lastMs: 0 };
      const count = counts.get(key) ?? { service, model, adapter, ...none };
      count.requestCount += 1;
      if (!isServed) count.missedCount += 1;
      if (isPatient) count.patientCount += 1;
      count.lastMs = nowMs;
      counts.set(key, count);
    },
    recent: (nowMs) => [...counts.values()].filter(({ lastMs }) => nowMs - lastMs < RECENT_MS),
  };
}
