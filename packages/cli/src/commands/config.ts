/** `copperlever config`: show, patch, history and diff of configuration versions. */
import { checks, patches, schema } from '@copperlever/configuration';
import type { configTypes } from '@copperlever/coordination';
import { results, settings } from '@copperlever/runtime';
import * as zod from 'zod';

import * as contexts from '../context.js';

type Context = contexts.Context;
type Version = configTypes.ConfigVersion<schema.Document>;

/** Maximum number of audit records read for one difference. */
const MAX_HISTORY_RECORDS = 10_000;

function describeConfigError(context: Context, error: configTypes.ConfigError): string {
  switch (error.kind) {
    case 'stale':
      return `stale: the present version is ${error.presentVersion}`;
    case 'store-unavailable': {
      const seconds = Math.ceil(context.untilMs(error.retryAtMs) / 1_000);
      return `object API unavailable; configuration not changed; retry in ${seconds} s`;
    }
    case 'outcome-unknown':
      return `response lost, outcome unknown; check "config history" for version ${error.version}`;
    case 'too-large':
      return `${error.partName} is too large for one object: ${error.sizeBytes} bytes`;
    case 'malformed':
      return `object ${error.key} is not a valid configuration`;
  }
}

function printConfigError(context: Context, error: configTypes.ConfigError): number {
  contexts.printError(context, error, describeConfigError(context, error));
  return error.kind === 'stale' ? contexts.EXIT.stale : contexts.EXIT.failed;
}

async function readCurrent(
  context: Context,
): Promise<results.Result<Version, configTypes.ConfigError>> {
  const read = await context.config.read(context.deadlineMs());
  if (read.err) return read;
  return results.Ok(read.val ?? { version: 0, document: schema.emptyDocument() });
}

export async function showConfig(context: Context): Promise<number> {
  const current = await readCurrent(context);
  if (current.err) return printConfigError(context, current.val);
  const { version, document } = current.val;
  contexts.print(context, { version, document }, [
    `version ${version}`,
    JSON.stringify(document, null, 2),
  ]);
  return contexts.EXIT.ok;
}

function printStale(context: Context, presentVersion: number, changes: patches.FieldChange[]) {
  const lines = [
    `stale: the present version is ${presentVersion}; changed since:`,
    ...changes.map((change) => `  ${change.field}`),
  ];
  contexts.printError(context, { kind: 'stale', presentVersion, changes }, lines.join('\n'));
  return contexts.EXIT.stale;
}

/** Rebuilds the documents of all versions from the audit trail, indexed by version. */
async function replayHistory(
  context: Context,
): Promise<results.Result<unknown[], configTypes.ConfigError>> {
  const history = await context.config.history(MAX_HISTORY_RECORDS, context.deadlineMs());
  if (history.err) return history;
  const documents: unknown[] = [schema.emptyDocument()];
  for (const record of [...history.val].reverse()) {
    const merged = patches.mergePatch(documents[record.againstVersion], record.patch);
    documents[record.version] = schema.documentSchema.parse(merged);
  }
  return results.Ok(documents);
}

/** Rejects a patch that is against an old version or lost a race, and prints the changes made since that version. */
async function rejectStalePatch(context: Context, againstVersion: number): Promise<number> {
  const current = await readCurrent(context);
  if (current.err) return printConfigError(context, current.val);
  const documents = await replayHistory(context);
  const before = documents.ok ? documents.val[againstVersion] : undefined;
  const changes = before === undefined ? [] : patches.difference(before, current.val.document);
  return printStale(context, current.val.version, changes);
}

async function submitPatch(context: Context, current: Version, patch: unknown): Promise<number> {
  const applied = patches.applyPatch(current.document, patch);
  if (applied.err) {
    const lines = applied.val.map(checks.describeProblem);
    const value = { kind: 'rejected', problems: applied.val };
    contexts.printError(context, value, ['rejected:', ...lines].join('\n  '));
    return contexts.EXIT.badInput;
  }
  const submission = {
    operator: context.options.operator,
    patch,
    againstVersion: current.version,
    document: applied.val,
  };
  const accepted = await context.config.submit(submission, context.deadlineMs());
  if (accepted.err && accepted.val.kind === 'stale') {
    return rejectStalePatch(context, current.version);
  }
  if (accepted.err) return printConfigError(context, accepted.val);
  const { version } = accepted.val;
  const changes = patches.difference(current.document, applied.val);
  contexts.print(context, { version, changes }, [`accepted as version ${version}`]);
  return contexts.EXIT.ok;
}

export async function patchConfig(
  context: Context,
  againstVersion: number,
  patch: unknown,
): Promise<number> {
  const current = await readCurrent(context);
  if (current.err) return printConfigError(context, current.val);
  if (current.val.version !== againstVersion) return rejectStalePatch(context, againstVersion);
  return submitPatch(context, current.val, patch);
}

/** Submits the patch in `file`, which is JSON with comments. */
export async function patchConfigFromFile(
  context: Context,
  againstVersion: number,
  file: string,
): Promise<number> {
  const loaded = settings.loadSettings(file, zod.record(zod.string(), zod.unknown()));
  if (loaded.err) {
    const text = loaded.val.map(settings.describeError).join('\n');
    contexts.printError(context, { kind: 'unreadable-patch', errors: loaded.val }, text);
    return contexts.EXIT.badInput;
  }
  return patchConfig(context, againstVersion, loaded.val);
}

/** Submits the patch that `makePatch` makes for the current version; null from `makePatch` means invalid input. */
export async function patchCurrent(
  context: Context,
  makePatch: (document: schema.Document) => unknown,
): Promise<number> {
  const current = await readCurrent(context);
  if (current.err) return printConfigError(context, current.val);
  const patch = makePatch(current.val.document);
  if (patch === null) return contexts.EXIT.badInput;
  return submitPatch(context, current.val, patch);
}

export async function showHistory(context: Context, limit: number): Promise<number> {
  const history = await context.config.history(limit, context.deadlineMs());
  if (history.err) return printConfigError(context, history.val);
  const lines = history.val.map(
    (record) =>
      `${record.version}  ${record.acceptedAt}  ${record.operator}  against ${record.againstVersion}  ${JSON.stringify(record.patch)}`,
  );
  contexts.print(context, history.val, lines);
  return contexts.EXIT.ok;
}

export async function showDifference(
  context: Context,
  fromVersion: number,
  toVersion: number,
): Promise<number> {
  const documents = await replayHistory(context);
  if (documents.err) return printConfigError(context, documents.val);
  const [from, to] = [documents.val[fromVersion], documents.val[toVersion]];
  if (from === undefined || to === undefined) {
    const missing = from === undefined ? fromVersion : toVersion;
    contexts.printError(
      context,
      { kind: 'no-such-version', version: missing },
      `version ${missing} does not exist`,
    );
    return contexts.EXIT.badInput;
  }
  const changes = patches.difference(from, to);
  const lines = changes.map(
    (change) =>
      `${change.field}: ${JSON.stringify(change.before) ?? '(none)'} -> ${JSON.stringify(change.after) ?? '(none)'}`,
  );
  contexts.print(context, changes, lines);
  return contexts.EXIT.ok;
}
