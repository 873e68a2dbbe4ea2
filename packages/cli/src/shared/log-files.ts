/** Reads gateways' log lines from files, or from standard input if no files are given. */
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';

import { logLines, results } from '@copperlever/runtime';

export type ReadError = { kind: 'log-unreadable'; path: string; reason: string };

type LineFilter = (line: logLines.LogLine) => boolean;

async function readLines(
  input: stream.Readable,
  isNeeded: LineFilter,
  into: logLines.LogLine[],
): Promise<void> {
  const reader = readline.createInterface({ input, crlfDelay: Infinity });
  for await (const text of reader) {
    const line = logLines.parseLine(text);
    if (line !== null && isNeeded(line)) into.push(line);
  }
}

/** Keeps only lines that pass `isNeeded`: the logs of a day are large, and each command needs only a part of them. */
export async function readAll(
  paths: readonly string[],
  isNeeded: LineFilter,
): Promise<results.Result<logLines.LogLine[], ReadError>> {
  const lines: logLines.LogLine[] = [];
  if (paths.length === 0) {
    await readLines(process.stdin, isNeeded, lines);
    return results.Ok(lines);
  }
  for (const path of paths) {
    try {
      await readLines(fs.createReadStream(path), isNeeded, lines);
    } catch (cause) {
      return results.Err({ kind: 'log-unreadable', path, reason: String(cause) });
    }
  }
  return results.Ok(lines);
}
