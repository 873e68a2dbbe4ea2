/**
 * Tables of where a deployment loses requests, computed from its gateways' logs: refusals by cause, by second and by
 * the number of available copies; observed first-chunk times compared with the predicted ones; in-flight requests per
 * upstream, which show upstreams that queued while others were idle; and copy changes by load source and duration.
 * Lines that the loggers dropped are missing from the tables; `lines-dropped` events count them.
 */
import type { logLines } from '@copperlever/runtime';

export type CauseRow = { cause: string; count: number; byCopies: Record<string, number> };

/** Streams whose predicted first-chunk time is below `belowMs` and not below that of the previous row. */
export type PredictionRow = {
  belowMs: number;
  count: number;
  /** Observed time divided by predicted time: median and 90th percentile. */
  medianRatio: number;
  p90Ratio: number;
};

export type ChangeRow = {
  loadFrom: string;
  doneCount: number;
  failedCount: number;
  medianMs: number;
};

/** Average number of in-flight requests per upstream during one second. */
export type LoadRow = { second: number; mean: number; busiest: number; idleCount: number };

export type LossTables = {
  startMs: number;
  causes: readonly CauseRow[];
  /** Refusals by second, counted from the first line. */
  bySecond: readonly { second: number; counts: Record<string, number> }[];
  predictions: readonly PredictionRow[];
  changes: readonly ChangeRow[];
  loads: readonly LoadRow[];
  droppedCount: number;
};

const NEEDED_EVENTS = new Set([
  'request-ended',
  'request-failed',
  'request-not-placed',
  'attempt-ended',
  'change-started',
  'change-ended',
  'lines-dropped',
]);
/** Upper limits of the bands of predicted times. */
const PREDICTION_BANDS_MS = [50, 100, 150, 250, 400, 800, Infinity];
/** An answer that ends sooner after its first chunk is a plain call, for which predictions do not matter. */
const MIN_STREAM_MS = 15;
const MS_PER_SECOND = 1_000;

export function isNeeded(event: string): boolean {
  return NEEDED_EVENTS.has(event);
}

function toNumber(text: string | undefined): number {
  return text === undefined ? NaN : Number(text);
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN;
}

function addCount<Key>(counts: Map<Key, number>, key: Key, by = 1): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}

function linesOfEvents(
  lines: readonly logLines.LogLine[],
  ...events: string[]
): logLines.LogLine[] {
  return lines.filter(({ event }) => events.includes(event));
}

function isRefusal({ fields }: logLines.LogLine): boolean {
  return fields.outcome === 'not-run';
}

function toCauses(lines: readonly logLines.LogLine[]): CauseRow[] {
  const copies = new Map(
    linesOfEvents(lines, 'request-not-placed').map(({ fields }) => [
      fields.requestId,
      fields.withModelCount ?? '?',
    ]),
  );
  const byCause = new Map<string, Map<string, number>>();
  linesOfEvents(lines, 'request-ended', 'request-failed')
    .filter(isRefusal)
    .forEach(({ fields }) => {
      const cause = fields.cause ?? '?';
      const counts = byCause.get(cause) ?? new Map<string, number>();
      byCause.set(cause, counts);
      addCount(counts, copies.get(fields.requestId) ?? '?');
    });
  return [...byCause]
    .map(([cause, counts]) => ({
      cause,
      count: [...counts.values()].reduce((sum, value) => sum + value, 0),
      byCopies: Object.fromEntries(counts),
    }))
    .sort((left, right) => right.count - left.count);
}

function toSeconds(lines: readonly logLines.LogLine[], startMs: number): LossTables['bySecond'] {
  const bySecond = new Map<number, Map<string, number>>();
  linesOfEvents(lines, 'request-ended', 'request-failed')
    .filter(isRefusal)
    .forEach(({ timeMs, fields }) => {
      const second = Math.floor((timeMs - startMs) / MS_PER_SECOND);
      const counts = bySecond.get(second) ?? new Map<string, number>();
      bySecond.set(second, counts);
      addCount(counts, fields.cause ?? '?');
    });
  return [...bySecond]
    .sort(([left], [right]) => left - right)
    .map(([second, counts]) => ({ second, counts: Object.fromEntries(counts) }));
}

function toPredictions(lines: readonly logLines.LogLine[]): PredictionRow[] {
  const bands = new Map<number, number[]>();
  linesOfEvents(lines, 'attempt-ended').forEach(({ fields }) => {
    const predictedMs = toNumber(fields.predictedMs);
    const firstChunkMs = toNumber(fields.firstPieceMs);
    const isStream = toNumber(fields.tookMs) - firstChunkMs >= MIN_STREAM_MS;
    if (!isStream || Number.isNaN(predictedMs)) return;
    const belowMs = PREDICTION_BANDS_MS.find((endMs) => predictedMs < endMs) ?? Infinity;
    const ratios = bands.get(belowMs) ?? [];
    bands.set(belowMs, ratios);
    ratios.push(firstChunkMs / Math.max(1, predictedMs));
  });
  return [...bands]
    .sort(([left], [right]) => left - right)
    .map(([belowMs, ratios]) => ({
      belowMs,
      count: ratios.length,
      medianRatio: quantile(ratios, 0.5),
      p90Ratio: quantile(ratios, 0.9),
    }));
}

