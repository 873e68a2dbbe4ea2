/** `copperlever explain ID [LOGS...]`: the story of one request, from log files or standard input. */
import * as contexts from '../context.js';
import * as logFiles from '../shared/log-files.js';
import * as story from '../shared/story.js';

export async function explain(
  context: contexts.Context,
  requestId: string,
  paths: readonly string[],
): Promise<number> {
  // Lines of requests are the most by far, and only one is asked for.
  const read = await logFiles.readAll(
    paths,
    ({ fields }) => fields.requestId === undefined || fields.requestId === requestId,
  );
  if (read.err) {
    contexts.printError(context, read.val, `${read.val.path}: ${read.val.reason}`);
    return contexts.EXIT.badInput;
  }
  const told = story.tellStory(requestId, read.val);
  if (told === null) {
    const text = `no line carries ${requestId}; lines-dropped in the logs says whether some were left out`;
    contexts.printError(context, { kind: 'not-found', requestId }, text);
    return contexts.EXIT.failed;
  }
  contexts.print(context, told, story.formatStory(told));
  return contexts.EXIT.ok;
}
