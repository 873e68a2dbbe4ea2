/** Callers: they ask over HTTP, and ask again as a careful client does. */
import { clocks } from '@copperlever/runtime';

import type * as fleets from './fleet.js';
import * as upstreams from './upstreams.js';

export type Question = {
  kind: 'chat' | 'submission';
  /** A word that no other question has. */
  mark: string;
  model?: string;
};

/** What one call came to, as its caller sees it. */
export type Told =
  | { kind: 'answered'; status: number; body: string }
  | { kind: 'not-run' | 'unknown' | 'failed'; cause: string; retryAfterMs: number | null }
  /** Part of an answer, and then word that the rest does not come. */
  | { kind: 'broken-off'; cause: string }
  | { kind: 'connection-lost' }
  | { kind: 'timed-out' };

export type Ask = {
  question: Question;
  entryId: string;
  /** Empty when the connection was lost before an answer began. */
  requestId: string;
  askedAtMs: number;
  told: Told;
};

const DEADLINE_MS = 15_000;
/** A caller hangs up this long after its deadline. */
const HANG_UP_MS = 10_000;
const CONNECTION_CHECK_MS = 50;
const MAX_ASKS = 5;
/** A caller that is told to come back later than this gives up. */
const PATIENCE_MS = 30_000;
const PAUSE_MS = 300;

export function bodyOf(question: Question): string {
  if (question.kind === 'submission') return question.mark;
  const messages = [{ role: 'user', content: question.mark }];
  const model = question.model ?? 'draws';
  return JSON.stringify({ model, messages, stream: true, max_tokens: 4 });
}

/** The only body that may be answered to this question. */
export function expectedBody(ask: Ask): string {
  const body = bodyOf(ask.question);
  return ask.question.kind === 'chat'
    ? upstreams.chatAnswer(ask.requestId, body)
    : upstreams.submissionAnswer(body);
}

type Problem = { type: string; outcome: 'not-run' | 'unknown' | 'failed' };

function causeOf(problem: Problem): string {
  return problem.type.split(':').at(-1) ?? '';
}

function readAnswer(response: {
  statusCode: number;
  headers: Readonly<Record<string, unknown>>;
  body: string;
}): Told {
  if (String(response.headers['content-type']).startsWith('application/problem+json')) {
    const problem = JSON.parse(response.body) as Problem;
    const retryAfter = response.headers['retry-after'];
    const retryAfterMs = retryAfter === undefined ? null : Number(retryAfter) * 1_000;
    return { kind: problem.outcome, cause: causeOf(problem), retryAfterMs };
  }
  const errorAt = response.body.indexOf('event: error\ndata: ');
  if (errorAt >= 0) {
    const problem = JSON.parse(response.body.slice(errorAt).split('data: ')[1] ?? '{}') as Problem;
    return { kind: 'broken-off', cause: causeOf(problem) };
  }
  return { kind: 'answered', status: response.statusCode, body: response.body };
}

function requestOf(question: Question, deadline: string) {
  const headers = { 'x-request-deadline': deadline };
  const payload = bodyOf(question);
  if (question.kind === 'chat') {
    const json = { ...headers, 'content-type': 'application/json' };
    return { method: 'POST' as const, url: '/v1/chat/completions', headers: json, payload };
  }
  const once = { ...headers, 'content-type': 'text/plain', 'idempotency-key': question.mark };
  return {
    method: 'POST' as const,
    url: '/services/entry-desk/submissions',
    headers: once,
    payload,
  };
}

/** Notices that the entry's process is gone, as a reset connection would tell. */
async function connectionLost(fleet: fleets.Fleet, entry: fleets.Entry): Promise<Told> {
  while (!entry.process.isKilled()) {
    await clocks.sleepUntil(fleet.clock, fleet.clock.nowMs() + CONNECTION_CHECK_MS);
  }
  return { kind: 'connection-lost' };
}

/** Asks once. */
export async function askOnce(
  fleet: fleets.Fleet,
  entryId: string,
  question: Question,
): Promise<Ask> {
  const { clock } = fleet;
  const entry = fleet.entries.get(entryId) as fleets.Entry;
  const askedAtMs = clock.nowMs();
  const ask = { question, entryId, requestId: '', askedAtMs };
  if (entry.process.isKilled()) return { ...ask, told: { kind: 'connection-lost' } };
  const deadline = new Date(clock.wallMs() + DEADLINE_MS).toISOString();
  const answer = new Promise<Ask>((resolve) => {
    entry.process.deliver(() => {
      void entry.app.inject(requestOf(question, deadline)).then((response) => {
        const requestId = String(response.headers['x-request-id'] ?? '');
        const told = readAnswer(response);
        entry.process.deliver(() => resolve({ ...ask, requestId, told }));
      });
    });
  });
  const lost = connectionLost(fleet, entry).then((told) => ({ ...ask, told }));
  const hangUpAtMs = clock.nowMs() + DEADLINE_MS + HANG_UP_MS;
  const done = await clocks.raceDeadline(clock, hangUpAtMs, Promise.race([answer, lost]));
  return done === 'deadline' ? { ...ask, told: { kind: 'timed-out' } } : done;
}

/** When a careful caller asks again; null when it has its end. */
function askAgainAfterMs(told: Told): number | null {
  switch (told.kind) {
    case 'answered':
      return null;
    case 'not-run':
    case 'unknown':
    case 'failed':
      return told.retryAfterMs;
    case 'broken-off':
    case 'connection-lost':
    case 'timed-out':
      return PAUSE_MS;
  }
}

/** The balancer leaves out entries that said they are stopping. */
function chooseEntry(fleet: fleets.Fleet, entryIds: readonly string[], index: number): string {
  const open = entryIds.filter(
    (entryId) => fleet.entries.get(entryId)?.stopping.isStopping === false,
  );
  const choices = open.length > 0 ? open : entryIds;
  return choices[index % choices.length] as string;
}

/** Asks, and asks again at the other entry, until there is an end or patience is out. */
export async function askUntilEnd(
  fleet: fleets.Fleet,
  entryIds: readonly string[],
  question: Question,
): Promise<Ask[]> {
  const asks: Ask[] = [];
  for (let index = 0; index < MAX_ASKS; index += 1) {
    const entryId = chooseEntry(fleet, entryIds, index);
    const ask = await askOnce(fleet, entryId, question);
    asks.push(ask);
    const waitMs = askAgainAfterMs(ask.told);
    if (waitMs === null || waitMs > PATIENCE_MS) break;
    await clocks.sleepUntil(fleet.clock, fleet.clock.nowMs() + waitMs);
  }
  return asks;
}
