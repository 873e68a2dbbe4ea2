/** Builds the call from a request that has been read completely and admitted. */
import type * as http from 'node:http';

import type * as hashers from '@copperlever/runtime/hasher';

import * as accessTables from '../../shared/access.js';
import * as connectionHeaders from '../../shared/connection-headers.js';
import type * as deadlineBaselines from '../../shared/deadline-baselines.js';
import * as routeTables from '../../shared/route-table.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as readDelays from './read-delay.js';

export type CallBuildingDeps = {
  dialect: dialects.Dialect;
  norms: deadlineBaselines.DeadlineBaselines;
  hasher: hashers.Hasher;
};

/** A request with its route and the organisation of its caller. */
export type Admitted = {
  route: fleet.Route;
  facts: dialects.CallFacts;
  organisation: fleet.Organisation | null;
};

/** The earliest time at which a request can have arrived, and how long it may have been buffered before it was read. */
export type Arrival = Omit<readDelays.RequestAge, 'sinceAcceptMs'> & { arrivedAtMs: number };

const HASH_RANGE = 2 ** 32;

/** When the caller gives up or the route's timeout expires, whichever is first. */
export function deadlineOf({ route, facts }: Admitted, { arrivedAtMs }: Arrival): number {
  return arrivedAtMs + Math.min(facts.remainingMs ?? route.timeoutMs, route.timeoutMs);
}

export function buildCall(
  deps: CallBuildingDeps,
  request: http.IncomingMessage,
  admitted: Admitted,
  body: Buffer,
  arrival: Arrival,
): calls.Call {
  const { route, facts, organisation } = admitted;
  const { arrivedAtMs, bufferedMs } = arrival;
  const path = request.url ?? '/';
  // Each try of a caller has an id of its own; a stream has to go on at the service that began it.
  const splitKey = facts.originRequestId ?? facts.requestId;
  const fraction = deps.hasher.hash32(splitKey) / HASH_RANGE;
  const service = routeTables.chooseService(route.targets, fraction);
  const scope = `${organisation?.name}\n${route.name}\n${request.method}\n${path}\n${facts.model}/${facts.adapter}`;
  const lastEventId = request.headers['last-event-id'];
  return {
    requestId: facts.requestId,
    route,
    service,
    method: request.method ?? 'GET',
    path,
    headers: connectionHeaders.forwarded(
      connectionHeaders.toPairs(request.rawHeaders),
      deps.dialect.isReserved,
    ),
    body,
    facts,
    organisation: organisation?.name ?? null,
    priority: accessTables.priorityOf(route, organisation),
    arrivedAtMs,
    bufferedMs,
    elapsedBeforeMs: deps.norms.elapsedMs(route.name, facts.remainingMs, arrivedAtMs),
    deadlineMs: deadlineOf(admitted, arrival),
    fingerprint: deps.hasher.hash64HexOfBytes(`${scope}\n`, body),
    resumeAfterId: typeof lastEventId === 'string' ? lastEventId : null,
  };
}
