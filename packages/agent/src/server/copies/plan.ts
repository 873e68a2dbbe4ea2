/**
 * What the engine's memory should change to next, from what is wanted and what is charged. Nothing
 * is sent here: the plan reserves memory in the ledger and names the orders.
 */
import type { schema } from '@copperlever/configuration';
import { modelRotation } from '@copperlever/decisions';

import type * as ledgers from '../../shared/memory-ledger.js';
import * as needs from '../../shared/needs.js';
import * as room from '../../shared/room.js';
import type * as wants from './wants.js';

export type Plan = {
  /** Reserved copies whose load is to be ordered now. */
  loads: ledgers.SizedCopy[];
  /** Keys of copies that take no new work and are unloaded once nothing runs on them. */
  leavingKeys: Set<string>;
  /** Wants that cannot be met here as things are. */
  impossible: wants.Want[];
  /** Copies that must not leave before another agent holds the model. */
  stuckNames: string[];
  /** When to plan again, if nothing happens before. */
  planAgainAtMs: number | null;
};

export type PlanInput = {
  document: schema.Document;
  upstreamId: string;
  nowMs: number;
  ledger: ledgers.MemoryLedger;
  wants: readonly wants.Want[];
  isFloorHere: (name: string) => boolean;
  isHeld: (copy: ledgers.CopyId) => boolean;
  lastUsedMs: (name: string) => number;
  readySinceMs: (copy: ledgers.CopyId) => number;
  /** Whether an order without an answer may be sent again: it is charged already. */
  mayResend: (copy: ledgers.CopyId) => boolean;
  /** Whether the want may take the place of last copies: not all models fit, and it is nowhere. */
  mayTakeTurn: (want: wants.Want) => boolean;
  loadTookMs: (copy: ledgers.SizedCopy) => number;
  /** Whether the last order for the copy is long enough ago. */
  isDue: (copy: ledgers.CopyId) => boolean;
  /** What the engine says it has; null before its first report. */
  engineMemoryBytes: number | null;
  /** Whether the engine has the name ready in any version. */
  isNameReady: (name: string) => boolean;
};

/** A model that waits for its turn is looked at again this often. */
const TURN_CHECK_MS = 200;

export function keyOf(copy: ledgers.CopyId): string {
  return `${copy.name}@${copy.version}`;
}

