/** Drives the SWIM state machine: probes, joins, pushes of updates, and the comparison of views. */
import type { peer } from '@copperlever/protocol';
import { clocks, logs, randoms } from '@copperlever/runtime';

import * as callBudget from '../object-store/call-budget.js';

import * as messages from './messages.js';
import * as notices from './notices.js';
import * as swim from './swim.js';
import type * as types from './types.js';
import * as viewSync from './view-sync.js';

export type MembershipOptions = {
  self: types.SelfDescription;
  transport: Pick<types.PeerTransport, 'probe' | 'probeIndirectly' | 'listMembers'>;
  clock: clocks.Clock;
  random: randoms.Random;
  /** Addresses where members may be found, from the settings and the platform's list of VMs. */
  seeds: () => Promise<readonly string[]>;
  /** The configuration version that this process holds. */
  configVersion: () => number;
  /** Called when a peer reports the configuration version that it holds. */
  onConfigVersion: (version: number, memberId: string) => void;
  limits?: Partial<swim.SwimLimits>;
  log?: logs.Logger;
};

export type MembershipDriver = types.Membership & {
  notices: types.Notices;
  /** Sends updates to a few peers at once, after a local change such as a new configuration version. */
  pushUpdates: () => void;
  handlers: Pick<types.PeerHandlers, 'probe' | 'probeIndirectly' | 'listMembers'>;
  /** Resolves when another member has answered, or when none of the seeds did. */
  start: () => Promise<void>;
  stop: () => Promise<void>;
};

/** Allows two round trips between regions and the opening of a connection. */
const PROBE_TIMEOUT_MS = 900;
const INDIRECT_TIMEOUT_MS = 1_000;
/** With three helpers, one broken path or one slow helper does not make a member suspected. */
const INDIRECT_HELPERS = 3;

/**
 * Updates are pushed at once to this many random members, which do the same. With four each, all but one member in
 * fifty receive an update within about six hops, and the rest with the next probes. The periodic probes alone would
 * take about ten periods at 1,140 members, longer than 7 s.
 */
const PUSH_FANOUT = 4;
/** Updates within this time are pushed together. */
const PUSH_DELAY_MS = 100;
/** Above this rate updates travel with the periodic probes only, so that the bytes sent stay bounded. */
const PUSHES_PER_SECOND = 1;
const PUSH_BURST = 24;

/**
 * Members of a failure domain share racks and power, so they often fail together. A process that finds a member not
 * answering probes two more of its failure domain at once, so that the loss of a domain is detected within about a
 * second instead of after many rounds of probes.
 */
const NEIGHBOUR_PROBES_MAX = 2;
/** Neighbours are probed again after this delay: by then the first suspicions have spread, and the rest is found. */
const NEIGHBOUR_REPROBE_DELAY_MS = 1_500;

/** The maximum number of members probed at once that a peer reports as alive and this process as dead. */
const CONTESTED_PROBES_MAX = 8;

/** How often an address is tried where a member may be back, for example after a partition. */
const REJOIN_PERIOD_MS = 15_000;
/** A process that has just started tries more often, since its seeds may be starting as well. */
const FIRST_REJOIN_PERIOD_MS = 1_000;
const JOIN_TIMEOUT_MS = 2_000;
/**
 * Other processes push no updates to a process that has just started until they know it. It therefore fetches the view
 * again after these delays, when they have learned of it.
 */
const VIEW_FETCH_DELAYS_MS = [1_000, 4_000] as const;
const JOIN_ATTEMPTS = 4;

