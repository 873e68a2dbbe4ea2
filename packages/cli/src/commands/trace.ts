/** `copperlever trace ID`: the recorded events of one request. */
import type { journalTypes } from '@copperlever/coordination';

import * as contexts from '../context.js';

function formatEvent(event: journalTypes.JournalEvent): string {
  const fields = Object.entries(event.fields)
    .filter(([, value]) => value !== '')
    .map(([key, value]) => `${key}=${value}`);
  const head = `${new Date(event.atMs).toISOString()}  ${event.memberId}  ${event.event}`;
  return [head, ...fields].join('  ');
}

export async function showTrace(context: contexts.Context, requestId: string): Promise<number> {
  const found = await context.journal.search(requestId, context.deadlineMs());
  if (found.err) {
    contexts.printError(context, found.val, `object API unavailable: ${found.val.kind}`);
    return contexts.EXIT.failed;
  }
  const { events, isWhole } = found.val;
  if (events.length === 0) {
    const text = `no events recorded for ${requestId}; batches are written every few seconds`;
    contexts.printError(context, { kind: 'not-found', requestId }, text);
    return contexts.EXIT.failed;
  }
  const warning = isWhole ? [] : ['(some batches could not be read: events may be missing)'];
  contexts.print(context, found.val, [...events.map(formatEvent), ...warning]);
  return contexts.EXIT.ok;
}
