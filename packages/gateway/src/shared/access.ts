/** Finds the organisation of a request by its caller's API key. */
import type * as fleet from '../types/fleet.js';

export type Access =
  /** `organisation` is null where callers are not distinguished. */
  { kind: 'allowed'; organisation: fleet.Organisation | null } | { kind: 'unknown-key' };

export type AccessTable = {
  accessOf: (route: Pick<fleet.Route, 'isPublic'>, apiKey: string | null) => Access;
};

/** Looked up for each request: a removed key is unknown from the next configuration on. */
export function createAccessTable(
  organisations: readonly fleet.Organisation[] | null,
): AccessTable {
  const byKey = new Map(
    organisations?.flatMap((organisation) =>
      organisation.apiKeys.map((apiKey) => [apiKey, organisation] as const),
    ),
  );
  return {
    accessOf: (route, apiKey) => {
      const organisation = (apiKey === null ? undefined : byKey.get(apiKey)) ?? null;
      const needsKey = organisations !== null && !route.isPublic;
      if (needsKey && organisation === null) return { kind: 'unknown-key' };
      return { kind: 'allowed', organisation };
    },
  };
}

/** An organisation's priority overrides that of the route. */
export function priorityOf(
  route: Pick<fleet.Route, 'priority'>,
  organisation: fleet.Organisation | null,
): number {
  return organisation?.priority ?? route.priority;
}
