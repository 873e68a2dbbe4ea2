/** Spread at full size on a virtual clock: how long and how many bytes, without sockets. */
import * as figures from './figures.js';
import * as pureFleet from './pure-fleet.js';

const STEP_MS = 50;
const LIMIT_MS = 300_000;
const START_SPACING_MS = 5;
const SETTLE_MS = 60_000;
const CUT_MS = 300_000;
const SUBMIT_TIMEOUT_MS = 5_000;
const ATTRIBUTES_BYTES = 300;
const ATTRIBUTES_OLD_MS = 20_000;
const ATTRIBUTE_RATES = [0.1, 0.5, 2];

type Report = (part: string, result: unknown) => void;

type Cost = {
  callsPerDaemon: number;
  payloadBytesPerDaemon: number;
  configBytesPerDaemon: number;
  storeCalls: number;
};

/** Each call is sent by one daemon and answered by another: its bytes count at both. */
const ENDS = 2;

function costSince(
  fleet: pureFleet.PureFleet,
  before: pureFleet.Traffic,
  storeCallsBefore: number,
): Cost {
  const now = fleet.traffic();
  const count = fleet.nodes.length;
  return {
    callsPerDaemon: figures.round((ENDS * (now.calls - before.calls)) / count),
    payloadBytesPerDaemon: Math.round((ENDS * (now.payloadBytes - before.payloadBytes)) / count),
    configBytesPerDaemon: Math.round((ENDS * (now.configBytes - before.configBytes)) / count),
    storeCalls: fleet.storeCalls() - storeCallsBefore,
  };
}

/** Seconds until half, all but one in a hundred, and all of the nodes are `done`. */
async function measureSpread(
  fleet: pureFleet.PureFleet,
  nodes: readonly pureFleet.PureNode[],
  isDone: (node: pureFleet.PureNode) => boolean,
): Promise<{ half: number | null; most: number | null; all: number | null }> {
  const startedMs = fleet.clock.nowMs();
  const reached = { half: null, most: null, all: null } as Record<string, number | null>;
  let waiting = nodes.filter((node) => !isDone(node));
  const shares: [string, number][] = [
    ['half', 0.5],
    ['most', 0.01],
    ['all', 0],
  ];
  for (;;) {
    const elapsedMs = fleet.clock.nowMs() - startedMs;
    for (const [name, share] of shares) {
      if (waiting.length <= share * nodes.length) reached[name] ??= elapsedMs / 1_000;
    }
    if (waiting.length === 0 || elapsedMs > LIMIT_MS) break;
    await fleet.clock.advance(STEP_MS);
    waiting = waiting.filter((node) => !isDone(node));
  }
  return { half: reached.half ?? null, most: reached.most ?? null, all: reached.all ?? null };
}

async function measured<Result>(
  fleet: pureFleet.PureFleet,
  act: () => Promise<Result>,
): Promise<{ result: Result; cost: Cost; seconds: number; cpuMsPerDaemonSecond: number }> {
  const [before, storeCallsBefore] = [fleet.traffic(), fleet.storeCalls()];
  const [startedMs, cpuBefore] = [fleet.clock.nowMs(), process.cpuUsage()];
  const result = await act();
  const seconds = (fleet.clock.nowMs() - startedMs) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const cpuMs = (cpu.user + cpu.system) / 1_000;
  return {
    result,
    cost: costSince(fleet, before, storeCallsBefore),
    seconds,
    cpuMsPerDaemonSecond: figures.round(cpuMs / fleet.nodes.length / seconds),
  };
}

function createDocument(): { models: Record<string, Record<string, string | number>> } {
  const names = Array.from({ length: 1_600 }, (_, index) => `model-${index}`);
  const model = { pool: 'jury-models', sizeBytes: 16_000_000_000, targetMs: 680, priority: 'high' };
  return { models: Object.fromEntries(names.map((name) => [name, model])) };
}

