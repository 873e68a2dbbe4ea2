/** Headers that belong to a single connection and are never forwarded. */
import type * as dialects from '../types/dialects.js';

const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  // Set again from the forwarded body.
  'content-length',
]);

/** Node's raw headers, names and values alternating, as pairs. */
export function toPairs(rawHeaders: readonly string[]): dialects.HeaderPair[] {
  const pairs: dialects.HeaderPair[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] as string, rawHeaders[index + 1] as string]);
  }
  return pairs;
}

/** Headers listed in `Connection` belong to this connection only. */
function listedNames(pairs: readonly dialects.HeaderPair[]): Set<string> {
  const values = pairs.filter(([name]) => name.toLowerCase() === 'connection');
  return new Set(
    values.flatMap(([, value]) => value.split(',').map((name) => name.trim().toLowerCase())),
  );
}

/** The headers that are forwarded to the other side. */
export function forwarded(
  pairs: readonly dialects.HeaderPair[],
  isReserved: (name: string) => boolean = () => false,
): dialects.HeaderPair[] {
  const listed = listedNames(pairs);
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    return !CONNECTION_HEADERS.has(lower) && !listed.has(lower) && !isReserved(lower);
  });
}
