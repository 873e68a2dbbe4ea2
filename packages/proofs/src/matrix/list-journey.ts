/** An upstream says that it leaves around the store's return from an older copy, and which gateways still offer it. */
import * as listFleets from '@copperlever/gateway/testing/list-fleet';

import type * as invariants from './invariants.js';

export type ListFault = {
  name: string;
  /** Done at the moment of the return. */
  beside: (fleet: listFleets.ListFleet) => void;
};

/** When the store has the word: its copy is taken at 3 s and it returns to it at 6 s. */
export const STEPS = ['before the copy', 'lost by the return', 'just after the return'] as const;

export type Step = (typeof STEPS)[number];

const GATEWAY_COUNT = 5;
const DRAIN_TIMEOUT_MS = 2_000;
const SEED = 14;
const STEP_MS = 20;
const COPY_MS = 3_000;
const RETURN_MS = 6_000;
const END_MS = 12_000;
/** What the return has lost is written again by then, and counts from then on. */
const WRITTEN_AGAIN_MS = 7_500;
const SAID_MS: Record<Step, number> = {
  'before the copy': 2_500,
  'lost by the return': 4_500,
  'just after the return': 6_200,
};
const UPSTREAM_IDS = ['u1', 'u2', 'u3', 'u4'];
const LEAVING_ID = 'u2';

export const FAULTS: readonly ListFault[] = [
  { name: 'the store returns from a copy', beside: () => {} },
  { name: 'the same, and the lease moves', beside: (fleet) => fleet.moveLease() },
  {
    name: 'the same, and the holder loses the store',
    beside: (fleet) => {
      fleet.holder().faults.store = 'silent';
    },
  },
  { name: 'the same, and a gateway is added', beside: (fleet) => void fleet.addGateway() },
];

export async function runCell(fault: ListFault, step: Step): Promise<invariants.CellOutcome> {
  const fleet = listFleets.createListFleet({
    gatewayCount: GATEWAY_COUNT,
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    seed: SEED,
  });
  const { clock, store } = fleet;
  const write = (id: string, state: 'ready' | 'draining') =>
    store.put(listFleets.upstream(id, state));
  UPSTREAM_IDS.forEach((id) => write(id, 'ready'));
  const saidMs = SAID_MS[step];
  const countsFromMs = step === 'lost by the return' ? WRITTEN_AGAIN_MS : saidMs;
  let goBack = () => {};
  const tasks = [
    {
      atMs: COPY_MS,
      run: () => {
        goBack = store.copy();
      },
    },
    { atMs: saidMs, run: () => write(LEAVING_ID, 'draining') },
    // Revisions that the return gives out again.
    {
      atMs: RETURN_MS - 1_000,
      run: () => UPSTREAM_IDS.slice(2).forEach((id) => write(id, 'ready')),
    },
    { atMs: RETURN_MS, run: () => [goBack, () => fault.beside(fleet)].forEach((task) => task()) },
    { atMs: WRITTEN_AGAIN_MS, run: () => write(LEAVING_ID, 'draining') },
  ];
  const late = new Map<string, number>();
  while (clock.nowMs() < END_MS) {
    const due = tasks.filter(({ atMs }) => atMs <= clock.nowMs());
    due.forEach((task) => tasks.splice(tasks.indexOf(task), 1));
    due.forEach(({ run }) => run());
    await clock.advance(STEP_MS);
    const nowMs = clock.nowMs();
    fleet.gateways
      .filter(({ directory }) => directory.mayGetWork(LEAVING_ID, nowMs))
      .filter(() => nowMs > countsFromMs + DRAIN_TIMEOUT_MS)
      .forEach(({ gatewayId }) => late.set(gatewayId, Math.round(nowMs - countsFromMs)));
  }
  const isReached = fleet.gateways.every(({ directory }) => directory.position().era === 1);
  fleet.stop();
  const violations = [...late].map(([gatewayId, lateMs]): invariants.Violation => ({
    kind: 'work-for-leaving',
    detail: `${gatewayId} offered it ${lateMs} ms after its word`,
  }));
  return { violations, strikeCount: 1, isReached };
}
