/** Reports at intervals what changes slowly, so that an operator sees it also in a quiet hour. */
import * as clocks from './clocks.js';
import type * as descriptorWatches from './descriptors.js';
import type * as logSinks from './log-sink.js';
import type * as metricsModule from './metrics.js';
import type * as supervisor from './supervisor.js';

export type GaugeSource = { name: string; read: () => number };

export type GaugesDeps = {
  clock: clocks.Clock;
  metrics: Pick<metricsModule.Metrics, 'gauge'>;
  sources: readonly GaugeSource[];
};

export const GAUGE_PERIOD_MS = 10_000;

/** What becomes of the log lines of a daemon, whose reader may be gone. */
export function logSources(
  daemonKind: 'entry' | 'agent',
  sink: Pick<logSinks.LogSink, 'lostLineCount' | 'pendingCharacters' | 'state'>,
): GaugeSource[] {
  return [
    { name: `${daemonKind}.log_lines_lost`, read: sink.lostLineCount },
    { name: `${daemonKind}.log_pending_characters`, read: sink.pendingCharacters },
    { name: `${daemonKind}.log_failing`, read: () => (sink.state() === 'failed' ? 1 : 0) },
  ];
}

/** Whether a daemon has run out of descriptors. */
export function descriptorSources(
  daemonKind: 'entry' | 'agent',
  watch: Pick<descriptorWatches.DescriptorWatch, 'exhaustedCount' | 'failedConnectCount'>,
): GaugeSource[] {
  return [
    { name: `${daemonKind}.descriptors_exhausted`, read: watch.exhaustedCount },
    { name: `${daemonKind}.connects_without_descriptor`, read: watch.failedConnectCount },
  ];
}

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
