/** The journey of a configuration patch, with a fault on its way. */
import { configStore, type configTypes, documentCodec } from '@copperlever/coordination';
import type { schema } from '@copperlever/configuration';
import { randoms, type results } from '@copperlever/runtime';
import * as hashes from '@copperlever/runtime/hashes';

import * as documents from '../harness/documents.js';
import * as fleets from '../harness/fleet.js';
import * as networks from '../harness/network.js';
import * as processes from '../harness/processes.js';
import * as stores from '../harness/stores.js';
import type * as faults from './faults.js';
import * as invariants from './invariants.js';

export const STEPS = ['read', 'written', 'answered', 'spread', 'in force'] as const;

export type Step = (typeof STEPS)[number];

type Document = schema.Document;
type SubmitResult = results.Result<configTypes.ConfigVersion<Document>, configTypes.ConfigError>;

/** What an operator was told of one patch; null while there is no answer. */
export type Submitted = { operator: string; version: number; told: SubmitResult | null };

const SUBMIT_MS = 20_000;
const REPLACE_AFTER_MS = 3_000;
const HEAL_MS = 25_000;
const MESSAGE_COUNTS = [1, 6];
const HISTORY_MAX = 100;
const POLL_MS = 50;

/** An operator's command line: a process of its own, at the object API. */
function createOperator(fleet: fleets.Fleet, name: string) {
  const process = processes.createProcess(name, fleet.clock);
  const store = stores.createProcessStore(process, fleet.store, fleet.clock, () => {});
  const tools = {
    store: fleet.overrides.operatorStore?.(store) ?? store,
    codec: documentCodec.createJsonCodec<Document>(),
    clock: process.clock,
    random: randoms.createRandom(hashes.hash32(name) % 2 ** 31),
  };
  return { process, config: configStore.createConfigStore<Document>(tools) };
}

export function submit(
  fleet: fleets.Fleet,
  name: string,
  submitted: Submitted[],
): { process: processes.FakeProcess; done: Promise<void> } {
  const operator = createOperator(fleet, name);
  const { clock } = fleet;
  async function run(): Promise<void> {
    const read = await operator.config.read(clock.nowMs() + SUBMIT_MS);
    if (read.err || read.val === null) return;
    const { version, document } = read.val;
    const moveCostMs = document.policy.moveCostMs + name.length;
    const patch = { policy: { moveCostMs } };
    const entry: Submitted = { operator: name, version: version + 1, told: null };
    submitted.push(entry);
    entry.told = await operator.config.submit(
      {
        operator: name,
        patch,
        againstVersion: version,
        document: { ...document, policy: { ...document.policy, moveCostMs } },
      },
      clock.nowMs() + SUBMIT_MS,
    );
  }
  return { process: operator.process, done: run() };
}

/** Notes every version that any process ever holds. */
export function watchVersions(fleet: fleets.Fleet, violations: invariants.Violation[]): void {
  const highest = new Map<string, number>();
  fleet.onVersion((process, version) => {
    const before = highest.get(process.name) ?? 0;
    highest.set(process.name, Math.max(before, version));
    if (version >= before) return;
    const detail = `${process.name} went from version ${before} to ${version}`;
    violations.push({ kind: 'reverted', detail });
  });
}

function living(fleet: fleets.Fleet) {
  return [...fleet.entries.values(), ...fleet.agents.values()].filter(({ process }) =>
    process.isRunning(),
  );
}

export function checkInForce(fleet: fleets.Fleet, version: number): invariants.Violation[] {
  return living(fleet)
    .filter(({ parts }) => parts.control.follower.version() < version)
    .map(({ process, parts }) => ({
      kind: 'not-in-force',
      detail: `${process.name} holds version ${parts.control.follower.version()} of ${version}`,
    }));
}

