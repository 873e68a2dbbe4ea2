/**
 * A request's story, from the log lines of all processes: its own lines, and around them what its gateways came to
 * believe of the upstreams, the model and the configuration that decided it.
 */
import type { logLines } from '@copperlever/runtime';

export type StoryLine = { line: logLines.LogLine; isOwn: boolean };

export type Story = { requestId: string; startMs: number; lines: readonly StoryLine[] };

/** A copy that made way ten seconds ago is why its model is missing now: so long a load from the store takes. */
const BEFORE_MS = 10_000;
const AFTER_MS = 1_000;

type Subject = {
  daemonIds: ReadonlySet<string>;
  upstreamIds: ReadonlySet<string>;
  models: ReadonlySet<string>;
  fromMs: number;
  toMs: number;
};

function valuesOf(lines: readonly logLines.LogLine[], field: string): Set<string> {
  return new Set(lines.flatMap(({ fields }) => fields[field] ?? []).filter((text) => text !== ''));
}

/** Whether a line that is not the request's own belongs to its story. */
function isRelated({ event, daemonId, timeMs, fields }: logLines.LogLine, of: Subject): boolean {
  if (timeMs < of.fromMs || timeMs > of.toMs || fields.requestId !== undefined) return false;
  const isOfUpstream = of.upstreamIds.has(fields.upstreamId ?? '');
  const isOfModel =
    of.models.has(fields.load ?? '') ||
    of.models.has(fields.unload ?? '') ||
    of.models.has(fields.model ?? '');
  switch (event) {
    case 'change-started':
    case 'change-ended':
    case 'order-given':
      return isOfModel;
    // What one gateway believes of an upstream says nothing of another.
    case 'upstream-changed':
    case 'upstream-avoided':
    case 'upstream-trusted':
    case 'upstream-slow':
    case 'upstream-usual':
    case 'upstream-limited':
    case 'upstream-unlimited':
    case 'upstream-leaving':
    case 'upstream-paused':
    case 'turn-owner-silent':
      return isOfUpstream && of.daemonIds.has(daemonId);
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
      return of.daemonIds.has(daemonId);
    default:
      return false;
  }
}

/** Null when no line carries the id. */
export function tellStory(requestId: string, lines: readonly logLines.LogLine[]): Story | null {
  const own = lines.filter(({ fields }) => fields.requestId === requestId);
  const [first] = own;
  if (first === undefined) return null;
  const times = own.map(({ timeMs }) => timeMs);
  const startMs = Math.min(...times);
  const subject: Subject = {
    daemonIds: new Set(own.map(({ daemonId }) => daemonId)),
    upstreamIds: valuesOf(own, 'upstreamId'),
    models: valuesOf(own, 'model'),
    fromMs: startMs - BEFORE_MS,
    toMs: Math.max(...times) + AFTER_MS,
  };
  const related = lines.filter((line) => isRelated(line, subject));
  const told = [
    ...own.map((line) => ({ line, isOwn: true })),
    ...related.map((line) => ({ line, isOwn: false })),
  ];
  // Clocks of machines differ a little; lines of one process keep their order.
  told.sort((left, right) => left.line.timeMs - right.line.timeMs);
  return { requestId, startMs, lines: told };
}

export function formatStory(story: Story): string[] {
  return story.lines.map(({ line, isOwn }) => {
    const sinceMs = line.timeMs - story.startMs;
    const offset = `${sinceMs >= 0 ? '+' : ''}${sinceMs}`.padStart(8);
    const fields = Object.entries(line.fields)
      .filter(([name]) => name !== 'requestId')
      .map(([name, value]) => `${name}=${value}`);
    return [`${offset} ms ${isOwn ? '>' : ' '}`, line.daemonId, line.event, ...fields].join('  ');
  });
}
