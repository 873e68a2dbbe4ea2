/** `copperlever losses [LOGS...]`: which requests were refused or delayed, when and why. */
import * as contexts from '../context.js';
import * as logFiles from '../shared/log-files.js';
import * as lossTables from '../shared/loss-tables.js';

export async function showLosses(
  context: contexts.Context,
  paths: readonly string[],
): Promise<number> {
  const read = await logFiles.readAll(paths, ({ event }) => lossTables.isNeeded(event));
  if (read.err) {
    contexts.printError(context, read.val, `${read.val.path}: ${read.val.reason}`);
    return contexts.EXIT.badInput;
  }
  const tables = lossTables.toTables(read.val);
  contexts.print(context, tables, lossTables.formatTables(tables));
  return contexts.EXIT.ok;
}
