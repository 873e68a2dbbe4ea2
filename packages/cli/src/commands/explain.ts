/** `copperlever explain ID [LOGS...]`: the story of one request, from log files or standard input. */
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';

import { logLines, results } from '@copperlever/runtime';

import * as contexts from '../context.js';
import * as story from '../shared/story.js';

type ReadError = { kind: 'log-unreadable'; path: string; reason: string };

/** Keeps what may belong to the story: lines of requests are the most by far, and only one is asked for. */
async function readLines(
  requestId: string,
  input: stream.Readable,
  into: logLines.LogLine[],
): Promise<void> {
  const reader = readline.createInterface({ input, crlfDelay: Infinity });
  for await (const text of reader) {
    const line = logLines.parseLine(text);
    const of = line?.fields.requestId;
    if (line !== null && (of === undefined || of === requestId)) into.push(line);
  }
}

async function readAll(
  requestId: string,
  paths: readonly string[],
): Promise<results.Result<logLines.LogLine[], ReadError>> {
  const lines: logLines.LogLine[] = [];
  if (paths.length === 0) {
    await readLines(requestId, process.stdin, lines);
    return results.Ok(lines);
  }
  for (const path of paths) {
    try {
      await readLines(requestId, fs.createReadStream(path), lines);
    } catch (cause) {
      return results.Err({ kind: 'log-unreadable', path, reason: String(cause) });
    }
  }
  return results.Ok(lines);
}

export async function explain(
  context: contexts.Context,
  requestId: string,
  paths: readonly string[],
): Promise<number> {
  const read = await readAll(requestId, paths);
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