function toChanges(lines: readonly logLines.LogLine[]): ChangeRow[] {
  const keyOf = ({ daemonId, fields }: logLines.LogLine) =>
    `${daemonId} ${fields.upstreamId} ${fields.load}`;
  const startedFrom = new Map<string, string>();
  const rows = new Map<string, { done: number[]; failedCount: number }>();
  linesOfEvents(lines, 'change-started', 'change-ended').forEach((line) => {
    if (line.event === 'change-started') {
      startedFrom.set(keyOf(line), line.fields.loadFrom ?? '?');
      return;
    }
    const loadFrom = startedFrom.get(keyOf(line)) ?? '?';
    const row = rows.get(loadFrom) ?? { done: [], failedCount: 0 };
    rows.set(loadFrom, row);
    if (line.fields.isDone === 'true') row.done.push(toNumber(line.fields.tookMs));
    else row.failedCount += 1;
  });
  return [...rows].map(([loadFrom, { done, failedCount }]) => ({
    loadFrom,
    doneCount: done.length,
    failedCount,
    medianMs: quantile(done, 0.5),
  }));
}

/** Counts only streams: plain services run on separate upstreams, which are not idle capacity for streams. */
function toLoads(lines: readonly logLines.LogLine[], startMs: number): LoadRow[] {
  const bySecond = new Map<number, Map<string, number>>();
  const upstreamIds = new Set<string>();
  linesOfEvents(lines, 'attempt-ended').forEach(({ timeMs, fields }) => {
    const tookMs = toNumber(fields.tookMs);
    const isStream = tookMs - toNumber(fields.firstPieceMs) >= MIN_STREAM_MS;
    if (!isStream) return;
    const { upstreamId = '?' } = fields;
    upstreamIds.add(upstreamId);
    const endS = (timeMs - startMs) / MS_PER_SECOND;
    const beginS = endS - tookMs / MS_PER_SECOND;
    for (let second = Math.floor(beginS); second <= endS; second += 1) {
      const inFlight = Math.min(endS, second + 1) - Math.max(beginS, second);
      const counts = bySecond.get(second) ?? new Map<string, number>();
      bySecond.set(second, counts);
      addCount(counts, upstreamId, Math.max(0, inFlight));
    }
  });
  return [...bySecond]
    .sort(([left], [right]) => left - right)
    .map(([second, counts]) => {
      const values = [...counts.values()];
      const sum = values.reduce((total, value) => total + value, 0);
      return {
        second,
        mean: sum / Math.max(1, upstreamIds.size),
        busiest: Math.max(0, ...values),
        idleCount: upstreamIds.size - values.filter((value) => value >= 1).length,
      };
    });
}

export function toTables(lines: readonly logLines.LogLine[]): LossTables {
  const startMs = lines.reduce((least, { timeMs }) => Math.min(least, timeMs), Infinity);
  return {
    startMs,
    causes: toCauses(lines),
    bySecond: toSeconds(lines, startMs),
    predictions: toPredictions(lines),
    changes: toChanges(lines),
    loads: toLoads(lines, startMs),
    droppedCount: linesOfEvents(lines, 'lines-dropped').reduce(
      (sum, { fields }) => sum + (Number(fields.count) || 0),
      0,
    ),
  };
}

function joinCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, value]) => `${name}: ${value}`)
    .join(', ');
}

export function formatTables(tables: LossTables): string[] {
  const format = (value: number) => (Number.isFinite(value) ? value.toFixed(2) : '-');
  return [
    'refused, by cause (copies to choose from: refusals)',
    ...tables.causes.map((row) => `  ${row.cause} ${row.count} (${joinCounts(row.byCopies)})`),
    'refused, by second',
    ...tables.bySecond.map(({ second, counts }) => `  ${second}: ${joinCounts(counts)}`),
    'first pieces of streams, observed over predicted (median, nine in ten below)',
    ...tables.predictions.map(
      (row) =>
        `  below ${row.belowMs} ms: ${format(row.medianRatio)}, ${format(row.p90Ratio)} of ${row.count}`,
    ),
    'changes of copies, by where they came from',
    ...tables.changes.map(
      (row) =>
        `  ${row.loadFrom}: ${row.doneCount} in ${Math.round(row.medianMs)} ms (median), ${row.failedCount} failed`,
    ),
    'streams in flight at upstreams, by second (mean, busiest, upstreams without any)',
    ...tables.loads.map(
      (row) => `  ${row.second}: ${format(row.mean)}, ${format(row.busiest)}, ${row.idleCount}`,
    ),
    `lines left out of the logs: ${tables.droppedCount}`,
  ];
}