export function createMembership(options: MembershipOptions): MembershipDriver {
  const { transport, clock, random } = options;
  const log = options.log ?? logs.createSilentLogger();
  const limits = { ...swim.DEFAULT_LIMITS, ...options.limits };
  const state = swim.createSwim(options.self, limits, random, clock.nowMs());
  const noticeTable = notices.createNoticeTable(clock);
  const listeners: (() => void)[] = [];
  const stopping = new AbortController();
  const pushBudget = callBudget.createCallBudget({
    clock,
    perSecond: PUSHES_PER_SECOND,
    burst: PUSH_BURST,
  });
  const sync = viewSync.createViewSync({
    state,
    noticeTable,
    transport,
    clock,
    random,
    applyReply,
  });
  let isPushScheduled = false;
  let loops: Promise<unknown> = Promise.resolve();

  function onChange(): void {
    for (const listener of listeners) listener();
  }

  /** Pushes a local change of the members to peers, and notifies the listeners of this process. */
  function announceChange(): void {
    sync.noteChange();
    pushUpdates();
    onChange();
  }

  function createMessage(receiver?: types.Member): peer.ProbeMessage {
    const nowMs = clock.nowMs();
    return {
      fromId: state.self().memberId,
      updates: state.takeUpdates(nowMs).map(messages.toUpdate),
      configVersion: options.configVersion(),
      notices: noticeTable
        .takePending(limits.transmitLimit)
        .map((item) => messages.toNotice(item, nowMs)),
      viewHash: state.viewHash(),
      knownIncarnation: receiver?.incarnation ?? 0,
      knownRevision: receiver?.revision ?? 0,
    };
  }

  /**
   * Adds this process's record to the reply if the sender holds an older one. All messages with changed attributes may
   * have been lost, and comparing views does not reveal that, since attributes are not part of the hash. Each process
   * probes every other one in turn and sends the revision that it holds, so the sender is corrected within a round.
   */
  function answerOlderRecord(message: peer.ProbeMessage, reply: peer.ProbeMessage): void {
    const self = state.self();
    const isSameIncarnation = message.knownIncarnation === self.incarnation;
    if (!isSameIncarnation || message.knownRevision >= self.revision) return;
    const isIncluded = reply.updates.some((update) => update.memberId === self.memberId);
    if (!isIncluded) reply.updates.push(messages.toUpdate(self));
  }

  function applyAll(updates: readonly peer.MemberUpdate[], from: 'gossip' | 'view'): void {
    let hasNewStanding = false;
    let hasChanged = false;
    for (const update of updates) {
      const change = state.apply(messages.fromUpdate(update), clock.nowMs(), from);
      hasNewStanding ||= change === 'standing';
      hasChanged ||= change !== 'none';
    }
    if (hasNewStanding && from === 'gossip') pushUpdates();
    if (hasChanged) {
      sync.noteChange();
      onChange();
    }
  }

  function applyNotices(items: readonly peer.Notice[]): void {
    const areNew = items.map((item) =>
      noticeTable.applyNotice(messages.fromNotice(item, clock.nowMs())),
    );
    if (areNew.includes(true)) pushUpdates();
  }

  function applyReply(reply: peer.ListMembersReply): void {
    applyAll(reply.members, 'view');
    probeContested(reply.members);
    applyNotices(reply.notices);
    if (reply.configVersion > 0) options.onConfigVersion(reply.configVersion, reply.fromId);
  }

  function applyMessage(message: peer.ProbeMessage, fromAddress?: string): void {
    applyAll(message.updates, 'gossip');
    applyNotices(message.notices);
    if (message.configVersion > 0) options.onConfigVersion(message.configVersion, message.fromId);
    sync.compare(message, fromAddress);
  }

  /** Sends a probe; true if the expected member answered (any member, if `memberId` is null). */
  async function exchange(address: string, memberId: string | null): Promise<boolean> {
    const deadlineMs = clock.nowMs() + PROBE_TIMEOUT_MS;
    const receiver = memberId === null ? undefined : state.find(memberId);
    const reply = await transport.probe(address, createMessage(receiver), deadlineMs);
    if (reply.err) return false;
    applyMessage(reply.val, address);
    return memberId === null || reply.val.fromId === memberId;
  }

  async function probeThroughHelpers(target: types.Member): Promise<boolean> {
    const helpers = state.sampleOthers(INDIRECT_HELPERS, target.memberId);
    const deadlineMs = clock.nowMs() + INDIRECT_TIMEOUT_MS;
    const requests = helpers.map((helper) => {
      const request = {
        targetId: target.memberId,
        targetAddress: target.address,
        probe: createMessage(),
      };
      return transport.probeIndirectly(helper.address, request, deadlineMs);
    });
    const answers = await Promise.all(requests);
    return answers.some((answer) => answer.ok && answer.val.answered);
  }

  async function probe(target: types.Member): Promise<void> {
    const startedMs = clock.nowMs();
    if (await exchange(target.address, target.memberId)) return;
    if (await probeThroughHelpers(target)) return;
    // This process itself was paused, so a missing answer is no evidence against the target.
    const tookMs = clock.nowMs() - startedMs;
    if (tookMs > PROBE_TIMEOUT_MS + INDIRECT_TIMEOUT_MS + limits.probePeriodMs) return;
    if (!state.suspect(target.memberId, clock.nowMs())) return;
    probeNeighbours(target);
    clock.schedule(clock.nowMs() + NEIGHBOUR_REPROBE_DELAY_MS, () => {
      if (!stopping.signal.aborted) probeNeighbours(target);
    });
    log.warn('member-suspected', { member: target.memberId, address: target.address });
    announceChange();
  }

  function probeNeighbours(target: types.Member): void {
    const neighbours = state
      .members()
      .filter((member) => member.failureDomain === target.failureDomain)
      .filter((member) => member.status === 'alive' && member.memberId !== state.self().memberId);
    for (const neighbour of randoms.sample(random, neighbours, NEIGHBOUR_PROBES_MAX)) {
      if (pushBudget.tryAcquire()) void probe(neighbour);
    }
  }

  /**
   * After a partition between regions, each side still considers the other dead, and half of the upstreams would get no
   * work. A member that is probed receives the report of its death and refutes it in its answer. Each process probes a
   * few such members, and together they probe all.
   */
  function probeContested(members: readonly peer.MemberUpdate[]): void {
    const dead = new Set(state.dead().map((member) => member.memberId));
    const contested = members
      .map(messages.fromUpdate)
      .filter((member) => member.status === 'alive' && dead.has(member.memberId));
    for (const member of randoms.sample(random, contested, CONTESTED_PROBES_MAX)) {
      if (!pushBudget.tryAcquire()) return;
      state.reannounce(member.memberId, clock.nowMs());
      void exchange(member.address, null);
    }
  }

  function expire(): void {
    if (!state.expire(clock.nowMs())) return;
    log.warn('member-dead', { memberCount: state.members().length });
    announceChange();
  }

  async function probeLoop(): Promise<void> {
    let tickAtMs = clock.nowMs() + limits.probePeriodMs * random.fraction();
    while ((await clocks.sleepUntil(clock, tickAtMs, stopping.signal)) === 'elapsed') {
      const lateMs = clock.nowMs() - tickAtMs;
      if (lateMs > limits.probePeriodMs) state.extendSuspicions(lateMs);
      expire();
      const target = state.nextTarget();
      if (target !== undefined) void probe(target);
      tickAtMs = clock.nowMs() + limits.probePeriodMs * (0.9 + 0.2 * random.fraction());
    }
  }

  function pushUpdates(): void {
    if (isPushScheduled || stopping.signal.aborted) return;
    isPushScheduled = true;
    const atMs = clock.nowMs() + PUSH_DELAY_MS * (0.5 + random.fraction());
    clock.schedule(atMs, () => {
      isPushScheduled = false;
      if (stopping.signal.aborted) return;
      for (const member of state.sampleOthers(PUSH_FANOUT)) {
        if (pushBudget.tryAcquire()) void exchange(member.address, null);
      }
    });
  }

  /** Addresses without a known member: seeds, and the addresses of dead members. */
  async function rejoinAddresses(): Promise<string[]> {
    const known = new Set(state.members().map((member) => member.address));
    const candidates = [
      ...state.dead().map((member) => member.address),
      ...(await options.seeds()),
    ];
    return [...new Set(candidates)].filter((address) => !known.has(address));
  }

  async function rejoinLoop(): Promise<void> {
    let periodMs = FIRST_REJOIN_PERIOD_MS;
    const nextMs = () => clock.nowMs() + periodMs * (0.5 + random.fraction());
    while ((await clocks.sleepUntil(clock, nextMs(), stopping.signal)) === 'elapsed') {
      periodMs = Math.min(REJOIN_PERIOD_MS, periodMs * 2);
      const address = randoms.pick(random, await rejoinAddresses());
      if (address === undefined) continue;
      const deadMember = state.dead().find((member) => member.address === address);
      if (deadMember !== undefined) state.reannounce(deadMember.memberId, clock.nowMs());
      state.reannounce(state.self().memberId, clock.nowMs());
      const answered = await exchange(address, null);
      if (answered) await sync.fetchFrom(address);
    }
  }

  function scheduleViewFetches(): void {
    for (const afterMs of VIEW_FETCH_DELAYS_MS) {
      clock.schedule(clock.nowMs() + afterMs * (0.75 + 0.5 * random.fraction()), () => {
        if (!stopping.signal.aborted) void sync.fetchFromRandomMember();
      });
    }
  }

  async function join(): Promise<void> {
    const addresses = await rejoinAddresses();
    for (const address of randoms.sample(random, addresses, JOIN_ATTEMPTS)) {
      const deadlineMs = clock.nowMs() + JOIN_TIMEOUT_MS;
      const reply = await transport.listMembers(address, { bucketHashes: [] }, deadlineMs);
      if (reply.err || reply.val.fromId === state.self().memberId) continue;
      applyReply(reply.val);
      log.info('joined', { address, memberCount: state.members().length });
      break;
    }
    pushUpdates();
    scheduleViewFetches();
  }

  return {
    members: state.members,
    find: state.find,
    self: state.self,
    setAttributes: (attributes) => {
      state.setAttributes(attributes, clock.nowMs());
      sync.noteChange();
      onChange();
    },
    leave: () => {
      state.leave(clock.nowMs());
      announceChange();
    },
    reportUnreachable: (memberId) => {
      const member = state.find(memberId);
      const canBeSuspected = member?.status === 'alive' || member?.status === 'leaving';
      // Each report costs one probe; probes share the rate limit of pushes.
      if (canBeSuspected && pushBudget.tryAcquire()) void probe(member);
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    notices: {
      ...noticeTable,
      publish: (notice) => {
        if (noticeTable.applyNotice(notice)) pushUpdates();
      },
    },
    pushUpdates,
    handlers: {
      probe: (message) => {
        // The reply is built first, so that it does not return the updates of this message.
        const reply = createMessage();
        const { revision } = state.self();
        applyMessage(message);
        // A sender that is suspected or dead here must learn of it, so that it can refute it.
        const suspectedOrDead = state.findSuspectedOrDead(message.fromId);
        const isIncluded = reply.updates.some((update) => update.memberId === message.fromId);
        if (suspectedOrDead !== undefined && !isIncluded)
          reply.updates.push(messages.toUpdate(suspectedOrDead));
        const self = state.self();
        if (self.revision !== revision) reply.updates.push(messages.toUpdate(self));
        answerOlderRecord(message, reply);
        return reply;
      },
      probeIndirectly: async (request) => {
        const answered = await exchange(request.targetAddress, request.targetId);
        return { answered };
      },
      listMembers: (request) => sync.answer(request, options.configVersion()),
    },
    start: async () => {
      await join();
      loops = Promise.all([probeLoop(), rejoinLoop()]);
    },
    stop: async () => {
      stopping.abort();
      await clocks.raceDeadline(clock, clock.nowMs() + JOIN_TIMEOUT_MS, loops);
    },
  };
}
