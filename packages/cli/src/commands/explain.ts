/** `copperlever explain ID [LOGS...]`: the timeline of one request, from log files or standard input. */
import * as contexts from '../context.js';
import * as logFiles from '../shared/log-files.js';
import * as timelines from '../shared/timeline.js';

export async function explain(
  context: contexts.Context,
  requestId: string,
  paths: readonly string[],
): Promise<number> {
  // Most log lines belong to other requests and are dropped while reading.
  const read = await logFiles.readAll(
    paths,
    ({ fields }) => fields.requestId === undefined || fields.requestId === requestId,
  );
  if (read.err) {
    contexts.printError(context, read.val, `${read.val.path}: ${read.val.reason}`);
    return contexts.EXIT.badInput;
  }
  const timeline = timelines.buildTimeline(requestId, read.val);
  if (timeline === null) {
    const text = `no log line has request id ${requestId}; lines-dropped events in the logs count lines that were dropped`;
    contexts.printError(context, { kind: 'not-found', requestId }, text);
    return contexts.EXIT.failed;
  }
  contexts.print(context, timeline, timelines.formatTimeline(timeline));
  return contexts.EXIT.ok;
}
