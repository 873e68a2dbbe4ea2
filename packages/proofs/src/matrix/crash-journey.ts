/** Requests that end each upstream, at any gateway, while other things fail as well. */
import { clocks } from '@copperlever/runtime';

import * as crashFleets from '@copperlever/gateway/testing/crash-fleet';

import type * as invariants from './invariants.js';

export type CrashFault = {
  name: string;
  strike: (fleet: crashFleets.CrashFleet) => void;
};

/** When the fault strikes, against the first such request. */
/** No two alike, with one part of their prompts in common; or one that its caller sends again after each failure. */
export const CULPRITS = ['part', 'request'] as const;

export type Culprit = (typeof CULPRITS)[number];

export const STEPS = ['before', 'while it is found', 'once it is refused'] as const;

export type Step = (typeof STEPS)[number];

const SEED = 47;
const GATEWAY_COUNT = 5;
const UPSTREAM_COUNT = 12;
const SOUND_PER_SECOND = 40;
const BAD_PER_SECOND = 2;
const BAD_PART = 'part:bad1';
const FIRST_BAD_MS = 8_000;
const PLAY_MS = 30_000;
const AWAY_MS = 4_000;
const REPEAT_PAUSE_MS = 400;
/** From so many ends on the bound counts. */
const ENDS_COUNTED: Record<Culprit, number> = { part: 5, request: 3 };
const STRIKE_MS: Record<Step, number> = {
  before: FIRST_BAD_MS - 1_000,
  'while it is found': FIRST_BAD_MS + 1_000,
  'once it is refused': FIRST_BAD_MS + 10_000,
};

function later(fleet: crashFleets.CrashFleet, task: () => void): void {
  fleet.clock.schedule(fleet.clock.nowMs() + AWAY_MS, task);
}

export const FAULTS: readonly CrashFault[] = [
  { name: 'nothing else', strike: () => {} },
  { name: 'a gateway starts again', strike: (fleet) => void fleet.restart('g2') },
  {
    name: 'all gateways start again',
    strike: (fleet) => [...fleet.nodes.keys()].forEach((id) => void fleet.restart(id)),
  },
  {
    name: 'a gateway is cut off and back',
    strike: (fleet) => {
      fleet.isolated.add('g3');
      later(fleet, () => fleet.isolated.clear());
    },
  },
  {
    name: 'the store is away',
    strike: (fleet) => {
      fleet.store.setFault('down');
      later(fleet, () => fleet.store.setFault('none'));
    },
  },
  {
    name: 'a domain of upstreams ends',
    strike: (fleet) => fleet.upstreams.filter(({ domain }) => domain === 0).forEach(fleet.crash),
  },
  {
    name: 'a domain of upstreams goes dark',
    strike: (fleet) => fleet.upstreams.filter(({ domain }) => domain === 1).forEach(fleet.darken),
  },
];

async function repeat(fleet: crashFleets.CrashFleet): Promise<void> {
  const { clock } = fleet;
  const request = fleet.createBadRequest();
  while (clock.nowMs() < PLAY_MS) {
    await fleet.ask(request);
    await clocks.sleepUntil(clock, clock.nowMs() + REPEAT_PAUSE_MS);
  }
}

function begin(fleet: crashFleets.CrashFleet, culprit: Culprit): void {
  switch (culprit) {
    case 'part':
      fleet.flow(BAD_PER_SECOND, PLAY_MS, BAD_PART);
      return;
    case 'request':
      void repeat(fleet);
  }
}

export async function runCell(
  culprit: Culprit,
  fault: CrashFault,
  step: Step,
): Promise<invariants.CellOutcome> {
  const fleet = crashFleets.createCrashFleet({
    gatewayCount: GATEWAY_COUNT,
    upstreamCount: UPSTREAM_COUNT,
    seed: SEED,
  });
  fleet.flow(SOUND_PER_SECOND, PLAY_MS);
  fleet.clock.schedule(FIRST_BAD_MS, () => begin(fleet, culprit));
  fleet.clock.schedule(STRIKE_MS[step], () => fault.strike(fleet));
  await fleet.clock.advance(PLAY_MS);
  fleet.stop();
  const violations: invariants.Violation[] = [];
  const late = fleet.lateCount(ENDS_COUNTED[culprit]);
  if (late > crashFleets.LATE_MAX) {
    violations.push({ kind: 'crashes', detail: `${late} bad requests sent after the bound` });
  }
  fleet.wrongSets([BAD_PART]).refused.forEach((traits) => {
    violations.push({ kind: 'cut-off', detail: `sound requests with ${traits} are refused` });
  });
  return { violations, strikeCount: 1, isReached: fleet.counts.badRefused > 0 };
}