export function createPlan(input: PlanInput): Plan {
  const { document, ledger, nowMs } = input;
  const plan: Plan = {
    loads: [],
    leavingKeys: new Set(),
    impossible: [],
    stuckNames: [],
    planAgainAtMs: null,
  };
  /** Memory that earlier, blocked wants wait for: later ones must not take it from them. */
  let promisedBytes = 0;

  function isLeaving(charge: ledgers.Charge): boolean {
    return charge.state === 'unloading' || plan.leavingKeys.has(keyOf(charge));
  }

  /** What will be free once everything that leaves has left. */
  function futureFreeBytes(): number {
    const leavingBytes = ledger
      .charges()
      .filter(isLeaving)
      .reduce((sumBytes, charge) => sumBytes + charge.sizeBytes, 0);
    return ledger.freeBytes() + leavingBytes - promisedBytes;
  }

  function leaversBeside(names: readonly string[]): room.Leaver[] {
    return ledger
      .charges()
      .filter((charge) => charge.state === 'ready' && !isLeaving(charge))
      .filter((charge) => !names.includes(charge.name))
      .map((charge) => ({
        ...charge,
        lastUsedMs: input.lastUsedMs(charge.name),
        readySinceMs: input.readySinceMs(charge),
        isFloor: input.isFloorHere(charge.name),
        isInUse: input.isHeld(charge),
      }));
  }

  function planAgainAt(atMs: number): void {
    plan.planAgainAtMs = Math.min(plan.planAgainAtMs ?? atMs, atMs);
  }

  /** Reserves `copies` if they fit now; otherwise lets others leave for them. */
  function makeRoom(
    copies: readonly ledgers.SizedCopy[],
    keepNames: readonly string[],
  ): 'reserved' | 'waiting' | 'impossible' {
    const neededBytes = copies.reduce((sumBytes, copy) => sumBytes + copy.sizeBytes, 0);
    const found = room.planRoom({
      neededBytes,
      freeBytes: futureFreeBytes(),
      leavers: leaversBeside(keepNames),
      minimumStayMs: document.policy.moveCostMs,
      nowMs,
    });
    if (found.kind === 'impossible') return 'impossible';
    if (found.kind === 'fits' && copies.every((copy) => ledger.reserve(copy))) return 'reserved';
    copies.forEach((copy) => ledger.cancelReservation(copy));
    if (found.kind === 'after-leaving') {
      found.leavers.forEach((leaver) => plan.leavingKeys.add(keyOf(leaver)));
    }
    if (found.kind === 'not-yet') planAgainAt(found.tryAtMs);
    promisedBytes += neededBytes;
    return 'waiting';
  }

  function leaveObsolete(): void {
    for (const charge of ledger.charges()) {
      const configured = needs.configuredCopy(document, charge.name);
      const isServed = needs.isServedBy(document, charge.name, input.upstreamId);
      const isReplaced =
        configured !== null &&
        configured.version !== charge.version &&
        ledger.find(configured)?.state === 'ready';
      if (configured === null || !isServed || isReplaced) plan.leavingKeys.add(keyOf(charge));
    }
  }

  /** The configuration took memory away, or a copy turned out larger than it was said to be. */
  function leaveExcess(): void {
    if (futureFreeBytes() >= 0) return;
    makeRoom([], []);
  }

  /** An adapter is of no use without its model. */
  function leaveOrphans(): void {
    for (const charge of ledger.charges()) {
      const model = document.adapters[charge.name]?.model;
      if (model === undefined || charge.state !== 'ready') continue;
      const isBase = (other: ledgers.Charge) => other.name === model && !isLeaving(other);
      if (!ledger.charges().some(isBase)) plan.leavingKeys.add(keyOf(charge));
    }
  }

  function missingOf(want: wants.Want): ledgers.SizedCopy[] {
    return needs
      .copiesFor(document, want.target)
      .filter((copy) => ledger.find(copy) === undefined && !input.isNameReady(copy.name));
  }

  /** An adapter's load is ordered once its base model is there. */
  function orderReserved(copies: readonly ledgers.SizedCopy[]): void {
    for (const copy of copies) {
      const charge = ledger.find(copy);
      if (charge?.state === 'reserved') plan.loads.push(copy);
      else if (charge !== undefined && input.mayResend(copy)) plan.loads.push(copy);
      if (!input.isNameReady(copy.name)) return;
    }
  }

  /** So many VMs are lost that the last copies do not fit any more: models take turns. */
  function takeTurn(
    want: wants.Want,
    missing: readonly ledgers.SizedCopy[],
    names: readonly string[],
  ): 'waiting' | 'impossible' {
    const sizeBytes = missing.reduce((sumBytes, copy) => sumBytes + copy.sizeBytes, 0);
    if (sizeBytes > input.ledger.capacityBytes()) return 'impossible';
    const charges = leaversBeside(names);
    const resident = charges.map((charge) => ({
      model: keyOf(charge),
      sizeBytes: charge.sizeBytes,
      loadedAtMs: charge.readySinceMs,
      loadTookMs: input.loadTookMs(charge),
      runningCount: charge.isInUse ? 1 : 0,
      oldestDeadlineMs: Number.POSITIVE_INFINITY,
    }));
    const waiting = [{ model: want.target, sizeBytes, oldestDeadlineMs: want.askedAtMs }];
    const turn = modelRotation.chooseRotationStep(waiting, resident, futureFreeBytes(), nowMs);
    switch (turn.kind) {
      case 'load':
        turn.displaced.forEach((key) => plan.leavingKeys.add(key));
        break;
      case 'drain':
        turn.draining.forEach((key) => plan.leavingKeys.add(key));
        break;
      case 'wait':
    }
    promisedBytes += sizeBytes;
    planAgainAt(nowMs + TURN_CHECK_MS);
    return 'waiting';
  }

  function meet(want: wants.Want): void {
    const copies = needs.copiesFor(document, want.target);
    const missing = missingOf(want);
    const names = copies.map((copy) => copy.name);
    const found = missing.length === 0 ? 'reserved' : makeRoom(missing, names);
    const isTurn = found === 'impossible' && input.mayTakeTurn(want);
    const made = isTurn ? takeTurn(want, missing, names) : found;
    if (made === 'impossible') plan.impossible.push(want);
    else if (made === 'reserved' && want.tryAtMs <= nowMs) orderReserved(copies);
    if (want.tryAtMs > nowMs) planAgainAt(want.tryAtMs);
  }

  /**
   * A new version is loaded beside the old one, which serves until then. Where both do not fit, the
   * old one leaves first only if another agent keeps the model reachable.
   */
  function renew(charge: ledgers.Charge): void {
    const configured = needs.configuredCopy(document, charge.name);
    if (configured === null || configured.version === charge.version) return;
    if (isLeaving(charge)) return;
    const found = ledger.find(configured);
    if (found !== undefined && found.state !== 'reserved') return;
    const made = makeRoom([configured], [charge.name]);
    if (made === 'reserved' && input.isDue(configured)) plan.loads.push(configured);
    if (made !== 'impossible') return;
    if (input.isFloorHere(charge.name)) plan.stuckNames.push(charge.name);
    else plan.leavingKeys.add(keyOf(charge));
  }

  function growCharges(): void {
    for (const charge of ledger.charges()) {
      const configured = needs.configuredCopy(document, charge.name);
      if (configured?.version === charge.version) ledger.grow(configured);
    }
  }

  ledger.charges().forEach((charge) => ledger.cancelReservation(charge));
  ledger.setCapacityBytes(
    Math.min(
      needs.capacityBytes(document, input.upstreamId),
      input.engineMemoryBytes ?? Number.POSITIVE_INFINITY,
    ),
  );
  growCharges();
  leaveObsolete();
  leaveExcess();
  input.wants.forEach(meet);
  ledger.charges().forEach(renew);
  leaveOrphans();
  return plan;
}
