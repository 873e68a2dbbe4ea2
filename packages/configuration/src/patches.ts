/** JSON merge patches (RFC 7396) against a version of the configuration document. */
import { results } from '@copperlever/runtime';

import * as checks from './checks.js';
import * as schema from './schema.js';

type JsonObject = Record<string, unknown>;

/** One changed field; `before` or `after` is undefined if the field is missing on that side. */
export type FieldChange = { field: string; before: unknown; after: unknown };

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Assigning this key would change the prototype instead of a field. */
const FORBIDDEN_KEY = '__proto__';

/** Applies a merge patch without modifying its arguments. */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isObject(patch)) return patch;
  const merged: JsonObject = isObject(target) ? { ...target } : {};
  for (const [key, value] of Object.entries(patch)) {
    if (key === FORBIDDEN_KEY) continue;
    if (value === null) delete merged[key];
    else merged[key] = mergePatch(merged[key], value);
  }
  return merged;
}

function parseDocument(value: unknown): results.Result<schema.Document, checks.DocumentProblem[]> {
  const parsed = schema.documentSchema.safeParse(value);
  if (parsed.success) return results.Ok(parsed.data);
  return results.Err(
    parsed.error.issues.map((issue) => ({
      kind: 'malformed',
      field: issue.path.map(String).join('.') || '(document)',
      reason: issue.message,
    })),
  );
}

/** Applies `patch` to `document`; returns the new document, or all its problems if it is invalid. */
export function applyPatch(
  document: schema.Document,
  patch: unknown,
): results.Result<schema.Document, checks.DocumentProblem[]> {
  const parsed = parseDocument(mergePatch(document, patch));
  if (parsed.err) return parsed;
  const problems = checks.findProblems(parsed.val);
  return problems.length > 0 ? results.Err(problems) : parsed;
}

/** All fields that differ between two values, identified by their paths. */
export function difference(before: unknown, after: unknown, field = ''): FieldChange[] {
  if (isObject(before) && isObject(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return keys.flatMap((key) =>
      difference(before[key], after[key], field === '' ? key : `${field}.${key}`),
    );
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ field, before, after }];
}