async function patch(fleet: pureFleet.PureFleet): Promise<number> {
  const author = fleet.nodes[0];
  const held = author?.follower.current();
  const document = held?.document ?? createDocument();
  const changed = { ...document.models['model-7'], changedAtMs: fleet.clock.nowMs() };
  let version = 0;
  const submitted = author?.config.submit(
    {
      operator: 'bench',
      patch: {},
      againstVersion: held?.version ?? 0,
      document: { models: { ...document.models, 'model-7': changed } },
    },
    fleet.clock.nowMs() + SUBMIT_TIMEOUT_MS,
  );
  void submitted?.then((done) => {
    version = done.ok ? done.val.version : -1;
  });
  while (version === 0) await fleet.clock.advance(1);
  return version;
}

function spreadOfPatch(fleet: pureFleet.PureFleet) {
  return measured(fleet, async () => {
    const version = await patch(fleet);
    return measureSpread(fleet, fleet.nodes, (node) => node.follower.version() >= version);
  });
}

/** Until nobody would choose the members any more. */
function spreadOfAbsence(fleet: pureFleet.PureFleet, gone: ReadonlySet<string>) {
  const others = fleet.nodes.filter((node) => !gone.has(node.memberId));
  return measureSpread(fleet, others, (node) =>
    [...gone].every((memberId) => node.membership.find(memberId)?.status !== 'alive'),
  );
}

/** Until everybody knows everybody's present incarnation as alive. */
function spreadOfViews(fleet: pureFleet.PureFleet) {
  return measureSpread(fleet, fleet.nodes, (node) => {
    if (node.membership.members().length < fleet.nodes.length) return false;
    return fleet.nodes.every((other) => {
      const member = node.membership.find(other.memberId);
      return member?.incarnation === other.incarnation && member.status === 'alive';
    });
  });
}

async function restartAll(fleet: pureFleet.PureFleet, indexes: readonly number[]): Promise<void> {
  for (const index of indexes) {
    const before = fleet.nodes[index];
    fleet.kill(index);
    fleet.start(index, (before?.incarnation ?? 0) + 1);
  }
}

function indexesWhere(
  fleet: pureFleet.PureFleet,
  isChosen: (node: pureFleet.PureNode) => boolean,
): number[] {
  return fleet.nodes.flatMap((node, index) => (isChosen(node) ? [index] : []));
}

export async function runPure(memberCount: number, report: Report): Promise<void> {
  const fleet = pureFleet.createPureFleet();
  const { clock } = fleet;

  report(
    'cold-start',
    await measured(fleet, async () => {
      for (let index = 0; index < memberCount; index += 1) {
        fleet.start(index, 1);
        await clock.advance(START_SPACING_MS);
      }
      return spreadOfViews(fleet);
    }),
  );
  await clock.advance(SETTLE_MS);
  report('first-version', await spreadOfPatch(fleet));
  await clock.advance(SETTLE_MS);
  report('steady', await measured(fleet, () => clock.advance(SETTLE_MS)));
  for (let count = 0; count < 3; count += 1) {
    report('patch', await spreadOfPatch(fleet));
    await clock.advance(SETTLE_MS);
  }

  report(
    'leaving',
    await measured(fleet, () => {
      fleet.nodes[10]?.membership.leave();
      return spreadOfAbsence(fleet, new Set([fleet.nodes[10]?.memberId ?? '']));
    }),
  );
  report(
    'killed',
    await measured(fleet, () => {
      fleet.kill(11);
      return spreadOfAbsence(fleet, new Set([fleet.nodes[11]?.memberId ?? '']));
    }),
  );
  await restartAll(fleet, [10, 11]);
  report('two-restarted', await measured(fleet, () => spreadOfViews(fleet)));
  await clock.advance(SETTLE_MS);

  report('tenth-restarts', await measureTenth(fleet));
  await clock.advance(SETTLE_MS);
  report('steady-after', await measured(fleet, () => clock.advance(SETTLE_MS)));

  fleet.store.setFault({ kind: 'outage', retryAfterMs: 1_000 });
  report('store-down-steady', await measured(fleet, () => clock.advance(SETTLE_MS)));
  fleet.store.setFault({ kind: 'none' });
  await clock.advance(SETTLE_MS);

  await runDomainLoss(fleet, report);
  await runRegionCut(fleet, report);
}

