/** Combines membership and configuration of one process over one peer service. */
import type { clocks, logs, randoms } from '@copperlever/runtime';

import * as configFollower from '../config/config-follower.js';
import * as configPeers from '../config/config-peers.js';
import * as configStore from '../config/config-store.js';
import type * as configTypes from '../config/types.js';
import * as watcherSelection from '../config/watcher-selection.js';
import * as membership from '../membership/membership.js';
import type * as swim from '../membership/swim.js';
import type * as membershipTypes from '../membership/types.js';
import type * as objectStore from '../object-store/types.js';

export type ControlNodeOptions<Document> = {
  self: membershipTypes.SelfDescription;
  store: objectStore.ObjectStore;
  transport: membershipTypes.PeerTransport;
  codec: configTypes.DocumentCodec<Document>;
  clock: clocks.Clock;
  random: randoms.Random;
  /** `host:port` of processes that may be running, from the settings. */
  seedAddresses: readonly string[];
  limits?: Partial<swim.SwimLimits>;
  log?: logs.Logger;
};

export type ControlNode<Document> = {
  membership: membership.MembershipDriver;
  config: configTypes.ConfigStore<Document>;
  follower: configTypes.ConfigFollower<Document>;
  /** Handlers to add to the process's gRPC server; see grpc-transport. */
  handlers: membershipTypes.PeerHandlers;
  start: () => Promise<void>;
  stop: () => Promise<void>;
};

/**
 * How often the platform's list of VMs is read at most. A process that knows no other members reads it more often than
 * one that does; 1,140 of the latter make two reads a second.
 */
const ISOLATED_VM_LIST_PERIOD_MS = 30_000;
const VM_LIST_PERIOD_MS = 600_000;
const VM_LIST_TIMEOUT_MS = 1_000;

export function createControlNode<Document>(
  options: ControlNodeOptions<Document>,
): ControlNode<Document> {
  const { self, store, transport, clock, random } = options;
  let listedAddresses: readonly string[] = [];
  let nextListAtMs = clock.nowMs();

  /** Addresses from the settings, and from the platform's list of VMs, which may be out of date. */
  async function seeds(): Promise<readonly string[]> {
    if (clock.nowMs() >= nextListAtMs) {
      const isAlone = members.members().length === 1;
      const periodMs = isAlone ? ISOLATED_VM_LIST_PERIOD_MS : VM_LIST_PERIOD_MS;
      nextListAtMs = clock.nowMs() + periodMs * (0.5 + random.fraction());
      const listed = await store.listVms(clock.nowMs() + VM_LIST_TIMEOUT_MS);
      if (listed.ok) listedAddresses = listed.val.map((vm) => vm.address);
    }
    return [...options.seedAddresses, ...listedAddresses].filter(
      (address) => address !== self.address,
    );
  }

  const config = configStore.createConfigStore({ store, codec: options.codec, clock, random });
  const members = membership.createMembership({
    self,
    transport,
    clock,
    random,
    seeds,
    configVersion: () => follower.version(),
    onConfigVersion: (version, memberId) => follower.onPeerVersion(version, memberId),
    limits: options.limits,
    log: options.log,
  });
  const follower = configFollower.createConfigFollower<Document>({
    config,
    store,
    peers: configPeers.createConfigPeers({ membership: members, transport, random }),
    isWatcher: () => watcherSelection.isWatcher(members.members(), self),
    clock,
    random,
  });
  follower.onChange(() => members.pushUpdates());

  /**
   * Submits a patch and adopts the new version at once, which announces it to peers: after an outage of the store the
   * watchers may still be waiting to retry.
   */
  async function submit(
    submission: configTypes.Submission<Document>,
    deadlineMs: number,
  ): ReturnType<typeof config.submit> {
    const done = await config.submit(submission, deadlineMs);
    if (done.ok) follower.offer(done.val);
    return done;
  }

  return {
    membership: members,
    config: { ...config, submit },
    follower,
    handlers: {
      ...members.handlers,
      fetchConfig: (request) => configPeers.answerFetch(follower, request),
    },
    start: async () => {
      await members.start();
      follower.start();
    },
    stop: async () => {
      await follower.stop();
      await members.stop();
    },
  };
}
