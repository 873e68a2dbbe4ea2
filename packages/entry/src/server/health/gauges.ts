/** Reports at intervals what changes slowly, so that an operator sees it also in a quiet hour. */
import { clocks, type metrics as metricsModule, type supervisor } from '@copperlever/runtime';

export type GaugeSource = { name: string; read: () => number };

export type GaugesDeps = {
  clock: clocks.Clock;
  metrics: Pick<metricsModule.Metrics, 'gauge'>;
  sources: readonly GaugeSource[];
};

export const GAUGE_PERIOD_MS = 10_000;

/** Reports until it is stopped; a source that throws breaks the part, and its supervisor says so. */
export function startGauges(deps: GaugesDeps): supervisor.RunningPart {
  const { clock, metrics, sources } = deps;
  const stopping = new AbortController();

  async function report(): Promise<void> {
    while (!stopping.signal.aborted) {
      sources.forEach((source) => metrics.gauge(source.name, source.read()));
      await clocks.sleepUntil(clock, clock.nowMs() + GAUGE_PERIOD_MS, stopping.signal);
    }
  }

  const failed = new Promise<Error>((resolve) => {
    report().catch((cause: unknown) => {
      resolve(cause instanceof Error ? cause : new Error(String(cause)));
    });
  });
  return { failed, stop: async () => stopping.abort() };
}
