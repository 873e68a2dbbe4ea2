/** Drives the SWIM state machine: probes, joins, pushes of news, and the comparison of views. */
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
  /** Addresses where members may be found: from the settings, and the platform's list of VMs. */
  seeds: () => Promise<readonly string[]>;
  /** The configuration version that this process holds. */
  configVersion: () => number;
  /** A peer holds this version. */
  onConfigVersion: (version: number, memberId: string) => void;
  limits?: Partial<swim.SwimLimits>;
  log?: logs.Logger;
};

export type DrivenMembership = types.Membership & {
  notices: types.Notices;
  /** Something changed here that peers should hear of at once, such as the configuration version. */
  pushNews: () => void;
  handlers: Pick<types.PeerHandlers, 'probe' | 'probeIndirectly' | 'listMembers'>;
  /** Resolves when another member answered, or when none of the seeds did. */
  start: () => Promise<void>;
  stop: () => Promise<void>;
};

/** Two round trips between regions and the start of a connection. */
const PROBE_TIMEOUT_MS = 900;
const INDIRECT_TIMEOUT_MS = 1_000;
/** With three helpers, one lost path or one slow helper does not make a suspect. */
const INDIRECT_HELPERS = 3;

/**
 * News is pushed at once to a few random members, who do the same: with four each, all but one in
 * fifty hear of it within about six hops, and the next probes tell the rest. Waiting for the
 * periodic probes alone takes about ten periods at 1,140 members, longer than 7 s.
 */
const PUSH_FANOUT = 4;
/** News within this time goes out together. */
const PUSH_DELAY_MS = 100;
/** A storm of news falls back to the periodic probes, so that its bytes stay bounded. */
const PUSHES_PER_SECOND = 1;
const PUSH_BURST = 24;

/**
 * Members share racks and power: where one is down, others may be. Whoever finds one that does not
 * answer looks at two more of its failure domain at once, so that a lost domain is found within
 * about a second instead of after many rounds of probes.
 */
const NEIGHBOURS_PROBED = 2;
/** Then once more, when all have heard which ones were found: what is left is found then. */
const NEIGHBOURS_AGAIN_MS = 1_500;

/** Members that a peer calls alive and this process dead are asked themselves, this many at once. */
const CONTESTED_PROBED = 8;

/** How often an address is tried where a member may have come back, for example after a cut. */
const REJOIN_PERIOD_MS = 15_000;
/** A process that has just started tries more often: its seeds may be starting as well. */
const FIRST_REJOIN_MS = 1_000;
const JOIN_TIMEOUT_MS = 2_000;
/**
 * Until others know a process that has just started, their news does not come to it. So it asks
 * again for what it missed, when they have heard of it.
 */
const ASK_AGAIN_AFTER_MS = [1_000, 4_000] as const;
const JOIN_ATTEMPTS = 4;

