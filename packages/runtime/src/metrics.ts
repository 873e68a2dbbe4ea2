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

export function createMetrics(options: MetricsOptions): Metrics {
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port,
    prefix: 'copperlever.',
    globalTags: { daemon: options.daemonId },
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
