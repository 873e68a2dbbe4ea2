/**
 * Gateways before upstreams that end, on a virtual clock: under requests with a bad part, by themselves, several at once, as planned,
 * or only as it seems. Gateways end and start again, are cut off from each other and from the store, and get the requests of many
 * callers, of which some come back after a loss.
 */
import { clocks as clocksModule, logs, randoms, results } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';

import * as crashTrackers from '../server/crashes/crash-tracker.js';
import type * as crashWatches from '../server/crashes/crash-watch.js';
import type * as livenessProbes from '../server/crashes/liveness-probe.js';
import * as quarantineKeepers from '../server/crashes/quarantine-keeper.js';
import type * as peerLinks from '../server/peers/peer-link.js';
import * as crashEvidence from '../shared/crashes/crash-evidence.js';
import * as quarantines from '../shared/crashes/quarantine.js';
import * as requestTraits from '../shared/crashes/request-traits.js';
import * as requestCensus from '../shared/crashes/request-census.js';
import * as peerRegistries from '../shared/peer-registry.js';
import type * as logEvents from '../types/log-events.js';
import * as memoryRecords from './memory-records.js';

/** A gateway that was in touch for so long has heard of what was found. */
export const CONTACT_MS = 3_000;
/** From then on a part that ends upstreams may reach them only so often. */
export const LATE_MAX = 3;
const CRASHES_COUNTED = 5;
const NETWORK_MS = 2;
const EXCHANGE_MS = 250;
const RESTART_MS = 400;
const DEADLINE_MS = 4_000;
/** What is refused for longer was taken for certain. */
const HELD_MS = 60_000;
const FIRST_PARTS = ['part:a1', 'part:a2', 'part:a3'];

export type Request = {
  id: number;
  traits: readonly string[];
  badPart: string | null;
  /** The upstreams at a position of the same remainder have it. */
  model: number;
  /** The play sends it again itself. */
  isRepeated?: boolean;
};

/** `refused`: by a verdict. `held`: it may not be sent alone just now. `unserved`: no gateway or upstream took it. */
export type Outcome = 'served' | 'lost' | 'refused' | 'held' | 'unserved';

type Running = {
  request: Request;
  gatewayId: string;
  watched: crashWatches.WatchedAttempt;
  ended: (outcome: Outcome) => void;
  isOver: boolean;
};

type Range = readonly [number, number];

export type Upstream = {
  position: number;
  domain: number;
  startCount: number;
  /** `dark`: nothing answers, connections to it hang. */
  state: 'up' | 'down' | 'dark';
  isLeaving: boolean;
  running: Set<Running>;
};

/** The gateway and the upstream of an attempt that was lost. */
type LostAt = { node: GatewayNode; upstreamId: string };

type Arrived = { outcome: Outcome; lostAt: LostAt | null };

export type GatewayNode = {
  gatewayId: string;
  startedMs: number;
  /** When it was last cut off, from peers or the store. */
  cutMs: number;
  book: peerRegistries.PeerRegistry;
  quarantine: quarantines.Quarantine;
  tracker: crashTrackers.CrashTracker;
  keeper: quarantineKeepers.QuarantineKeeper;
};

export type CrashFleetOptions = {
  gatewayCount: number;
  upstreamCount: number;
  seed: number;
  exchangeMs?: number;
  /** From an end to the next start. */
  backMs?: Range;
  /** From a request to the beginning of its answer, and from there to its end. */
  beginMs?: Range;
  answerMs?: Range;
  /** The first parts of prompts, of which each request has one. */
  firstParts?: readonly string[];
  /** Another part that this share of the sound requests has; all bad requests have it. */
  commonPart?: { part: string; share: number };
  /** Upstreams have one model each, in turn, and requests of each have a first part of their own. */
  modelCount?: number;
  log?: logEvents.GatewayLog | undefined;
};

export type CrashFleet = ReturnType<typeof createCrashFleet>;

