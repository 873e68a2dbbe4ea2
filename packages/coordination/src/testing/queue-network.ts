/** A simulated network with latency and message loss between peers in one process. */
import { clocks, results } from '@copperlever/runtime';

import type * as types from '../membership/types.js';

export type QueueNetwork = {
  /** The transport of the process at `address`. */
  transportOf: (address: string) => types.PeerTransport;
  attach: (address: string, handlers: types.PeerHandlers) => void;
  /** Refuses all further calls to the process at the address, as if it had been killed. */
  detach: (address: string) => void;
  /** Sets the function that decides whether a message is lost; simulates partitions and silent connections. */
  setLoss: (isLost: (from: string, to: string) => boolean) => void;
  callCount: () => number;
};

export type QueueNetworkOptions = { clock: clocks.Clock; latencyMs: () => number };

export function createQueueNetwork(options: QueueNetworkOptions): QueueNetwork {
  const { clock, latencyMs } = options;
  const nodes = new Map<string, types.PeerHandlers>();
  let isLost = (_from: string, _to: string) => false;
  let callCount = 0;

  async function call<Reply>(
    from: string,
    to: string,
    deadlineMs: number,
    handle: (handlers: types.PeerHandlers) => Reply | Promise<Reply>,
  ): Promise<results.Result<Reply, types.PeerError>> {
    callCount += 1;
    const deadlineError: types.PeerError = { kind: 'deadline', address: to };
    await clocks.sleepUntil(clock, clock.nowMs() + latencyMs());
    if (isLost(from, to)) {
      await clocks.sleepUntil(clock, deadlineMs);
      return results.Err(deadlineError);
    }
    const handlers = nodes.get(to);
    if (handlers === undefined) {
      return results.Err({ kind: 'unreachable', address: to, reason: 'refused' });
    }
    const reply = await clocks.raceDeadline(clock, deadlineMs, Promise.resolve(handle(handlers)));
    if (reply === 'deadline') return results.Err(deadlineError);
    await clocks.sleepUntil(clock, clock.nowMs() + latencyMs());
    return isLost(to, from) ? results.Err(deadlineError) : results.Ok(reply);
  }

  return {
    transportOf: (from) => ({
      probe: (to, message, deadlineMs) =>
        call(from, to, deadlineMs, (handlers) => handlers.probe(message)),
      probeIndirectly: (to, request, deadlineMs) =>
        call(from, to, deadlineMs, (handlers) => handlers.probeIndirectly(request)),
      listMembers: (to, request, deadlineMs) =>
        call(from, to, deadlineMs, (handlers) => handlers.listMembers(request)),
      fetchConfig: (to, request, deadlineMs) =>
        call(from, to, deadlineMs, (handlers) => handlers.fetchConfig(request)),
    }),
    attach: (address, handlers) => {
      nodes.set(address, handlers);
    },
    detach: (address) => {
      nodes.delete(address);
    },
    setLoss: (next) => {
      isLost = next;
    },
    callCount: () => callCount,
  };
}
