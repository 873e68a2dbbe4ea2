/** Streams that callers take up at other gateways while several software versions serve, and at which version they go on. */
import * as originFleets from '@copperlever/gateway/testing/origin-fleet';

import type * as invariants from './invariants.js';

export type StreamFault = {
  name: string;
  /** Done before the release. */
  prepare?: (fleet: originFleets.OriginFleet) => void;
  /** Done after the first events; streams that began at `g1` are taken up at `g3`. */
  strike: (fleet: originFleets.OriginFleet) => Promise<void>;
  /** Whether the gateway that takes streams up can know what began them. */
  canKnow: boolean;
};

/** When the streams begin, against the release of a second version. */
export const STEPS = ['before the release', 'as it begins', 'after it'] as const;

export type Step = (typeof STEPS)[number];

const GATEWAY_COUNT = 5;
const STREAM_COUNT = 20;
const SEED = 44;
const SETTLED_MS = 3_000;
/** A caller notices that its stream has broken off, and comes back. */
const COME_BACK_MS = 30;
const LOOKUP_MS = 300;
const RESTART_MS = 1_500;
const BEGIN_MS: Record<Step, number> = {
  'before the release': -500,
  'as it begins': 100,
  'after it': SETTLED_MS,
};

async function startAgain(fleet: originFleets.OriginFleet, gatewayId: string): Promise<void> {
  fleet.kill(gatewayId);
  fleet.start(gatewayId);
  await fleet.clock.advance(RESTART_MS);
}

export const FAULTS: readonly StreamFault[] = [
  { name: 'taken up at another gateway', strike: async () => {}, canKnow: true },
  { name: 'the first gateway ends', strike: async (fleet) => fleet.kill('g1'), canKnow: true },
  {
    name: 'the first gateway and another end',
    strike: async (fleet) => ['g1', 'g2'].forEach(fleet.kill),
    canKnow: true,
  },
  {
    name: 'all start again in turn',
    strike: async (fleet) => {
      for (const gatewayId of [...fleet.nodes.keys()]) await startAgain(fleet, gatewayId);
    },
    canKnow: true,
  },
  {
    name: 'the one that takes up has just started',
    strike: (fleet) => startAgain(fleet, 'g3'),
    canKnow: true,
  },
  {
    name: 'the one that takes up is cut off, with an old list',
    prepare: (fleet) => {
      fleet.isolated.add('g3');
      fleet.withoutStore.add('g3');
    },
    strike: async () => {},
    canKnow: false,
  },
  {
    name: 'all start again at once',
    strike: async (fleet) => {
      const ids = [...fleet.nodes.keys()];
      ids.forEach(fleet.kill);
      ids.forEach((gatewayId) => fleet.start(gatewayId));
      await fleet.clock.advance(RESTART_MS);
    },
    canKnow: false,
  },
];

async function beginAll(
  fleet: originFleets.OriginFleet,
  step: Step,
): Promise<originFleets.Begun[]> {
  const release = () => {
    fleet.list('u2', 'v2');
    fleet.list('u3', 'v2');
  };
  const begin = () =>
    Array.from({ length: STREAM_COUNT }, () => fleet.begin('g1')).flatMap((one) => one ?? []);
  const beginMs = BEGIN_MS[step];
  if (beginMs < 0) {
    const begun = begin();
    await fleet.clock.advance(-beginMs);
    release();
    await fleet.clock.advance(SETTLED_MS);
    return begun;
  }
  release();
  await fleet.clock.advance(beginMs);
  return begin();
}

export async function runCell(fault: StreamFault, step: Step): Promise<invariants.CellOutcome> {
  const fleet = originFleets.createOriginFleet({ gatewayCount: GATEWAY_COUNT, seed: SEED });
  fleet.list('u0', 'v1');
  fleet.list('u1', 'v1');
  fleet.startAll();
  await fleet.clock.advance(SETTLED_MS);
  fault.prepare?.(fleet);
  const begun = await beginAll(fleet, step);
  await fleet.clock.advance(COME_BACK_MS);
  await fault.strike(fleet);
  const violations: invariants.Violation[] = [];
  for (const stream of begun) {
    const taking = fleet.takeUp('g3', stream);
    await fleet.clock.advance(LOOKUP_MS);
    const taken = await taking;
    const detail = `${stream.requestId} began at ${stream.version}`;
    if (taken.kind === 'went-on' && taken.version !== stream.version) {
      violations.push({ kind: 'mixed-versions', detail: `${detail}, went on at ${taken.version}` });
    }
    if (taken.kind !== 'went-on' && fault.canKnow) {
      violations.push({ kind: 'cut-off', detail: `${detail}: ${taken.kind}` });
    }
  }
  fleet.stop();
  return { violations, strikeCount: 1, isReached: begun.length > 0 };
}
