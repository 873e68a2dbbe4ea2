/** The gateways' messages about the origins of streams. */
import type { gatewayPeer } from '@copperlever/protocol';

import type * as streamOrigins from '../../shared/stream-origins.js';

/** What another gateway answers about a stream. */
export type FoundOrigin =
  | { kind: 'record'; origin: streamOrigins.StreamOrigin }
  /** No record, but its service had only this version for longer than streams live. */
  | { kind: 'only-version'; version: string }
  | { kind: 'unknown' };

export function toOriginMessage(
  requestId: string,
  { service, version, begunAtMs }: streamOrigins.StreamOrigin,
  nowMs: number,
): gatewayPeer.StreamOriginMessage {
  return { requestId, service, version, ageMs: Math.max(0, Math.round(nowMs - begunAtMs)) };
}

export function fromOriginMessage(
  { service, version, ageMs }: gatewayPeer.StreamOriginMessage,
  nowMs: number,
): streamOrigins.StreamOrigin {
  return { service, version, begunAtMs: nowMs - ageMs };
}

export function toFoundMessage(
  requestId: string,
  found: FoundOrigin,
  nowMs: number,
): gatewayPeer.FoundOrigin {
  switch (found.kind) {
    case 'record':
      return { record: toOriginMessage(requestId, found.origin, nowMs), onlyVersion: undefined };
    case 'only-version':
      return { record: undefined, onlyVersion: found.version };
    case 'unknown':
      return { record: undefined, onlyVersion: undefined };
  }
}

export function fromFoundMessage(
  message: gatewayPeer.FoundOrigin | undefined,
  nowMs: number,
): FoundOrigin {
  if (message?.record !== undefined) {
    return { kind: 'record', origin: fromOriginMessage(message.record, nowMs) };
  }
  if (message?.onlyVersion !== undefined)
    return { kind: 'only-version', version: message.onlyVersion };
  return { kind: 'unknown' };
}
