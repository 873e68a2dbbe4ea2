/**
 * Bounds for how long connections wait to be accepted, by connections of this process to itself. They are accepted in the order in
 * which they were opened, so one that is accepted after a probe was opened after it. Without probes a queue that is never seen empty
 * could be as old as the last time at which it was: requests on new connections would be refused as too late, and answers cut early.
 */
import * as net from 'node:net';

import type { clocks } from '@copperlever/runtime';

export type AcceptProbe = {
  /** A connection from that port was accepted. */
  accepted: (remotePort: number | undefined) => void;
  /** A connection that is accepted now was opened after this; -Infinity if that is not known. */
  openedAfterMs: () => number;
  /** Opens a probe, unless one was opened just before. */
  send: () => void;
};

/** Opens a connection to this process, and tells its local port; the returned function closes it. */
export type OpenProbe = (onOpened: (localPort: number) => void, onFailed: () => void) => () => void;

/** Each probe takes the place of a caller's connection in a turn of the loop. */
const PROBE_INTERVAL_MS = 100;
/** A probe that was not accepted by then is given up: its opening was lost, as where the queue is full. */
const PROBE_TIMEOUT_MS = 3_000;

type Probe = { sentMs: number; localPort: number | null; close: () => void };

export function createAcceptProbe(
  clock: Pick<clocks.Clock, 'nowMs'>,
  open: OpenProbe,
): AcceptProbe {
  /** Those under way, in the order in which they were opened. */
  let probes: readonly Probe[] = [];
  let lastSentMs = -Infinity;
  let openedAfterMs = -Infinity;
  /** Ports of the connections that were accepted meanwhile: that of a probe may become known later. */
  const acceptedPorts = new Set<number>();

  function end(probe: Probe): void {
    probes = probes.filter((other) => other !== probe);
    if (probes.length === 0) acceptedPorts.clear();
    probe.close();
  }

  function concludeIfAccepted(probe: Probe): void {
    if (probe.localPort === null || !acceptedPorts.has(probe.localPort)) return;
    openedAfterMs = Math.max(openedAfterMs, probe.sentMs);
    end(probe);
  }

  return {
    accepted: (remotePort) => {
      if (probes.length === 0 || remotePort === undefined) return;
      acceptedPorts.add(remotePort);
      probes.forEach(concludeIfAccepted);
    },
    openedAfterMs: () => openedAfterMs,
    send: () => {
      const sentMs = clock.nowMs();
      probes.filter((probe) => sentMs - probe.sentMs > PROBE_TIMEOUT_MS).forEach(end);
      if (sentMs - lastSentMs < PROBE_INTERVAL_MS) return;
      lastSentMs = sentMs;
      const probe: Probe = { sentMs, localPort: null, close: () => {} };
      probes = [...probes, probe];
      probe.close = open(
        (localPort) => {
          probe.localPort = localPort;
          if (probes.includes(probe)) concludeIfAccepted(probe);
        },
        () => end(probe),
      );
    },
  };
}

const UNSPECIFIED_ADDRESSES = ['0.0.0.0', '::'];

/** Opens probes to the address at which the server listens. */
export function openTo(server: net.Server): OpenProbe {
  return (onOpened, onFailed) => {
    const listening = server.address();
    if (listening === null || typeof listening === 'string') {
      onFailed();
      return () => {};
    }
    const host = UNSPECIFIED_ADDRESSES.includes(listening.address)
      ? '127.0.0.1'
      : listening.address;
    const socket = net.connect({ host, port: listening.port });
    socket.once('connect', () => onOpened(socket.localPort ?? 0));
    socket.once('error', onFailed);
    socket.unref();
    return () => socket.destroy();
  };
}
