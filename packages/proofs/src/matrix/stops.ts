/**
 * Planned stops, in the order of the daemons' main modules. The journal is left out: it compresses
 * on a real thread, which no fake clock waits for.
 */
import { clocks } from '@copperlever/runtime';

import type * as fleets from '../harness/fleet.js';

const BALANCER_NOTICE_MS = 2_000;
const LEAVE_SPREAD_MS = 1_000;
const DRAIN_CHECK_MS = 50;
const DRAIN_TIMEOUT_MS = 120_000;

async function drain(
  clock: clocks.Clock,
  noticeMs: number,
  openCount: () => number,
): Promise<void> {
  const deadlineMs = clock.nowMs() + DRAIN_TIMEOUT_MS;
  await clocks.sleepUntil(clock, clock.nowMs() + noticeMs);
  while (openCount() > 0 && clock.nowMs() < deadlineMs) {
    await clocks.sleepUntil(clock, clock.nowMs() + DRAIN_CHECK_MS);
  }
}

export async function stopAgent(fleet: fleets.Fleet, upstreamId: string): Promise<void> {
  const agent = fleet.agents.get(upstreamId);
  if (agent === undefined || !agent.process.isRunning()) return;
  const { parts, process } = agent;
  const { clock } = process;
  fleet.noteLeaving(upstreamId);
  parts.control.membership.leave();
  parts.attempts.leave();
  await drain(clock, LEAVE_SPREAD_MS, parts.attempts.openCount);
  await parts.control.stop();
  fleet.kill(process);
}

export async function stopEntry(fleet: fleets.Fleet, entryId: string): Promise<void> {
  const entry = fleet.entries.get(entryId);
  if (entry === undefined || !entry.process.isRunning()) return;
  const { parts, process, openCalls } = entry;
  const { clock } = process;
  entry.isStopping = true;
  parts.control.membership.leave();
  await drain(clock, BALANCER_NOTICE_MS, () => openCalls.count);
  await parts.control.stop();
  fleet.kill(process);
}
