/** Requests of this gateway by service, model and adapter, counted since its start. */
export type DemandCount = {
  service: string;
  model: string;
  adapter: string | null;
  requestCount: number;
  missedCount: number;
  /** Requests whose objective leaves time for a copy to be brought. */
  patientCount: number;
};

export type Asked = { isServed: boolean; isPatient: boolean };

export type DemandCounters = {
  add: (
    demand: Pick<DemandCount, 'service' | 'model' | 'adapter'>,
    asked: Asked,
    nowMs: number,
  ) => void;
  /** What was asked for lately; older counts have reached everyone. */
  recent: (nowMs: number) => readonly DemandCount[];
};

/** Many exchanges: a count that did not change for so long has been told. */
const RECENT_MS = 5_000;

export function createDemandCounters(): DemandCounters {
  const counts = new Map<string, DemandCount & { lastMs: number }>();
  return {
    add: (demand, { isServed, isPatient }, nowMs) => {
      const key = `${demand.service} ${demand.model}/${demand.adapter ?? ''}`;
      const count = counts.get(key) ?? {
        ...demand,
        requestCount: 0,
        missedCount: 0,
        patientCount: 0,
        lastMs: 0,
      };
      count.requestCount += 1;
      if (!isServed) count.missedCount += 1;
      if (isPatient) count.patientCount += 1;
      count.lastMs = nowMs;
      counts.set(key, count);
    },
    recent: (nowMs) => [...counts.values()].filter(({ lastMs }) => nowMs - lastMs < RECENT_MS),
  };
}
