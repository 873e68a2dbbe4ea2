/** An upstream that names a limit of requests a second, and what reaches it from all gateways under faults. */
import * as limitFleets from '@copperlever/gateway/testing/limit-fleet';
import { randoms } from '@copperlever/runtime';

import type * as invariants from './invariants.js';

export type LimitFault = {
  name: string;
  limitAt: (sinceNamedMs: number) => number | null;
  events: readonly limitFleets.GatewayEvent[];
};

export const FLEET_SIZES = [1, 4, 23];

const PER_SECOND = 1.7;
const ASKED_PER_SECOND = 30;
const LENGTH_MS = 26_000;
const SEED = 29;
const STRIKE_MS = 9_000;
const CHANGE_AFTER_MS = 9_000;

const steady = () => PER_SECOND;

function struck(kind: 'restart' | 'join' | 'leave', gateway: number): limitFleets.GatewayEvent {
  return { kind, gateway, atMs: STRIKE_MS };
}

export const FAULTS: readonly LimitFault[] = [
  { name: 'a limit is named', limitAt: steady, events: [] },
  {
    name: 'a limit falls to nothing',
    limitAt: (atMs) => (atMs < CHANGE_AFTER_MS ? 11 : 0),
    events: [],
  },
  {
    name: 'a limit ends and is named again',
    limitAt: (atMs) =>
      atMs > CHANGE_AFTER_MS && atMs < CHANGE_AFTER_MS + 1_000 ? null : PER_SECOND,
    events: [],
  },
  { name: 'the holder of the lease is killed', limitAt: steady, events: [struck('leave', 0)] },
  { name: 'the holder of the lease restarts', limitAt: steady, events: [struck('restart', 0)] },
  { name: 'a gateway restarts', limitAt: steady, events: [struck('restart', 1)] },
  { name: 'a gateway is added', limitAt: steady, events: [struck('join', 2)] },
  {
    name: 'a gateway is cut off from the others',
    limitAt: steady,
    events: [{ kind: 'cut', atMs: STRIKE_MS, gateway: 1, forMs: 6_000 }],
  },
];

export async function runCell(
  { limitAt, events }: LimitFault,
  gatewayCount: number,
): Promise<invariants.CellOutcome> {
  const { NAMED_FROM_MS } = limitFleets;
  const load: limitFleets.LimitLoad = {
    gatewayCount,
    weights: Array.from({ length: gatewayCount }, () => 1),
    askedPerSecond: ASKED_PER_SECOND,
    limitAt: (atMs) => (atMs < NAMED_FROM_MS ? null : limitAt(atMs - NAMED_FROM_MS)),
    events,
    lengthMs: LENGTH_MS,
  };
  const outcome = await limitFleets.playLimit(load, randoms.createRandom(SEED));
  const [worst] = limitFleets
    .findExcess(load, outcome)
    .sort((left, right) => right.count - left.count);
  const violations: invariants.Violation[] =
    worst === undefined
      ? []
      : [
          {
            kind: 'over-limit',
            detail: `${worst.count} in four seconds, ${worst.allowed} allowed`,
          },
        ];
  const isReached = outcome.arrivals.some(({ wasTold }) => wasTold);
  return { violations, strikeCount: events.length, isReached };
}
