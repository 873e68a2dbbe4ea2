/** The way to the agents over gRPC: one lazy channel for each address, closed when idle. */
import { agent } from '@copperlever/protocol';
import { type clocks, results } from '@copperlever/runtime';
import * as grpc from '@grpc/grpc-js';

import * as channelFreshness from '../../shared/channel-freshness.js';
import type * as links from '../../types/links.js';
import * as frameReader from './frame-reader.js';

export type GrpcLink = links.AgentLink & { close: () => void };

/** An idle channel to each of hundreds of agents would cost more than the control budget allows. */
const IDLE_CHANNEL_MS = 60_000;
/** Acknowledgements wait this long for company. */
const ACKNOWLEDGE_DELAY_MS = 1_000;
const ACKNOWLEDGE_TIMEOUT_MS = 2_000;
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
/** The old channel of a silent connection is closed after its last streams had time to end. */
const OLD_CHANNEL_GRACE_MS = 30_000;

const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.client_idle_timeout_ms': IDLE_CHANNEL_MS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  // Channels of one address must not share a connection, or a fresh one would be silent as well.
  'grpc.use_local_subchannel_pool': 1,
  // A call to a dead address should fail, not wait: the request goes to another agent.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
};

type Channel = channelFreshness.ChannelTimes & { client: agent.AgentServiceClient };

export function createGrpcLink(clock: clocks.Clock): GrpcLink {
  const channels = new Map<string, Channel>();
  const pendingAcks = new Map<string, string[]>();

  function open(address: string): Channel {
    const client = new agent.AgentServiceClient(
      address,
      grpc.credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
    const nowMs = clock.nowMs();
    const channel = { client, openedAtMs: nowMs, heardAtMs: nowMs };
    channels.set(address, channel);
    return channel;
  }

  function channelFor(address: string, connection: links.ConnectionChoice): Channel {
    const known = channels.get(address);
    if (known === undefined) return open(address);
    const nowMs = clock.nowMs();
    if (connection === 'shared' || !channelFreshness.needsReopening(known, nowMs)) return known;
    clock.schedule(nowMs + OLD_CHANNEL_GRACE_MS, () => known.client.close());
    return open(address);
  }

  function hear(channel: Channel): void {
    channel.heardAtMs = clock.nowMs();
  }

  function sendAcks(address: string): void {
    const dispatchIds = pendingAcks.get(address) ?? [];
    pendingAcks.delete(address);
    const deadline = new Date(clock.wallMs() + ACKNOWLEDGE_TIMEOUT_MS);
    // A lost acknowledgement only keeps an answer in the agent's memory a little longer.
    channelFor(address, 'shared').client.acknowledge(
      { dispatchIds },
      new grpc.Metadata(),
      { deadline },
      () => {},
    );
  }

  return {
    dispatch: (target, request, signal) => {
      const channel = channelFor(target.address, 'shared');
      return frameReader.readFrames(channel.client.dispatch(request), signal, () => hear(channel));
    },
    resume: (target, request, signal, connection) => {
      const channel = channelFor(target.address, connection);
      return frameReader.readFrames(channel.client.resume(request), signal, () => hear(channel));
    },
    revoke: (target, request, deadlineMs, connection) => {
      const deadline = new Date(clock.wallMs() + deadlineMs - clock.nowMs());
      return new Promise((resolve) => {
        channelFor(target.address, connection).client.revoke(
          request,
          new grpc.Metadata(),
          { deadline },
          (error, reply) => {
            if (error === null) resolve(results.Ok(reply));
            else resolve(results.Err({ kind: 'link-lost', detail: error.message }));
          },
        );
      });
    },
    acknowledge: (target, dispatchIds) => {
      const pending = pendingAcks.get(target.address);
      if (pending !== undefined) {
        pending.push(...dispatchIds);
        return;
      }
      pendingAcks.set(target.address, [...dispatchIds]);
      clock.schedule(clock.nowMs() + ACKNOWLEDGE_DELAY_MS, () => sendAcks(target.address));
    },
    close: () => {
      channels.forEach((channel) => channel.client.close());
      channels.clear();
    },
  };
}
