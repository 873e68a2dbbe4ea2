/** What is done to a running fleet, and what is measured of it. */
import * as timers from 'node:timers/promises';

import * as figures from './figures.js';
import * as fleets from './fleet.js';

const SPREAD_LIMIT_MS = 60_000;
const BETWEEN_PATCHES_MS = 1_000;

export async function measureSteady(
  fleet: fleets.Fleet,
  periodMs: number,
): Promise<figures.SteadyFigures> {
  const startedMs = Date.now();
  const before = await fleet.sampleAll();
  await timers.setTimeout(periodMs);
  const after = await fleet.sampleAll();
  return figures.compare(before, after, Date.now() - startedMs);
}

/** Waits until every daemon knows every other. */
export async function waitForWholeViews(fleet: fleets.Fleet): Promise<number | null> {
  const startedMs = Date.now();
  while (Date.now() - startedMs < SPREAD_LIMIT_MS) {
    const samples = await fleet.sampleAll();
    if (samples.every((sample) => sample.memberCount === samples.length)) {
      return figures.round((Date.now() - startedMs) / 1_000);
    }
    await timers.setTimeout(500);
  }
  return null;
}

/** Seconds from the acceptance of a patch until each daemon has it in force. */
export async function measurePatches(
  fleet: fleets.Fleet,
  count: number,
): Promise<{ seconds: figures.Spread; incomplete: number }> {
  const seconds: number[] = [];
  let incomplete = 0;
  for (let patch = 0; patch < count; patch += 1) {
    const author = fleet.daemons[patch % fleet.daemons.length];
    if (author === undefined) break;
    const { version, acceptedAtMs } = await fleet.patch(author);
    const isInForce = () => fleet.daemons.every((daemon) => daemon.inForceAtMs.has(version));
    if (!(await fleets.waitFor(isInForce, SPREAD_LIMIT_MS))) incomplete += 1;
    for (const daemon of fleet.daemons) {
      const atMs = daemon.inForceAtMs.get(version);
      if (atMs !== undefined) seconds.push(Math.max(0, atMs - acceptedAtMs) / 1_000);
    }
    await timers.setTimeout(BETWEEN_PATCHES_MS);
  }
  return { seconds: figures.spreadOf(seconds), incomplete };
}

/** Seconds from `sinceMs` until each other daemon stops choosing the member. */
async function measureNoNewWork(
  fleet: fleets.Fleet,
  gone: fleets.Daemon,
  sinceMs: number,
): Promise<figures.Spread | null> {
  const others = fleet.daemons.filter((daemon) => daemon !== gone);
  const firstDoubtMs = (daemon: fleets.Daemon) =>
    daemon.standings
      .get(gone.memberId)
      ?.find(({ status, atMs }) => atMs >= sinceMs && status !== 'alive')?.atMs;
  const isKnown = () => others.every((daemon) => firstDoubtMs(daemon) !== undefined);
  if (!(await fleets.waitFor(isKnown, SPREAD_LIMIT_MS))) return null;
  const seconds = others.map((daemon) => ((firstDoubtMs(daemon) ?? 0) - sinceMs) / 1_000);
  return figures.spreadOf(seconds);
}

async function restart(fleet: fleets.Fleet, daemon: fleets.Daemon): Promise<void> {
  daemon.child.kill('SIGKILL');
  await fleet.start(daemon.index, daemon.incarnation + 1);
}

export async function measureLeaving(
  fleet: fleets.Fleet,
  index: number,
): Promise<figures.Spread | null> {
  const daemon = fleet.daemons[index];
  if (daemon === undefined) return null;
  const sinceMs = Date.now();
  fleet.tell(daemon, { kind: 'leave' });
  const spread = await measureNoNewWork(fleet, daemon, sinceMs);
  await restart(fleet, daemon);
  return spread;
}

export async function measureKilled(
  fleet: fleets.Fleet,
  index: number,
): Promise<figures.Spread | null> {
  const daemon = fleet.daemons[index];
  if (daemon === undefined) return null;
  const sinceMs = Date.now();
  daemon.child.kill('SIGKILL');
  const spread = await measureNoNewWork(fleet, daemon, sinceMs);
  await restart(fleet, daemon);
  return spread;
}

/** Seconds from `sinceMs` until every daemon knows the new incarnations of those that restarted. */
async function measureKnownAgain(
  fleet: fleets.Fleet,
  before: readonly fleets.Daemon[],
  sinceMs: number,
): Promise<number | null> {
  const current = before.map(({ index }) => fleet.daemons[index]);
  const knows = (daemon: fleets.Daemon, other: fleets.Daemon | undefined) =>
    other === undefined ||
    other === daemon ||
    daemon.standings
      .get(other.memberId)
      ?.some(
        ({ incarnation, status }) => incarnation === other.incarnation && status === 'alive',
      ) === true;
  const isKnown = () =>
    fleet.daemons.every((daemon) => current.every((other) => knows(daemon, other)));
  const isDone = await fleets.waitFor(isKnown, SPREAD_LIMIT_MS);
  return isDone ? figures.round((Date.now() - sinceMs) / 1_000) : null;
}

/** A tenth of the daemons is killed and started again at once, while a patch is made. */
export async function measureRestarts(fleet: fleets.Fleet, settleMs: number) {
  const count = Math.max(1, Math.floor(fleet.daemons.length / 10));
  const chosen = fleet.daemons.slice(-count);
  const before = await fleet.sampleAll();
  const startedMs = Date.now();
  const restarted = Promise.all(chosen.map((daemon) => restart(fleet, daemon)));
  const patches = await measurePatches(fleet, 1);
  await restarted;
  const wholeAgainSeconds = await measureKnownAgain(fleet, chosen, startedMs);
  await timers.setTimeout(Math.max(0, settleMs - (Date.now() - startedMs)));
  const after = await fleet.sampleAll();
  const stayed = new Set(before.slice(0, -count).map((sample) => sample.memberId));
  return {
    restartedCount: count,
    patchDuringRestart: patches,
    wholeAgainSeconds,
    othersMeanwhile: figures.compare(
      before,
      after.filter((sample) => stayed.has(sample.memberId)),
      Date.now() - startedMs,
    ),
  };
}