/** Each accepted patch is in the one line of history; a patch that was refused is not. */
export function checkHistory(
  history: readonly configTypes.AuditRecord[],
  submitted: readonly Submitted[],
): invariants.Violation[] {
  const found: invariants.Violation[] = [];
  history.forEach((record, index) => {
    if (record.version !== history.length - index || record.againstVersion !== record.version - 1) {
      found.push({ kind: 'history-broken', detail: `version ${record.version} is out of line` });
    }
  });
  for (const { operator, told } of submitted) {
    const isThere = history.some((record) => record.operator === operator);
    if (told?.ok && !isThere) {
      found.push({ kind: 'reverted', detail: `the accepted patch of ${operator} is gone` });
    }
    const isDenied = told?.err === true && told.val.kind !== 'outcome-unknown';
    if (isDenied && isThere) {
      const detail = `${operator} was told ${told.val.kind} and the patch is in force`;
      found.push({ kind: 'untruthful', detail });
    }
  }
  return found;
}

export async function readHistory(
  fleet: fleets.Fleet,
): Promise<readonly configTypes.AuditRecord[]> {
  const { config } = createOperator(fleet, 'auditor');
  const read = await fleet.runHere(config.history(HISTORY_MAX, fleet.clock.nowMs() + SUBMIT_MS));
  return read.ok ? read.val : [];
}

function followSteps(fleet: fleets.Fleet, onStep: (step: Step) => void): () => void {
  const reached = new Set<Step>();
  const reach = (step: Step) => {
    if (reached.has(step)) return;
    reached.add(step);
    onStep(step);
  };
  fleet.onWritten((key) => {
    if (key === configStore.HEAD_KEY) reach('written');
  });
  fleet.network.onArrival(({ kind }) => {
    if (kind === 'fetch-config' && reached.has('written')) reach('spread');
  });
  const check = () => {
    const versions = living(fleet).map(({ parts }) => parts.control.follower.version());
    if (versions.every((version) => version >= 2)) reach('in force');
    else fleet.clock.schedule(fleet.clock.nowMs() + POLL_MS, check);
  };
  check();
  return () => reach('answered');
}

async function runOnce(
  fault: faults.Fault,
  step: Step,
  messageCount: number,
  overrides?: fleets.Overrides,
): Promise<invariants.CellOutcome> {
  const fleet = await fleets.createFleet({ seed: messageCount, overrides });
  const violations: invariants.Violation[] = [];
  watchVersions(fleet, violations);
  await fleet.start();
  const submitted: Submitted[] = [];
  let strikeCount = 0;
  const running: Promise<void>[] = [];
  const scene: faults.Scene = {
    fleet,
    entryId: documents.ENTRY_IDS[0],
    upstreamId: 'jury-1',
    messageCount,
    replaceAfterMs: REPLACE_AFTER_MS,
    isDisturbed: networks.isControl,
    mark: 'rival',
    operators: {
      kill: () => first.process.kill(),
      pause: () => first.process.pause(),
      resume: () => first.process.resume(),
      race: () => {
        running.push(submit(fleet, 'rival-operator', submitted).done);
      },
    },
  };
  const strikeAt = (reached: Step) => {
    if (reached !== step) return;
    strikeCount += 1;
    fault.strike(scene);
  };
  const first = submit(fleet, 'first-operator', submitted);
  const reachAnswered = followSteps(fleet, strikeAt);
  strikeAt('read');
  running.push(first.done.then(reachAnswered));
  await fleet.clock.advance(HEAL_MS);
  const history = await readHistory(fleet);
  violations.push(
    ...checkHistory(history, submitted),
    ...checkInForce(fleet, history[0]?.version ?? 0),
    ...(await invariants.checkReachable(fleet)),
  );
  return { violations, strikeCount, isReached: strikeCount > 0 };
}

export async function runCell(
  fault: faults.Fault,
  step: Step,
  overrides?: fleets.Overrides,
): Promise<invariants.CellOutcome> {
  const outcomes: invariants.CellOutcome[] = [];
  for (const messageCount of MESSAGE_COUNTS) {
    outcomes.push(await runOnce(fault, step, messageCount, overrides));
  }
  return invariants.joinOutcomes(outcomes);
}
