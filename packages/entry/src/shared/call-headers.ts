/** The headers by which a caller says how its request is to be treated. */
import { types as work } from '@copperlever/decisions';
import { results } from '@copperlever/runtime';

export const DEADLINE_HEADER = 'x-request-deadline';
export const PRIORITY_HEADER = 'x-priority-class';
export const GROUP_HEADER = 'x-caller-group';
export const IDEMPOTENCY_HEADER = 'idempotency-key';

const DEFAULT_GROUP = 'default';
const MAX_KEY_LENGTH = 255;
const GROUP_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

export type IncomingHeaders = Readonly<Record<string, string | string[] | undefined>>;

export type CallHeaders = {
  /** Epoch milliseconds; null when the caller named none. */
  deadlineWallMs: number | null;
  priorityClass: work.PriorityClass | null;
  callerGroup: string;
  idempotencyKey: string | null;
};

export type HeaderError = { kind: 'invalid-header'; header: string; reason: string };

function single(headers: IncomingHeaders, name: string): string | null {
  const value = headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? null;
}

function invalid(header: string, reason: string): results.Result<never, HeaderError> {
  return results.Err({ kind: 'invalid-header', header, reason });
}

function parsePriority(text: string | null): work.PriorityClass | null | undefined {
  if (text === null) return null;
  return work.PRIORITY_CLASSES.find((priorityClass) => priorityClass === text);
}

/** Reads the headers; a value that is not understood is an error, never ignored. */
export function parseCallHeaders(
  headers: IncomingHeaders,
): results.Result<CallHeaders, HeaderError> {
  const deadlineText = single(headers, DEADLINE_HEADER);
  const deadlineWallMs = deadlineText === null ? null : Date.parse(deadlineText);
  if (deadlineWallMs !== null && Number.isNaN(deadlineWallMs)) {
    return invalid(DEADLINE_HEADER, 'must be an RFC 3339 time');
  }
  const priorityClass = parsePriority(single(headers, PRIORITY_HEADER));
  if (priorityClass === undefined) {
    return invalid(PRIORITY_HEADER, `must be one of ${work.PRIORITY_CLASSES.join(', ')}`);
  }
  const callerGroup = single(headers, GROUP_HEADER) ?? DEFAULT_GROUP;
  if (!GROUP_PATTERN.test(callerGroup)) {
    return invalid(GROUP_HEADER, 'must be 1 to 63 of a-z, 0-9, dot, dash or underscore');
  }
  const idempotencyKey = single(headers, IDEMPOTENCY_HEADER);
  if (
    idempotencyKey !== null &&
    (idempotencyKey === '' || idempotencyKey.length > MAX_KEY_LENGTH)
  ) {
    return invalid(IDEMPOTENCY_HEADER, `must have 1 to ${MAX_KEY_LENGTH} characters`);
  }
  return results.Ok({ deadlineWallMs, priorityClass, callerGroup, idempotencyKey });
}
