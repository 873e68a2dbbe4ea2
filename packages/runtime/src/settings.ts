/** Reads settings files: JSON with comments, validated against a schema. */
import * as fs from 'node:fs';
import * as timers from 'node:timers/promises';

import * as jsonc from 'jsonc-parser';
import type * as zod from 'zod';

import * as results from './results.js';

/** Exit status of a program that was given invalid settings. */
export const BAD_SETTINGS_EXIT_STATUS = 2;

/** A writer is through with a file within milliseconds: an error that stays for 300 ms is one of the settings. */
const READ_ATTEMPTS = 15;
const READ_INTERVAL_MS = 20;

/** Why a settings file was rejected: the position, the field and the reason. */
export type SettingsError = {
  kind: 'settings-invalid';
  file: string;
  line: number;
  field: string;
  reason: string;
};

export function describeError(error: SettingsError): string {
  return `${error.file}:${error.line}: ${error.field}: ${error.reason}`;
}

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

function syntaxError(file: string, text: string, error: jsonc.ParseError): SettingsError {
  return {
    kind: 'settings-invalid',
    file,
    line: lineOf(text, error.offset),
    field: '(syntax)',
    reason: jsonc.printParseErrorCode(error.error),
  };
}

/** The line of the field, or of its nearest parent that exists. */
function lineOfPath(text: string, tree: jsonc.Node | undefined, path: jsonc.JSONPath): number {
  if (tree === undefined) return 1;
  for (let length = path.length; length > 0; length -= 1) {
    const node = jsonc.findNodeAtLocation(tree, path.slice(0, length));
    if (node !== undefined) return lineOf(text, node.offset);
  }
  return lineOf(text, tree.offset);
}

function schemaError(file: string, text: string, issue: zod.core.$ZodIssue): SettingsError {
  const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
  const path = [...issue.path, ...unknownKey].map((part) =>
    typeof part === 'symbol' ? String(part) : part,
  );
  return {
    kind: 'settings-invalid',
    file,
    line: lineOfPath(text, jsonc.parseTree(text), path),
    field: path.join('.') || '(file)',
    reason: unknownKey.length > 0 ? 'unknown field' : issue.message,
  };
}

/** Parses settings from `text`; `file` is used only in error messages. */
export function parseSettings<Settings>(
  file: string,
  text: string,
  schema: zod.ZodType<Settings>,
): results.Result<Settings, SettingsError[]> {
  const errors: jsonc.ParseError[] = [];
  const value: unknown = jsonc.parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return results.Err(errors.map((error) => syntaxError(file, text, error)));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return results.Ok(parsed.data);
  return results.Err(parsed.error.issues.map((issue) => schemaError(file, text, issue)));
}

/** Reads and validates the settings file `file`. */
export function loadSettings<Settings>(
  file: string,
  schema: zod.ZodType<Settings>,
): results.Result<Settings, SettingsError[]> {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'cannot be read';
    return results.Err([{ kind: 'settings-invalid', file, line: 1, field: '(file)', reason }]);
  }
  return parseSettings(file, text, schema);
}

/** The same at a start, beside which the file may still be written: half of it is no settings. */
export async function loadWrittenSettings<Settings>(
  file: string,
  schema: zod.ZodType<Settings>,
  wait: (forMs: number) => Promise<unknown> = timers.setTimeout,
): Promise<results.Result<Settings, SettingsError[]>> {
  let loaded = loadSettings(file, schema);
  for (let attempt = 1; loaded.err && attempt < READ_ATTEMPTS; attempt += 1) {
    await wait(READ_INTERVAL_MS);
    loaded = loadSettings(file, schema);
  }
  return loaded;
}
