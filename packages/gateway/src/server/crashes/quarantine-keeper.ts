/**
 * Keeps the quarantine in the platform's store, so that it outlives the gateways that decided it, and reads it from there at the
 * start. A gateway that begins to serve before it knows it would send to upstreams what all others refuse.
 */
import { clocks as clocksModule } from '@copperlever/runtime';
import type { clocks } from '@copperlever/runtime';
import * as steps from '@copperlever/runtime/steps';

import * as quarantines from '../../shared/crashes/quarantine.js';
import * as requestTraits from '../../shared/crashes/request-traits.js';
import * as rendezvous from '../../shared/rendezvous.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';
import type * as crashTrackers from './crash-tracker.js';

export type QuarantineKeeperDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  store: Pick<stores.RecordStore, 'list' | 'get' | 'put' | 'era'>;
  quarantine: Pick<quarantines.Quarantine, 'entries'>;
  applyEntries: crashTrackers.CrashTracker['applyEntries'];
  isHolder: () => boolean;
  gatewayId: string;
};

export type QuarantineKeeper = {
  start: () => void;
  stop: () => void;
  /** Whether all that stands has been heard since the start, from the store or from a gateway that had heard it. */
  isKnown: () => boolean;
  /** A gateway that knows all has told it. */
  noteKnown: () => void;
  /** Something was decided here: it is written down at once. */
  wake: () => void;
  /**
   * Writes down that one more request is let through, unless another gateway has done so: what is not counted could be let through
   * again after a start. Returns whether it may be.
   */
  claim: (entry: quarantines.QuarantineEntry) => Promise<boolean>;
};

const CALL_TIMEOUT_MS = 1_000;
const START_PAUSE_MS = 100;
/** Beyond that a gateway that nobody tells serves without: one that never starts does more harm. */
const START_MAX_MS = 8_000;
const SAVE_PAUSE_MS = 1_000;
/** How soon the fleet hears that an operator has lifted an entry; one call of one gateway, while there are entries. */
const POLL_MS = 10_000;
const NAME_LENGTH = 32;

function nameOf(key: string): string {
  return rendezvous.scoreOf('quarantine', key).slice(0, NAME_LENGTH);
}

function stateOf({ epoch, state }: Pick<quarantines.QuarantineEntry, 'epoch' | 'state'>): string {
  return `${epoch} ${state}`;
}

function stateFrom({
  isLifted,
  isSuspected,
}: Pick<stores.QuarantineValue, 'isLifted' | 'isSuspected'>): quarantines.EntryState {
  if (isLifted) return 'lifted';
  return isSuspected ? 'suspected' : 'refused';
}

/** The build before refused parts that all requests have, without proof: its decisions about parts are tried as guesses are. */
function longestMs({ trialCount, isCommon, traits }: stores.QuarantineValue): number {
  const isWholeRequest = traits.some((trait) => requestTraits.toFingerprint(trait) !== null);
  if (isCommon === null && !isWholeRequest) return quarantines.GUESS_MS;
  return quarantines.refusalMs(trialCount, isCommon ?? false);
}

/** A suspicion with a single end is hardly ever more than chance, and neither it nor its end is worth a call to the store. */
function isKept({ crashCount }: quarantines.QuarantineEntry): boolean {
  return crashCount !== 1;
}