/** Agents' ready models change, so many times a second in the whole fleet. */
async function changeAttributes(fleet: pureFleet.PureFleet, perSecond: number) {
  const { clock } = fleet;
  const changedAtMs = new Map<string, number>();
  for (let count = 0; count < (SETTLE_MS / 1_000) * perSecond; count += 1) {
    const node = fleet.nodes[(count * 37) % fleet.nodes.length];
    // A dozen names of ready models.
    node?.membership.setAttributes(Buffer.from(`${count}`.padEnd(ATTRIBUTES_BYTES, 'x')));
    if (node !== undefined) changedAtMs.set(node.memberId, clock.nowMs());
    await clock.advance(1_000 / perSecond);
  }
  const isOld = (memberId: string) =>
    (changedAtMs.get(memberId) ?? 0) < clock.nowMs() - ATTRIBUTES_OLD_MS;
  const old = [...changedAtMs.keys()].filter(isOld);
  const isStale = (node: pureFleet.PureNode, memberId: string) => {
    const author = fleet.nodes.find((other) => other.memberId === memberId);
    const seen = node.membership.find(memberId)?.attributes.toString();
    return seen !== author?.membership.self().attributes.toString();
  };
  const staleCount = fleet.nodes
    .map((node) => old.filter((memberId) => isStale(node, memberId)).length)
    .reduce((sum, count) => sum + count, 0);
  return {
    changesPerSecond: perSecond,
    /** Of the views of records that changed more than 20 s ago, how many show the earlier one. */
    staleShare: figures.round(staleCount / Math.max(1, old.length * fleet.nodes.length)),
  };
}

/** What changed attributes cost, and how many processes they do not reach. */
export async function runAttributes(memberCount: number, report: Report): Promise<void> {
  const fleet = pureFleet.createPureFleet();
  for (let index = 0; index < memberCount; index += 1) {
    fleet.start(index, 1);
    await fleet.clock.advance(START_SPACING_MS);
  }
  await spreadOfViews(fleet);
  await fleet.clock.advance(SETTLE_MS);
  for (const perSecond of ATTRIBUTE_RATES) {
    const run = () => changeAttributes(fleet, perSecond);
    report('attributes', await measured(fleet, run));
  }
}

async function measureTenth(fleet: pureFleet.PureFleet) {
  const chosen = indexesWhere(fleet, (node) => fleet.nodes.indexOf(node) % 10 === 9);
  return measured(fleet, async () => {
    await restartAll(fleet, chosen);
    const views = await spreadOfViews(fleet);
    await fleet.clock.advance(SETTLE_MS);
    return { restartedCount: chosen.length, views };
  });
}

async function runDomainLoss(fleet: pureFleet.PureFleet, report: Report): Promise<void> {
  const lost = indexesWhere(fleet, (node) => node.failureDomain === 'domain-3');
  const lostIds = new Set(lost.map((index) => fleet.nodes[index]?.memberId ?? ''));
  report(
    'domain-lost',
    await measured(fleet, async () => {
      lost.forEach((index) => fleet.kill(index));
      const absence = await spreadOfAbsence(fleet, lostIds);
      await fleet.clock.advance(SETTLE_MS);
      return { lostCount: lost.length, absence };
    }),
  );
  report(
    'domain-back',
    await measured(fleet, async () => {
      await restartAll(fleet, lost);
      const views = await spreadOfViews(fleet);
      await fleet.clock.advance(SETTLE_MS);
      return views;
    }),
  );
}

async function runRegionCut(fleet: pureFleet.PureFleet, report: Report): Promise<void> {
  const regionOf = new Map(fleet.nodes.map((node) => [node.address, node.region]));
  const isCut = (address: string) => regionOf.get(address) === 'region-0';
  report(
    'region-cut',
    await measured(fleet, async () => {
      fleet.network.setLoss((from, to) => isCut(from) !== isCut(to));
      await fleet.clock.advance(CUT_MS);
      return fleet.nodes[0]?.membership.members().length;
    }),
  );
  fleet.network.setLoss(() => false);
  report('region-healed', await measured(fleet, () => spreadOfViews(fleet)));
}
