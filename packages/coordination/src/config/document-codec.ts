/** Splits a JSON document into parts, so that a small patch changes few bytes. */
import * as crypto from 'node:crypto';

import * as hashes from '@copperlever/runtime/hashes';

import type * as types from './types.js';

type JsonObject = Record<string, unknown>;

/**
 * A field larger than this is split into groups of its entries of about this size. A patch to one of 1,600 models then
 * rewrites and sends one group, not all models.
 */
const GROUP_TARGET_BYTES = 16_000;
const GROUP_COUNT_MAX = 1_024;

/** Separates the name of a field from its group, as in `models#3of8`. */
const GROUP_SEPARATOR = '#';

export function hashOf(data: Buffer): string {
  return crypto.createHash('sha256').update(data).digest('hex');
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function toPart(partName: string, value: unknown): types.Part {
  const data = Buffer.from(JSON.stringify(value));
  return { partName, hash: hashOf(data), data };
}

/** Returns a power of two, so that a growing field seldom moves its entries to other groups. */
function groupCountFor(sizeBytes: number): number {
  let count = 1;
  while (count < GROUP_COUNT_MAX && sizeBytes / count > GROUP_TARGET_BYTES) count *= 2;
  return count;
}

function splitField(field: string, value: unknown): types.Part[] {
  const whole = toPart(field, value);
  const groupCount = groupCountFor(whole.data.length);
  if (groupCount === 1 || !isObject(value)) return [whole];
  const groups = Array.from({ length: groupCount }, (): JsonObject => ({}));
  for (const [key, entry] of Object.entries(value)) {
    const group = groups[hashes.hash32(key) % groupCount];
    if (group !== undefined) group[key] = entry;
  }
  return groups.map((group, index) =>
    toPart(`${field}${GROUP_SEPARATOR}${index}of${groupCount}`, group),
  );
}

function fieldOf(partName: string): string {
  const separatorAt = partName.lastIndexOf(GROUP_SEPARATOR);
  return separatorAt < 0 ? partName : partName.slice(0, separatorAt);
}

function joinParts(parts: readonly types.Part[]): JsonObject {
  const document: JsonObject = {};
  for (const part of parts) {
    const value = JSON.parse(part.data.toString('utf8')) as unknown;
    const field = fieldOf(part.partName);
    const before = document[field];
    document[field] = isObject(before) && isObject(value) ? { ...before, ...value } : value;
  }
  return document;
}

/** Makes each top-level field of the document one part, or several if the field is large. */
export function createJsonCodec<Document extends object>(): types.DocumentCodec<Document> {
  return {
    toParts: (document) =>
      Object.entries(document)
        .filter(([, value]) => value !== undefined)
        .flatMap(([field, value]) => splitField(field, value)),
    fromParts: (parts) => {
      try {
        return joinParts(parts) as Document;
      } catch {
        return undefined;
      }
    },
  };
}