export function createQuarantineKeeper(deps: QuarantineKeeperDeps): QuarantineKeeper {
  const { clock, log, store } = deps;
  const stopping = new AbortController();
  /** The state of each entry as the store has it. */
  const saved = new Map<string, string>();
  let savedEra = 0;
  let isKnown = false;
  let polledMs = -Infinity;
  let wakeUp: () => void = () => {};

  function toValue(entry: quarantines.QuarantineEntry): stores.QuarantineValue {
    const { decidedAtMs, untilMs, state, ...rest } = entry;
    const offsetMs = clock.wallMs() - clock.nowMs();
    return {
      ...rest,
      isLifted: state === 'lifted',
      isSuspected: state === 'suspected',
      decidedAtWallMs: Math.round(decidedAtMs + offsetMs),
      untilWallMs: Math.round(untilMs + offsetMs),
    };
  }

  /** The time of day may have been changed since: nothing is refused for longer than a decision allows. */
  function fromValue(value: stores.QuarantineValue): quarantines.QuarantineEntry {
    const { decidedAtWallMs, untilWallMs, isLifted, isSuspected, ...rest } = value;
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const remainingMs = Math.min(untilWallMs - wallMs, longestMs(value));
    const ageMs = Math.max(0, wallMs - decidedAtWallMs);
    const traits = [...value.traits].sort();
    const state = stateFrom(value);
    const isCommon = value.isCommon ?? false;
    const times = { decidedAtMs: nowMs - ageMs, untilMs: nowMs + remainingMs };
    return { ...rest, state, traits, isCommon, ...times };
  }

  function take(value: stores.QuarantineValue): void {
    const entry = fromValue(value);
    saved.set(quarantines.keyOf(entry), stateOf(entry));
    deps.applyEntries([entry], 'store');
  }

  async function read(): Promise<boolean> {
    const listed = await store.list('quarantine', clock.nowMs() + CALL_TIMEOUT_MS);
    if (listed.err) return false;
    listed.val.records.forEach(({ value }) => take(value));
    return true;
  }

  /** What the store has may be later, since another gateway decided or an operator lifted it. Returns whether it was written. */
  async function save(entry: quarantines.QuarantineEntry): Promise<boolean> {
    const key = quarantines.keyOf(entry);
    const name = nameOf(key);
    const found = await store.get('quarantine', name, clock.nowMs() + CALL_TIMEOUT_MS);
    if (found.err) return false;
    const present = found.val;
    if (present !== null && !quarantines.isLater(entry, fromValue(present.value))) {
      take(present.value);
      return false;
    }
    const revision = present?.revision ?? null;
    const deadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const put = await store.put('quarantine', name, toValue(entry), revision, deadlineMs);
    if (put.ok) saved.set(key, stateOf(entry));
    return put.ok;
  }

  async function saveAll(): Promise<void> {
    if (store.era() !== savedEra) {
      // The store came back from a copy, which may lack what was written since.
      savedEra = store.era();
      saved.clear();
    }
    const unsaved = deps.quarantine
      .entries(clock.nowMs())
      .filter((entry) => isKept(entry) && (entry.decidedBy === deps.gatewayId || deps.isHolder()))
      .filter((entry) => saved.get(quarantines.keyOf(entry)) !== stateOf(entry));
    for (const entry of unsaved) await save(entry);
  }

  async function poll(): Promise<void> {
    const nowMs = clock.nowMs();
    const isDue = nowMs - polledMs >= POLL_MS && deps.isHolder();
    if (!isDue || deps.quarantine.entries(nowMs).length === 0) return;
    polledMs = nowMs;
    await read();
  }

  async function learn(): Promise<void> {
    const startedMs = clock.nowMs();
    while (!isKnown && !stopping.signal.aborted) {
      const isRead = await read();
      const waitedMs = clock.nowMs() - startedMs;
      if (!isRead && !isKnown && waitedMs >= START_MAX_MS) {
        log.warn('quarantine-unknown', { waitedMs: Math.round(waitedMs) });
      }
      isKnown = isKnown || isRead || waitedMs >= START_MAX_MS;
      if (!isKnown) {
        await clocksModule.sleepUntil(clock, clock.nowMs() + START_PAUSE_MS, stopping.signal);
      }
    }
  }

  async function pause(): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      wakeUp = resolve;
    });
    await clocksModule.raceDeadline(clock, clock.nowMs() + SAVE_PAUSE_MS, woken);
  }

  async function run(): Promise<void> {
    await learn();
    while (!stopping.signal.aborted) {
      await steps.guard(log, 'quarantine-save', saveAll);
      await steps.guard(log, 'quarantine-poll', poll);
      await pause();
    }
  }

  return {
    start: () => void run(),
    stop: () => {
      stopping.abort();
      wakeUp();
    },
    isKnown: () => isKnown,
    noteKnown: () => {
      isKnown = true;
    },
    wake: () => wakeUp(),
    claim: save,
  };
}
