/** `copperlever status`, `models`, `upstreams`, `drain`: the fleet as reported by one entry. */
import { clocks, results } from '@copperlever/runtime';
import * as boundedCalls from '@copperlever/runtime/bounded-calls';
import * as processMemory from '@copperlever/runtime/memory';
import * as undici from 'undici';
import * as zod from 'zod';

import * as contexts from '../context.js';
import * as config from './config.js';

const memberSchema = zod.looseObject({
  memberId: zod.string(),
  role: zod.enum(['entry', 'agent']),
  status: zod.string(),
  address: zod.string(),
  failureDomain: zod.string(),
  upstreamId: zod.string(),
  readyTargets: zod.array(zod.string()),
});

const statusSchema = zod.looseObject({
  entryId: zod.string(),
  configVersion: zod.number(),
  openCallCount: zod.number(),
  members: zod.array(memberSchema),
});

/** A reachable entry answers much faster. */
const ENTRY_TIMEOUT_MS = 5_000;
/** The status of the largest fleet is a tenth of this. */
const ANSWER_BYTES_MAX = 8 * 1024 * 1024;
const SHARE_OF_READS = 0.2;

type FleetStatus = zod.infer<typeof statusSchema>;

type FleetError = { kind: 'entry-unreachable'; detail: string };

function readEntry({ origin, pathname, search }: URL) {
  const clock = clocks.createSystemClock();
  const deadlineMs = clock.nowMs() + ENTRY_TIMEOUT_MS;
  const budget = processMemory.budgetOf(undefined, SHARE_OF_READS);
  return boundedCalls.call(
    undici.getGlobalDispatcher(),
    clock,
    { origin, method: 'GET', path: `${pathname}${search}`, deadlineMs },
    { reader: 'entry-status', bytesMax: ANSWER_BYTES_MAX, budget, noteClosed: () => {} },
  );
}

async function readStatus(
  context: contexts.Context,
): Promise<results.Result<FleetStatus, FleetError>> {
  try {
    const answer = await readEntry(new URL(`${context.options.entry}/operator/status`));
    if (answer.err) return results.Err({ kind: 'entry-unreachable', detail: answer.val.reason });
    const status = JSON.parse(answer.val.body.toString('utf8')) as unknown;
    return results.Ok(statusSchema.parse(status));
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : 'unknown';
    return results.Err({ kind: 'entry-unreachable', detail });
  }
}

function printFleetError(context: contexts.Context, error: FleetError): number {
  contexts.printError(context, error, `entry unreachable: ${error.detail}`);
  return contexts.EXIT.failed;
}

export async function showStatus(context: contexts.Context): Promise<number> {
  const status = await readStatus(context);
  if (status.err) return printFleetError(context, status.val);
  const { configVersion, members, openCallCount } = status.val;
  contexts.print(context, status.val, [
    `configuration ${configVersion}, ${openCallCount} open calls at ${status.val.entryId}`,
    ...members.map(
      (member) => `${member.memberId}  ${member.role}  ${member.status}  ${member.failureDomain}`,
    ),
  ]);
  return contexts.EXIT.ok;
}

export async function showUpstreams(context: contexts.Context): Promise<number> {
  const status = await readStatus(context);
  if (status.err) return printFleetError(context, status.val);
  const agents = status.val.members.filter((member) => member.role === 'agent');
  contexts.print(
    context,
    agents,
    agents.map(
      (member) =>
        `${member.upstreamId}  ${member.status}  ${member.failureDomain}  ready: ${member.readyTargets.join(' ') || '(none)'}`,
    ),
  );
  return contexts.EXIT.ok;
}

export async function showModels(context: contexts.Context): Promise<number> {
  const status = await readStatus(context);
  if (status.err) return printFleetError(context, status.val);
  const read = await context.config.read(context.deadlineMs());
  if (read.err || read.val === null) {
    contexts.printError(context, { kind: 'no-configuration' }, 'configuration cannot be read');
    return contexts.EXIT.failed;
  }
  const { models, adapters } = read.val.document;
  const names = [...Object.keys(models), ...Object.keys(adapters)];
  const rows = names.map((name) => ({
    name,
    readyAt: status.val.members
      .filter((member) => member.readyTargets.includes(name))
      .map((member) => member.upstreamId),
  }));
  contexts.print(
    context,
    rows,
    rows.map((row) => `${row.name}  ${row.readyAt.join(' ') || '(loaded on demand)'}`),
  );
  return contexts.EXIT.ok;
}

/** Marks an upstream as draining: it gets no new requests and finishes those in progress. */
export async function drainUpstream(
  context: contexts.Context,
  upstreamId: string,
): Promise<number> {
  return config.patchCurrent(context, (document) => {
    if (Object.hasOwn(document.upstreams, upstreamId)) {
      return { upstreams: { [upstreamId]: { draining: true } } };
    }
    const error = { kind: 'unknown-upstream', upstreamId };
    contexts.printError(context, error, `unknown upstream "${upstreamId}"`);
    return null;
  });
}
