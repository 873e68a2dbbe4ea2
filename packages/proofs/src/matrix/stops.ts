/**
 * Planned stops, in the order of the daemons' main modules. The journal is left out: it compresses
 * on a real thread, which no fake clock waits for.
 */
import type * as agentAttempts from '@copperlever/agent/server/dispatch/attempts';
import * as drains from '@copperlever/entry/server/health/drain';
import { clocks } from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';

import type * as fleets from '../harness/fleet.js';

const LEAVE_SPREAD_MS = 1_000;
const DRAIN_CHECK_MS = 50;
const VM_GOES_MS = 9_000;
const DRAIN_TIMEOUT_MS = 120_000;

async function drain(
  clock: clocks.Clock,
  noticeMs: number,
  attempts: Pick<agentAttempts.Attempts, 'openCount' | 'stopBy'>,
): Promise<void> {
  const times = stopTimes.drainTimes(clock.nowMs(), DRAIN_TIMEOUT_MS, 0);
  attempts.stopBy(times);
  await clocks.sleepUntil(clock, clock.nowMs() + noticeMs);
  while (attempts.openCount() > 0 && clock.nowMs() < times.endMs) {
    attempts.stopBy(times);
    await clocks.sleepUntil(clock, clock.nowMs() + DRAIN_CHECK_MS);
  }
}

export async function stopAgent(fleet: fleets.Fleet, upstreamId: string): Promise<void> {
  const agent = fleet.agents.get(upstreamId);
  if (agent === undefined || !agent.process.isRunning()) return;
  const { parts, process } = agent;
  const { clock } = process;
  const { stopsAtOnce, leavesInSilence } = fleet.overrides;
  fleet.noteLeaving(upstreamId);
  if (leavesInSilence !== true) {
    parts.control.membership.leave();
    parts.attempts.leave();
  }
  if (stopsAtOnce !== true) await drain(clock, LEAVE_SPREAD_MS, parts.attempts);
  // The VM takes a while to go; until then its agent answers.
  if (stopsAtOnce !== true) await clocks.sleepUntil(clock, clock.nowMs() + VM_GOES_MS);
  await parts.control.stop();
  fleet.kill(process);
}

/** Callers of the matrix call entries without a network. */
const NO_CONNECTIONS = { closeUnused: async () => {}, isClosed: () => true };

export async function stopEntry(fleet: fleets.Fleet, entryId: string): Promise<void> {
  const entry = fleet.entries.get(entryId);
  if (entry === undefined || !entry.process.isRunning()) return;
  const { parts, process, openCalls, stopping } = entry;
  if (fleet.overrides.stopsAtOnce === true) {
    fleet.kill(process);
    return;
  }
  const stopAtMs = process.clock.nowMs();
  parts.stop.begin(stopTimes.drainTimes(stopAtMs, DRAIN_TIMEOUT_MS, drains.BALANCER_NOTICE_MS));
  await drains.drain({
    clock: process.clock,
    log: parts.log,
    turnReadyOff: () => {
      stopping.isStopping = true;
    },
    leaveMembership: parts.control.membership.leave,
    connections: NO_CONNECTIONS,
    openCallCount: () => openCalls.count,
    pendingClaimCount: parts.settlements.pendingCount,
    timeoutMs: DRAIN_TIMEOUT_MS,
  });
  await parts.control.stop();
  fleet.kill(process);
}