export function createCrashFleet({
  gatewayCount,
  upstreamCount,
  seed,
  exchangeMs = EXCHANGE_MS,
  backMs = [1_500, 5_000],
  beginMs = [30, 500],
  answerMs = [200, 3_000],
  firstParts = FIRST_PARTS,
  commonPart,
  modelCount = 1,
  log = logs.createSilentLogger(),
}: CrashFleetOptions) {
  const clock = fakeClocks.createFakeClock();
  const random = randoms.createRandom(seed);
  const store = memoryRecords.createMemoryRecords();
  const nodes = new Map<string, GatewayNode>();
  const isolated = new Set<string>();
  const between = (from: number, to: number) => from + random.fraction() * (to - from);
  const within = ([from, to]: Range) => between(from, to);
  const upstreams: Upstream[] = Array.from({ length: upstreamCount }, (_, position) => ({
    position,
    domain: position % 3,
    startCount: 1,
    state: 'up',
    isLeaving: false,
    running: new Set(),
  }));
  /** Parts that were bad and no longer are. */
  const cured = new Set<string>();
  /** For each bad part the times of the ends that it caused. */
  const crashesMs = new Map<string, number[]>();
  /** The traits of whole requests with a bad part. */
  const badRequests = new Set<string>();
  const arrivals: { badPart: string; atMs: number; isInTouch: boolean }[] = [];
  const counts = {
    sound: 0,
    soundRefused: 0,
    soundSuspected: 0,
    bad: 0,
    badRefused: 0,
    badSuspected: 0,
    crashes: 0,
    messages: 0,
  };
  let nextRequest = 0;
  /** When each start of an upstream was listed. */
  const listedMs = new Map<string, number>();

  const idOf = ({ position, startCount }: Upstream) => `u${position}.${startCount}`;
  const addressOf = (gatewayId: string) => `${gatewayId}:1`;

  function isCut(from: string, to: string): boolean {
    return isolated.has(from) || isolated.has(to) || !nodes.has(to) || !nodes.has(from);
  }

  function createLink(gatewayId: string): Pick<peerLinks.PeerLink, 'shareCrashes'> {
    return {
      shareCrashes: async (address, request, deadlineMs) => {
        counts.messages += 1;
        const to = address.split(':')[0] ?? '';
        await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
        const node = nodes.get(to);
        if (node === undefined || isCut(gatewayId, to)) {
          await clocksModule.sleepUntil(clock, deadlineMs);
          return results.Err({ kind: 'deadline', address } as const);
        }
        const reply = node.tracker.handle(request);
        await clocksModule.sleepUntil(clock, clock.nowMs() + NETWORK_MS);
        return results.Ok(reply);
      },
    };
  }

  function probe(address: string): Promise<livenessProbes.Liveness> {
    const upstream = upstreams[Number(address)];
    const liveness = { up: 'accepts', down: 'refuses', dark: 'unknown' } as const;
    return Promise.resolve(liveness[upstream?.state ?? 'dark']);
  }

  function start(gatewayId: string): GatewayNode {
    const book = peerRegistries.createPeerRegistry(gatewayId);
    const quarantine = quarantines.createQuarantine();
    const tracker = crashTrackers.createCrashTracker({
      clock,
      log,
      metrics: {
        answersLost: () => {},
        quarantineChanged: () => {},
        trialDecided: () => {},
        trialEnded: () => {},
      },
      evidence: crashEvidence.createCrashEvidence(),
      census: requestCensus.createRequestCensus(),
      quarantine,
      probe,
      listedMs: (upstreamId) => listedMs.get(upstreamId) ?? null,
      isLeaving: (upstreamId) => {
        const upstream = upstreams.find((one) => idOf(one) === upstreamId);
        return upstream === undefined || upstream.isLeaving;
      },
      link: createLink(gatewayId),
      book,
      gatewayId,
      address: addressOf(gatewayId),
      onDecided: () => keeper.wake(),
      claim: (entry) => keeper.claim(entry),
    });
    const keeper = quarantineKeepers.createQuarantineKeeper({
      clock,
      log,
      store,
      quarantine,
      applyEntries: tracker.applyEntries,
      isHolder: () => gatewayId === holderId(),
      gatewayId,
    });
    keeper.start();
    const startedMs = clock.nowMs();
    const node = { gatewayId, startedMs, cutMs: -Infinity, book, quarantine, tracker, keeper };
    nodes.set(gatewayId, node);
    exchange(node);
    return node;
  }

  function holderId(): string {
    return [...nodes.keys()].sort()[0] ?? '';
  }

  /** Gateways hear of each other, and of entries, from whichever they reach. */
  function exchange(node: GatewayNode): void {
    const nowMs = clock.nowMs();
    if (nodes.get(node.gatewayId) !== node) return;
    if (isolated.has(node.gatewayId)) nodes.get(node.gatewayId)!.cutMs = nowMs;
    const others = [...nodes.values()].filter((one) => !isCut(node.gatewayId, one.gatewayId));
    others
      .filter((one) => one !== node)
      .forEach(({ gatewayId, book }) => {
        book.noteContact(contactOf(node.gatewayId), nowMs);
        node.book.noteContact(contactOf(gatewayId), nowMs);
      });
    const holder = others.find(({ gatewayId }) => gatewayId === holderId());
    if (holder !== undefined && holder !== node) {
      node.tracker.applyEntries(holder.quarantine.entries(nowMs), holder.gatewayId);
      holder.tracker.applyEntries(node.quarantine.entries(nowMs), node.gatewayId);
      if (holder.keeper.isKnown()) node.keeper.noteKnown();
    }
    clock.schedule(nowMs + exchangeMs, () => exchange(node));
  }

  function contactOf(gatewayId: string) {
    return { gatewayId, address: addressOf(gatewayId), millicores: 500 };
  }

  function kill(gatewayId: string): void {
    nodes.get(gatewayId)?.keeper.stop();
    nodes.delete(gatewayId);
    upstreams.forEach(({ running }) => {
      running.forEach((one) => {
        if (one.gatewayId === gatewayId) end(one, running, 'gone');
      });
    });
  }

  async function restart(gatewayId: string): Promise<void> {
    kill(gatewayId);
    await clocksModule.sleepUntil(clock, clock.nowMs() + RESTART_MS);
    if (!nodes.has(gatewayId)) start(gatewayId);
  }

  /** `gone`: its gateway has ended, and records nothing. */
  function end(
    one: Running,
    running: Set<Running>,
    evidence: crashWatches.AttemptEvidence | 'gone',
  ): void {
    if (one.isOver) return;
    const attempt = one;
    attempt.isOver = true;
    running.delete(one);
    const isServed = evidence === 'whole' || evidence === 'unframed';
    if (evidence !== 'gone') one.watched.ended(evidence);
    one.ended(isServed ? 'served' : 'lost');
    // Its caller, or the gateway itself, tries again.
    if (evidence !== 'lost' || one.request.isRepeated === true) return;
    if (random.fraction() < 0.6) {
      clock.schedule(clock.nowMs() + between(5, 200), () => void arrive(one.request));
    }
  }

  function loseAll({ running }: Upstream, evidence: crashWatches.AttemptEvidence): void {
    [...running].forEach((one) => {
      clock.schedule(clock.nowMs() + NETWORK_MS, () => end(one, running, evidence));
    });
  }

  function comeBack(upstream: Upstream): void {
    const changed = upstream;
    clock.schedule(clock.nowMs() + within(backMs), () => {
      changed.startCount += 1;
      listedMs.set(idOf(changed), clock.nowMs());
      changed.state = 'up';
      changed.isLeaving = false;
    });
  }

  function crash(upstream: Upstream): void {
    if (upstream.state !== 'up') return;
    const changed = upstream;
    counts.crashes += 1;
    changed.state = 'down';
    loseAll(upstream, 'lost');
    comeBack(upstream);
  }

  /** Its machine has lost power, or the path to it is cut: nothing answers any more. */
  function darken(upstream: Upstream): void {
    if (upstream.state !== 'up') return;
    const changed = upstream;
    changed.state = 'dark';
    loseAll(upstream, random.fraction() < 0.5 ? 'lost' : 'other');
    comeBack(upstream);
  }

  /** It announces that it leaves, and ends with requests under way. */
  function leave(upstream: Upstream): void {
    const changed = upstream;
    changed.isLeaving = true;
    clock.schedule(clock.nowMs() + 500, () => {
      if (changed.state !== 'up') return;
      changed.state = 'down';
      loseAll(changed, 'lost');
      comeBack(changed);
    });
  }

  /** Some of its answers break off; it goes on. */
  function breakAnswers({ running }: Upstream, share: number): void {
    [...running]
      .filter(() => random.fraction() < share)
      .forEach((one) => end(one, running, random.fraction() < 0.5 ? 'lost' : 'unframed'));
  }

  function crashBy(badPart: string, upstream: Upstream): void {
    const times = crashesMs.get(badPart) ?? [];
    times.push(clock.nowMs());
    crashesMs.set(badPart, times);
    crash(upstream);
  }

  function badPartOf({ badPart }: Request): string | null {
    return badPart === null || cured.has(badPart) ? null : badPart;
  }

  function run(one: Running, upstream: Upstream): void {
    const { running } = upstream;
    const begunMs = clock.nowMs() + within(beginMs);
    clock.schedule(begunMs, () => {
      if (one.isOver) return;
      const badPart = badPartOf(one.request);
      if (badPart === null || random.fraction() < 0.5) one.watched.began();
      if (badPart !== null) {
        clock.schedule(clock.nowMs() + between(0, 120), () => {
          if (!one.isOver && upstream.state === 'up') crashBy(badPart, upstream);
        });
        return;
      }
      clock.schedule(clock.nowMs() + within(answerMs), () => {
        if (one.isOver || upstream.state !== 'up') return;
        end(one, running, random.fraction() < 0.1 ? 'unframed' : 'whole');
      });
    });
  }

  function isInTouch({ gatewayId, startedMs, cutMs }: GatewayNode): boolean {
    const sinceMs = clock.nowMs() - Math.max(startedMs, cutMs);
    return !isolated.has(gatewayId) && sinceMs > CONTACT_MS;
  }

  /** A request comes to a gateway, and is refused there or sent to an upstream. */
  async function arrive(request: Request, lostAt: LostAt | null = null): Promise<Arrived> {
    const serving = [...nodes.values()].filter(({ keeper }) => keeper.isKnown());
    const node = lostAt === null ? randoms.pick(random, serving) : lostAt.node;
    const unserved: Arrived = { outcome: 'unserved', lostAt: null };
    if (node === undefined) return unserved;
    const kind = request.badPart === null ? 'sound' : 'bad';
    counts[kind] += 1;
    const listed = upstreams.filter(
      ({ state, isLeaving, position }) =>
        state === 'up' && !isLeaving && position % modelCount === request.model,
    );
    const upstream = randoms.pick(random, listed);
    if (upstream === undefined) return unserved;
    const upstreamId = idOf(upstream);
    const { gatewayId, tracker } = node;
    const admission = await tracker.trials.admit({
      requestId: `r${request.id}`,
      traits: request.traits,
      upstreamId,
      otherIds: () => listed.map(idOf).filter((id) => id !== upstreamId),
      deadlineMs: clock.nowMs() + DEADLINE_MS,
      lostUpstreamId: lostAt?.upstreamId ?? null,
    });
    if (admission.kind === 'refused') counts[`${kind}Refused`] += 1;
    if (admission.kind === 'suspected') counts[`${kind}Suspected`] += 1;
    if (admission.kind === 'refused') return { outcome: 'refused', lostAt: null };
    if (admission.kind === 'suspected') return { outcome: 'held', lostAt: null };
    const trial = admission.kind === 'trial' ? admission.trial : null;
    const endTrial = () => {
      if (trial !== null) tracker.trials.ended(trial);
    };
    if (upstream.state !== 'up' || idOf(upstream) !== upstreamId || nodes.get(gatewayId) !== node) {
      endTrial();
      return unserved;
    }
    if (request.badPart !== null) {
      const { badPart } = request;
      arrivals.push({ badPart, atMs: clock.nowMs(), isInTouch: isInTouch(node) });
    }
    const address = String(upstream.position);
    const { traits } = request;
    const watched = tracker.watch.started(
      upstreamId,
      address,
      { traits, pool: `m${request.model}` },
      trial?.trait,
    );
    return new Promise((resolve) => {
      const ended = (outcome: Outcome) => {
        if (nodes.get(gatewayId) === node) endTrial();
        resolve({ outcome, lostAt: outcome === 'lost' ? { node, upstreamId } : null });
      };
      const one: Running = { request, gatewayId, watched, ended, isOver: false };
      upstream.running.add(one);
      run(one, upstream);
    });
  }

  /** The outcome for its caller, after up to two attempts of one gateway. */
  async function ask(request: Request): Promise<Outcome> {
    const first = await arrive(request);
    const { lostAt } = first;
    if (lostAt === null || nodes.get(lostAt.node.gatewayId) !== lostAt.node) return first.outcome;
    const second = await arrive(request, lostAt);
    return second.outcome;
  }

  /** Ends each upstream that runs it, and shares its parts with sound requests. */
  function createBadRequest(): Request {
    const request = createRequest(null);
    const [own = ''] = request.traits;
    badRequests.add(own);
    return { ...request, badPart: own, isRepeated: true };
  }

  function createRequest(badPart: string | null): Request {
    nextRequest += 1;
    const model = modelCount > 1 ? random.below(modelCount) : 0;
    const first = modelCount > 1 ? `part:m${model}` : (randoms.pick(random, firstParts) ?? '');
    // Few subjects get most of the requests.
    const subject = `part:s${Math.floor(random.fraction() ** 3 * 200)}`;
    const own = requestTraits.ofFingerprint(`f${nextRequest}`);
    if (badPart !== null) badRequests.add(own);
    const isCommon = commonPart !== undefined && random.fraction() < commonPart.share;
    const common = isCommon || (commonPart !== undefined && badPart !== null);
    const shared = common ? [first, commonPart.part] : [first];
    const parts = badPart === null ? [...shared, subject] : [...shared, badPart, subject];
    return { id: nextRequest, traits: [own, ...parts], badPart, model };
  }

  /** Sends requests at that rate until `untilMs`; `badPart`: all of them have it. */
  function flow(perSecond: number, untilMs: number, badPart: string | null = null): void {
    if (clock.nowMs() >= untilMs) return;
    void arrive(createRequest(badPart));
    const pauseMs = (-Math.log(1 - random.fraction()) * 1_000) / perSecond;
    clock.schedule(clock.nowMs() + pauseMs, () => flow(perSecond, untilMs, badPart));
  }

  /** The most requests with one bad part that gateways in touch sent later than the bound, which counts from so many ends on. */
  function lateCount(countedFrom = CRASHES_COUNTED): number {
    return Math.max(
      0,
      ...[...crashesMs].map(([badPart, times]) => {
        const boundingMs = times[countedFrom - 1] ?? Infinity;
        return arrivals.filter(
          (one) => one.badPart === badPart && one.isInTouch && one.atMs > boundingMs + CONTACT_MS,
        ).length;
      }),
    );
  }

  /** Sets of traits that are refused with neither a bad part nor a bad request among them; `held`: or were for a moment. */
  function wrongSets(badParts: readonly string[]): { refused: string[]; held: string[] } {
    const entries = [...nodes.values()].flatMap(({ quarantine }) => [
      ...quarantine.entries(clock.nowMs()),
    ]);
    const bad = new Set([...badParts, ...badRequests]);
    const wrong = entries.filter(({ traits }) => !traits.some((trait) => bad.has(trait)));
    const keysOf = (some: readonly quarantines.QuarantineEntry[]) => [
      ...new Set(some.map(quarantines.keyOf)),
    ];
    const refused = wrong.filter(
      ({ state, untilMs }) => state === 'refused' && untilMs - clock.nowMs() > HELD_MS,
    );
    const held = wrong.filter(({ state, trialCount }) => state === 'refused' || trialCount > 0);
    return { refused: keysOf(refused), held: keysOf(held) };
  }

  upstreams.forEach((upstream) => listedMs.set(idOf(upstream), 0));
  for (let index = 1; index <= gatewayCount; index += 1) start(`g${index}`);

  return {
    clock,
    random,
    store,
    nodes,
    isolated,
    upstreams,
    counts,
    crashesMs,
    cured,
    arrivals,
    kill,
    start,
    restart,
    crash,
    darken,
    leave,
    breakAnswers,
    flow,
    createRequest,
    createBadRequest,
    arrive,
    ask,
    lateCount,
    wrongSets,
    stop: () => nodes.forEach(({ keeper }) => keeper.stop()),
  };
}