export function createMembership(options: MembershipOptions): DrivenMembership {
  const { transport, clock, random } = options;
  const log = options.log ?? logs.createSilentLogger();
  const limits = { ...swim.DEFAULT_LIMITS, ...options.limits };
  const state = swim.createSwim(options.self, limits, random, clock.nowMs());
  const board = notices.createNoticeBoard(clock);
  const listeners: (() => void)[] = [];
  const stopping = new AbortController();
  const pushBudget = callBudget.createCallBudget({
    clock,
    perSecond: PUSHES_PER_SECOND,
    burst: PUSH_BURST,
  });
  const sync = viewSync.createViewSync({ state, board, transport, clock, random, learn });
  let isPushPlanned = false;
  let loops: Promise<unknown> = Promise.resolve();

  function onChange(): void {
    for (const listener of listeners) listener();
  }

  /** Who is there has changed here: peers should hear of it soon, and so should this process. */
  function announceChange(): void {
    sync.noteChange();
    pushNews();
    onChange();
  }

  function createMessage(receiver?: types.Member): peer.ProbeMessage {
    const nowMs = clock.nowMs();
    return {
      fromId: state.self().memberId,
      updates: state.takeUpdates(nowMs).map(messages.toUpdate),
      configVersion: options.configVersion(),
      notices: board
        .takePending(limits.transmitLimit)
        .map((item) => messages.toNotice(item, nowMs)),
      viewHash: state.viewHash(),
      knownIncarnation: receiver?.incarnation ?? 0,
      knownRevision: receiver?.revision ?? 0,
    };
  }

  /**
   * Failure: every message that carried this process's changed attributes was lost. Symptom: the
   * sender goes on with old ones, since attributes are not part of the view's hash. Enough, because
   * each process probes each other one in turn, and says which record it holds.
   */
  function answerOlderRecord(message: peer.ProbeMessage, reply: peer.ProbeMessage): void {
    const self = state.self();
    const isHeld = message.knownIncarnation === self.incarnation;
    if (!isHeld || message.knownRevision >= self.revision) return;
    const isSaid = reply.updates.some((update) => update.memberId === self.memberId);
    if (!isSaid) reply.updates.push(messages.toUpdate(self));
  }

  function applyAll(updates: readonly peer.MemberUpdate[], from: 'gossip' | 'view'): void {
    let hasNews = false;
    let hasChanged = false;
    for (const update of updates) {
      const change = state.apply(messages.fromUpdate(update), clock.nowMs(), from);
      hasNews ||= change === 'standing';
      hasChanged ||= change !== 'none';
    }
    if (hasNews && from === 'gossip') pushNews();
    if (hasChanged) {
      sync.noteChange();
      onChange();
    }
  }

  function learnNotices(items: readonly peer.Notice[]): void {
    const learned = items.map((item) => board.learn(messages.fromNotice(item, clock.nowMs())));
    if (learned.includes(true)) pushNews();
  }

  function learn(reply: peer.ListMembersReply): void {
    applyAll(reply.members, 'view');
    probeContested(reply.members);
    learnNotices(reply.notices);
    if (reply.configVersion > 0) options.onConfigVersion(reply.configVersion, reply.fromId);
  }

  function takeIn(message: peer.ProbeMessage, fromAddress?: string): void {
    applyAll(message.updates, 'gossip');
    learnNotices(message.notices);
    if (message.configVersion > 0) options.onConfigVersion(message.configVersion, message.fromId);
    sync.compare(message, fromAddress);
  }

  /** Whether the member itself answered at its address. */
  async function exchange(address: string, memberId: string | null): Promise<boolean> {
    const deadlineMs = clock.nowMs() + PROBE_TIMEOUT_MS;
    const receiver = memberId === null ? undefined : state.find(memberId);
    const reply = await transport.probe(address, createMessage(receiver), deadlineMs);
    if (reply.err) return false;
    takeIn(reply.val, address);
    return memberId === null || reply.val.fromId === memberId;
  }

  async function probeThroughOthers(target: types.Member): Promise<boolean> {
    const helpers = state.sampleOthers(INDIRECT_HELPERS, target.memberId);
    const deadlineMs = clock.nowMs() + INDIRECT_TIMEOUT_MS;
    const asked = helpers.map((helper) => {
      const request = {
        targetId: target.memberId,
        targetAddress: target.address,
        probe: createMessage(),
      };
      return transport.probeIndirectly(helper.address, request, deadlineMs);
    });
    const answers = await Promise.all(asked);
    return answers.some((answer) => answer.ok && answer.val.answered);
  }

  async function probe(target: types.Member): Promise<void> {
    const startedMs = clock.nowMs();
    if (await exchange(target.address, target.memberId)) return;
    if (await probeThroughOthers(target)) return;
    // This process itself stood still: what it did not hear is no evidence against others.
    const tookMs = clock.nowMs() - startedMs;
    if (tookMs > PROBE_TIMEOUT_MS + INDIRECT_TIMEOUT_MS + limits.probePeriodMs) return;
    if (!state.suspect(target.memberId, clock.nowMs())) return;
    probeNeighbours(target);
    clock.schedule(clock.nowMs() + NEIGHBOURS_AGAIN_MS, () => {
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
    for (const neighbour of randoms.sample(random, neighbours, NEIGHBOURS_PROBED)) {
      if (pushBudget.tryTake()) void probe(neighbour);
    }
  }

  /**
   * Failure: a cut between regions is over, but each side holds the other for dead. Symptom: half
   * of the upstreams get no work. Enough, because a member that is asked hears of its death, and
   * its refutation is in its answer; each process asks a few, and all together ask everyone.
   */
  function probeContested(members: readonly peer.MemberUpdate[]): void {
    const dead = new Set(state.dead().map((member) => member.memberId));
    const contested = members
      .map(messages.fromUpdate)
      .filter((member) => member.status === 'alive' && dead.has(member.memberId));
    for (const member of randoms.sample(random, contested, CONTESTED_PROBED)) {
      if (!pushBudget.tryTake()) return;
      state.repeat(member.memberId, clock.nowMs());
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

  function pushNews(): void {
    if (isPushPlanned || stopping.signal.aborted) return;
    isPushPlanned = true;
    const atMs = clock.nowMs() + PUSH_DELAY_MS * (0.5 + random.fraction());
    clock.schedule(atMs, () => {
      isPushPlanned = false;
      if (stopping.signal.aborted) return;
      for (const member of state.sampleOthers(PUSH_FANOUT)) {
        if (pushBudget.tryTake()) void exchange(member.address, null);
      }
    });
  }

  /** Addresses where no member is known to be: seeds, and where the dead were. */
  async function lostAddresses(): Promise<string[]> {
    const known = new Set(state.members().map((member) => member.address));
    const candidates = [
      ...state.dead().map((member) => member.address),
      ...(await options.seeds()),
    ];
    return [...new Set(candidates)].filter((address) => !known.has(address));
  }

  async function rejoinLoop(): Promise<void> {
    let periodMs = FIRST_REJOIN_MS;
    const nextMs = () => clock.nowMs() + periodMs * (0.5 + random.fraction());
    while ((await clocks.sleepUntil(clock, nextMs(), stopping.signal)) === 'elapsed') {
      periodMs = Math.min(REJOIN_PERIOD_MS, periodMs * 2);
      const address = randoms.pick(random, await lostAddresses());
      if (address === undefined) continue;
      const lost = state.dead().find((member) => member.address === address);
      if (lost !== undefined) state.repeat(lost.memberId, clock.nowMs());
      state.repeat(state.self().memberId, clock.nowMs());
      const isBack = await exchange(address, null);
      if (isBack) await sync.fetchFrom(address);
    }
  }

  function askAgain(): void {
    for (const afterMs of ASK_AGAIN_AFTER_MS) {
      clock.schedule(clock.nowMs() + afterMs * (0.75 + 0.5 * random.fraction()), () => {
        if (!stopping.signal.aborted) void sync.fetchSoon();
      });
    }
  }

  async function join(): Promise<void> {
    const addresses = await lostAddresses();
    for (const address of randoms.sample(random, addresses, JOIN_ATTEMPTS)) {
      const deadlineMs = clock.nowMs() + JOIN_TIMEOUT_MS;
      const reply = await transport.listMembers(address, { bucketHashes: [] }, deadlineMs);
      if (reply.err || reply.val.fromId === state.self().memberId) continue;
      learn(reply.val);
      log.info('joined', { address, memberCount: state.members().length });
      break;
    }
    pushNews();
    askAgain();
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
      const isDoubtful = member?.status === 'alive' || member?.status === 'leaving';
      // A doubt costs one probe, and no more of them than pushes.
      if (isDoubtful && pushBudget.tryTake()) void probe(member);
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    notices: {
      ...board,
      publish: (notice) => {
        if (board.learn(notice)) pushNews();
      },
    },
    pushNews,
    handlers: {
      probe: (message) => {
        // The answer is made first: it must not return what the message has just brought.
        const reply = createMessage();
        const { revision } = state.self();
        takeIn(message);
        // A member that is held for dead here, but calls, has to hear of it to refute it.
        const doubt = state.doubtOf(message.fromId);
        const isSaid = reply.updates.some((update) => update.memberId === message.fromId);
        if (doubt !== undefined && !isSaid) reply.updates.push(messages.toUpdate(doubt));
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
