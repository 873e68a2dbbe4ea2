/**
 * The URL of a call to a plain service, as it came. Failure: a path is written in another way than in
 * the settings (`/%73ubmissions`, `/./submissions`, `//submissions`). Symptom: the entry does not
 * see a route that must run at most once, the service does, and a submission runs twice. So a path
 * that could be read in two ways is refused, and routes are compared with the decoded one.
 */
import { results } from '@copperlever/runtime';

export type ServicePath = {
  name: string;
  /** What the service gets: the path and query as the caller wrote them. */
  path: string;
  /** The decoded path without its query, to be compared with routes. */
  plainPath: string;
};

export type ServicePathError = { kind: 'malformed-path'; reason: string };

const PREFIX = '/services/';
/** Slashes of both kinds and control characters, once decoded, change what a segment means. */
// eslint-disable-next-line no-control-regex -- control characters are what is looked for
const UNSAFE_IN_SEGMENT = /[/\\\u0000-\u001f\u007f]/;

function malformed(reason: string): results.Result<never, ServicePathError> {
  return results.Err({ kind: 'malformed-path', reason });
}

function decode(segment: string): string | null {
  try {
    return decodeURIComponent(segment);
  } catch {
    return null;
  }
}

function findFault(segments: readonly (string | null)[]): string | null {
  if (segments.includes(null)) return 'a segment is not valid percent-encoding';
  if (segments.some((segment) => segment === '.' || segment === '..')) {
    return 'dot segments are not allowed';
  }
  if (segments.slice(0, -1).includes('')) return 'empty segments are not allowed';
  const isUnsafe = segments.some((segment) => UNSAFE_IN_SEGMENT.test(segment ?? ''));
  return isUnsafe ? 'an encoded slash or control character is not allowed' : null;
}

/** Reads the part of `url` that begins with `/services/`. */
export function parseServiceUrl(url: string): results.Result<ServicePath, ServicePathError> {
  const [rawPath = '', ...queries] = url.split('?');
  if (!rawPath.startsWith(PREFIX)) return malformed('not below /services/');
  const [name = '', ...rest] = rawPath.slice(PREFIX.length).split('/');
  const segments = rest.map(decode);
  const fault = findFault(segments);
  if (fault !== null) return malformed(fault);
  const query = queries.length === 0 ? '' : `?${queries.join('?')}`;
  return results.Ok({
    name,
    path: `/${rest.join('/')}${query}`,
    plainPath: `/${segments.join('/')}`,
  });
}
