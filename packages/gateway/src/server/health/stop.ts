/**
 * Planned stop: goes on serving until the balancer sends no more connections, then closes idle connections and waits
 * for running requests.
 */
import type * as http from 'node:http';

import { clocks } from '@copperlever/runtime';
import type * as openConnections from '@copperlever/runtime/open-connections';
import * as stopTimes from '@copperlever/runtime/stop-times';

import type * as logEvents from '../../types/log-events.js';
import * as readDelays from '../forwarding/read-delay.js';
import type * as unsentRequests from '../forwarding/unsent-requests.js';

export type DrainOptions = {
  clock: clocks.Clock;
  log: Pick<logEvents.GatewayLog, 'info'>;
  loopAges: Pick<readDelays.ReadDelay, 'readPending' | 'pollCount' | 'acceptWaitMs' | 'turnMs'>;
  connections: Omit<openConnections.OpenConnections, 'cutOpen' | 'cutUnended' | 'closeLongestIdle'>;
  openCallCount: () => number;
  /** Answers what has no answer at the end, and cuts the answers that have begun. */
  cutOpen: () => void | Promise<void>;
  /** When the drain has to be over. */
  endMs: number;
};

const CHECK_MS = 50;
/** Time in which the answers written at the end reach callers. */
const LINGER_MS = 300;
/** The same for a refusal, which is short, of what the last look has read. */
const REFUSAL_LINGER_MS = 100;
/** Longest time for reading, and refusing, what lies unread at the end. */
const LAST_LOOK_MS = 200;

function endAccepting(
  { log, loopAges, connections }: DrainOptions,
  state: { isAccepting: boolean },
  acceptWaitMs: number,
): void {
  connections.stopAccepting();
  state.isAccepting = false;
  const turnMs = Math.round(loopAges.turnMs());
  log.info('accepting-ended', { acceptWaitMs: Math.round(acceptWaitMs), turnMs });
}

/**
 * One step: closes what a whole poll has found without anything to read. Where the loop stood meanwhile, more may have arrived,
 * and the next step looks again.
 */
async function closeUnused(options: DrainOptions, state: { isAccepting: boolean }): Promise<void> {
  const { log, loopAges, connections } = options;
  const unreadMs = await loopAges.readPending();
  if (unreadMs > readDelays.UNREAD_AT_CLOSE_MAX_MS) return;
  const pollNumber = loopAges.pollCount();
  const fields = { unreadMs: Math.round(unreadMs), turnMs: Math.round(loopAges.turnMs()) };
  if (state.isAccepting && !connections.mayWait(pollNumber)) {
    endAccepting(options, state, unreadMs);
  }
  const closedCount = connections.closeIdle(pollNumber);
  if (closedCount > 0) log.info('idle-closed', { closedCount, ...fields });
}

export async function drain(options: DrainOptions): Promise<void> {
  const { clock, loopAges, connections, endMs } = options;
  await clocks.sleepUntil(clock, Math.min(endMs, clock.nowMs() + stopTimes.BALANCER_NOTICE_MS));
  const state = { isAccepting: true };
  const isDone = () =>
    !state.isAccepting && options.openCallCount() === 0 && connections.count() === 0;
  for (;;) {
    await closeUnused(options, state);
    if (isDone() || clock.nowMs() >= endMs) break;
    await clocks.sleepUntil(clock, Math.min(endMs, clock.nowMs() + CHECK_MS));
  }
  // With the answers that are still open ends the work that makes turns long.
  await options.cutOpen();
  const answeredMs = clock.nowMs();
  const lookUntilMs = answeredMs + LAST_LOOK_MS;
  while ((state.isAccepting || connections.count() > 0) && clock.nowMs() < lookUntilMs) {
    await closeUnused(options, state);
  }
  if (state.isAccepting) endAccepting(options, state, loopAges.acceptWaitMs());
  // The data written last is still on its way to the callers.
  const lingerUntilMs = Math.max(answeredMs + LINGER_MS, clock.nowMs() + REFUSAL_LINGER_MS);
  await clocks.sleepUntil(clock, lingerUntilMs);
}

export type RefusalOptions = {
  clock: clocks.Clock;
  unsent: Pick<unsentRequests.UnsentRequests, 'refuseLate' | 'refuseAll'>;
  times: stopTimes.StopTimes;
};

/** Refuses what waits as soon as it is too late for it, and all of it before the end. */
export function refuseWaiting({ clock, unsent, times }: RefusalOptions): clocks.Cancel {
  const { takesAllUntilMs, refusesUnsentMs } = times;
  let cancel = () => {};
  const look = () => {
    if (clock.nowMs() >= refusesUnsentMs) {
      unsent.refuseAll();
      return;
    }
    unsent.refuseLate();
    cancel = clock.schedule(Math.min(refusesUnsentMs, clock.nowMs() + CHECK_MS), look);
  };
  cancel = clock.schedule(Math.min(refusesUnsentMs, takesAllUntilMs), look);
  return () => cancel();
}

export type ReleaseOptions = {
  clock: clocks.Clock;
  drained: Promise<void>;
  /** Releases the lease, if it is held, by `untilMs`. */
  releaseLease: (untilMs: number) => Promise<void>;
  endMs: number;
};

/** Time for the store's answer and one retry. */
const LEASE_RELEASE_MS = 1_000;

/**
 * Releases the lease at the end of the drain. No orders can be given for the lease time after each change of holder.
 * When gateways are restarted one after the other, a lease that is released at the start of the drain would go to a
 * gateway that is stopped next; kept until the end, it changes hands once.
 */
export async function releaseLeaseLast(options: ReleaseOptions): Promise<void> {
  const { clock, drained, releaseLease: release, endMs } = options;
  await Promise.race([drained, clocks.sleepUntil(clock, endMs - LEASE_RELEASE_MS)]);
  // A store that doesn't answer takes longer than there is time until the platform's kill.
  const released = Promise.race([release(endMs), clocks.sleepUntil(clock, endMs)]);
  await Promise.all([drained, released]);
}

/** Closes all connections at the end of a stop. An answer that is still open misses its last chunk or a part of its length. */
export function cutOff(
  server: http.Server,
  connections: Pick<openConnections.OpenConnections, 'cutOpen'>,
): void {
  connections.cutOpen();
  server.closeAllConnections();
}
