/**
 * Builds the timeline of a request from the log lines of all processes: the request's own lines, and the lines around
 * them about the upstreams, the model and the configuration that its gateways decided by.
 */
import type { logLines } from '@copperlever/runtime';

export type TimelineLine = { line: logLines.LogLine; isOwn: boolean };

export type Timeline = { requestId: string; startMs: number; lines: readonly TimelineLine[] };

/** A load from the store takes about ten seconds, so a copy evicted that long ago explains why its model is missing. */
const CONTEXT_BEFORE_MS = 10_000;
const CONTEXT_AFTER_MS = 1_000;

type TimelineScope = {
  daemonIds: ReadonlySet<string>;
  upstreamIds: ReadonlySet<string>;
  models: ReadonlySet<string>;
  fromMs: number;
  toMs: number;
};

function valuesOf(lines: readonly logLines.LogLine[], field: string): Set<string> {
  return new Set(lines.flatMap(({ fields }) => fields[field] ?? []).filter((text) => text !== ''));
}

/** Whether a line without a request id belongs to the timeline. */
function isRelated(
  { event, daemonId, timeMs, fields }: logLines.LogLine,
  scope: TimelineScope,
): boolean {
  if (timeMs < scope.fromMs || timeMs > scope.toMs || fields.requestId !== undefined) return false;
  const concernsUpstream = scope.upstreamIds.has(fields.upstreamId ?? '');
  const concernsModel =
    scope.models.has(fields.load ?? '') ||
    scope.models.has(fields.unload ?? '') ||
    scope.models.has(fields.model ?? '');
  switch (event) {
    case 'change-started':
    case 'change-ended':
    case 'order-given':
      return concernsModel;
    // Each gateway judges upstreams separately, so only lines of the request's gateways matter.
    case 'upstream-changed':
    case 'upstream-avoided':
    case 'upstream-trusted':
    case 'upstream-ended':
    case 'answers-lost':
    case 'upstream-returned':
    case 'upstream-slow':
    case 'upstream-usual':
    case 'upstream-limited':
    case 'upstream-unlimited':
    case 'upstream-leaving':
    case 'upstream-paused':
    case 'turn-owner-silent':
      return concernsUpstream && scope.daemonIds.has(daemonId);
    case 'lease-taken':
    case 'lease-lost':
    case 'lease-released':
    case 'lease-kept':
      return true;
    case 'config-in-force':
    case 'store-lost':
    case 'store-regained':
    case 'started':
    case 'stopping':
    case 'stopped':
    case 'lines-dropped':
      return scope.daemonIds.has(daemonId);
    default:
      return false;
  }
}

/** Returns null if no line has the request id. */
export function buildTimeline(
  requestId: string,
  lines: readonly logLines.LogLine[],
): Timeline | null {
  const own = lines.filter(({ fields }) => fields.requestId === requestId);
  const [first] = own;
  if (first === undefined) return null;
  const times = own.map(({ timeMs }) => timeMs);
  const startMs = Math.min(...times);
  const scope: TimelineScope = {
    daemonIds: new Set(own.map(({ daemonId }) => daemonId)),
    upstreamIds: valuesOf(own, 'upstreamId'),
    models: valuesOf(own, 'model'),
    fromMs: startMs - CONTEXT_BEFORE_MS,
    toMs: Math.max(...times) + CONTEXT_AFTER_MS,
  };
  const related = lines.filter((line) => isRelated(line, scope));
  const merged = [
    ...own.map((line) => ({ line, isOwn: true })),
    ...related.map((line) => ({ line, isOwn: false })),
  ];
  // The clocks of machines differ slightly; the sort is stable, so lines of one process keep their order.
  merged.sort((left, right) => left.line.timeMs - right.line.timeMs);
  return { requestId, startMs, lines: merged };
}

export function formatTimeline(timeline: Timeline): string[] {
  return timeline.lines.map(({ line, isOwn }) => {
    const sinceMs = line.timeMs - timeline.startMs;
    const offset = `${sinceMs >= 0 ? '+' : ''}${sinceMs}`.padStart(8);
    const fields = Object.entries(line.fields)
      .filter(([name]) => name !== 'requestId')
      .map(([name, value]) => `${name}=${value}`);
    return [`${offset} ms ${isOwn ? '>' : ' '}`, line.daemonId, line.event, ...fields].join('  ');
  });
}
