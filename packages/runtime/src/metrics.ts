/** StatsD metrics, sent with hot-shots. All metric names are listed in docs/metrics.md. */
import * as hotShots from 'hot-shots';

export type MetricTags = Readonly<Record<string, string>>;

export type Metrics = {
  count: (name: string, value?: number, tags?: MetricTags) => void;
  gauge: (name: string, value: number, tags?: MetricTags) => void;
  timing: (name: string, valueMs: number, tags?: MetricTags) => void;
  close: () => Promise<void>;
};

export type MetricsOptions = { host: string; port: number; daemonId: string };

/** A datagram of that size passes any network whole. */
const DATAGRAM_BYTES_MAX = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

export function createMetrics(options: MetricsOptions): Metrics {
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port,
    prefix: 'copperlever.',
    globalTags: { daemon: options.daemonId },
    // Sent one by one, each metric waits in memory for a look-up of its own where the host is a name.
    maxBufferSize: DATAGRAM_BYTES_MAX,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    // A lost metric must not fail a request.
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, tags = {}) => client.increment(name, value, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    timing: (name, valueMs, tags = {}) => client.timing(name, valueMs, tags),
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
}

/** Discards all metrics; for tests, and for settings without a StatsD address. */
export function createSilentMetrics(): Metrics {
  return { count: () => {}, gauge: () => {}, timing: () => {}, close: () => Promise.resolve() };
}
