/**
 * What requests that crash an upstream can have in common: the whole request, as its caller repeats it, or a part of its
 * prompt. The last part is left out, since it belongs to the request itself or to its session.
 */
import * as crypto from 'node:crypto';

import type * as calls from '../../types/calls.js';

/** Traits that explain ends only together: a request is suspected if it has all of them. */
export type TraitSet = readonly string[];

/** Bounds what one request adds to the evidence. */
export const TRAITS_MAX = 1_000;
/** Longer ids are hashed. */
const ID_LENGTH_MAX = 20;
const HASH_LENGTH = 16;
const HEXADECIMAL = /^[0-9a-f]+$/i;
const LEADING_ZEROS = /^0+(?=.)/;

/** Ids are numbers: their case and leading zeros don't matter. */
function normalized(id: string): string {
  const text = HEXADECIMAL.test(id) ? id.toLowerCase().replace(LEADING_ZEROS, '') : id;
  if (text.length <= ID_LENGTH_MAX) return text;
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, HASH_LENGTH);
}

const FINGERPRINT_PREFIX = 'request:';

export function ofPart(id: string): string {
  return `part:${normalized(id)}`;
}

export function ofFingerprint(fingerprint: string): string {
  return `${FINGERPRINT_PREFIX}${fingerprint}`;
}

/** Null for the trait of a part. */
export function toFingerprint(trait: string): string | null {
  return trait.startsWith(FINGERPRINT_PREFIX) ? trait.slice(FINGERPRINT_PREFIX.length) : null;
}

export function of({
  fingerprint,
  facts,
}: Pick<calls.Call, 'fingerprint' | 'facts'>): readonly string[] {
  const parts = facts.promptParts.slice(0, -1).map(({ id }) => ofPart(id));
  return [...new Set([ofFingerprint(fingerprint), ...parts])].slice(0, TRAITS_MAX);
}
