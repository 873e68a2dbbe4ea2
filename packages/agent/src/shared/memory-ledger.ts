/**
 * What an engine's memory is promised to. The agent charges a copy before it orders the load, and
 * takes the charge back only when the engine's own report proves that the memory is free.
 *
 * Orders and reports cross on their way, so the ledger numbers every event with a step of its own.
 * A report proves something only about what was settled before the report was asked for.
 */

export type CopyId = { name: string; version: string };

export type SizedCopy = CopyId & { sizeBytes: number };

/**
 * `reserved`: charged, its load order not sent yet. `unloading`: an unload is ordered, or the load
 * was refused; the charge waits for the report that shows the copy gone.
 */
export type ChargeState = 'reserved' | 'loading' | 'ready' | 'unloading';

/** One load order. `unknown`: its answer was lost, so it may act now, later or never. */
type LoadOrder = {
  orderId: string;
  fencingNumber: number;
  sentStep: number;
  answeredStep: number | null;
  isUnknown: boolean;
};

export type Charge = SizedCopy & {
  state: ChargeState;
  loadOrders: LoadOrder[];
  /** Whether an answer or a report accounts for the copy being in the engine's memory. */
  isSeen: boolean;
};

export type ReportedCopies = {
  /** What `reportRequested` gave when the report was asked for. */
  requestedStep: number;
  incarnation: number;
  copies: readonly (SizedCopy & { state: 'loading' | 'ready' })[];
};

export type MemoryLedger = {
  setCapacityBytes: (capacityBytes: number) => void;
  /** Charges a copy before its load is ordered; false when it does not fit. */
  reserve: (copy: SizedCopy) => boolean;
  find: (copy: CopyId) => Charge | undefined;
  /** The load never left this process: nothing can come of it. */
  cancelReservation: (copy: CopyId) => void;
  loadSent: (copy: CopyId, orderId: string, fencingNumber: number) => void;
  /** The engine took the order, refused it, or its answer was lost. */
  loadAnswered: (copy: CopyId, orderId: string, answer: 'taken' | 'refused' | 'unknown') => void;
  /** Whether the order may still act although nobody knows. */
  isOrderUnknown: (orderId: string) => boolean;
  /** An order that an earlier agent recorded, and that may still act. Charged even beyond capacity. */
  takeOver: (copy: SizedCopy, orderId: string, fencingNumber: number) => void;
  markUnloading: (copy: CopyId) => void;
  /** The copy is now said to need more; its charge never shrinks. */
  grow: (copy: SizedCopy) => void;
  /** The engine refuses every order with a lower number from now on. */
  fenceAcknowledged: (fencingNumber: number) => void;
  /** Whether a charge waits for a newer fencing number before a report can settle it. */
  needsFence: () => boolean;
  /** To be called when a report is asked for. */
  reportRequested: () => number;
  /** Takes over what the engine reports; `checksFencing` tells what a missing copy proves. */
  applyReport: (report: ReportedCopies, checksFencing: boolean) => 'applied' | 'restarted';
  charges: () => readonly Charge[];
  chargedBytes: () => number;
  freeBytes: () => number;
  capacityBytes: () => number;
};

function keyOf(copy: CopyId): string {
  return `${copy.name}@${copy.version}`;
}

export function createMemoryLedger(initialCapacityBytes: number): MemoryLedger {
  const charges = new Map<string, Charge>();
  let capacityBytes = initialCapacityBytes;
  let step = 0;
  let fence = { number: 0, step: 0 };
  let engine: { incarnation: number; heardStep: number } | null = null;

  function nextStep(): number {
    step += 1;
    return step;
  }

  function chargedBytes(): number {
    return [...charges.values()].reduce((sumBytes, charge) => sumBytes + charge.sizeBytes, 0);
  }

  function findOrder(copy: CopyId, orderId: string): LoadOrder | undefined {
    return charges.get(keyOf(copy))?.loadOrders.find((order) => order.orderId === orderId);
  }

  /**
   * Failure: an order that was answered late, lost or repeated loads the copy after a report showed
   * it absent. Symptom: its memory is given away twice. Enough for an engine that checks: it refuses
   * every order below the acknowledged number, so a report asked for after that tells the last word.
   */
  function isFenced(order: LoadOrder, requestedStep: number): boolean {
    return order.fencingNumber < fence.number && fence.step < requestedStep;
  }

  /**
   * An engine that ignores the number can be believed only about orders that it answered before the
   * report was asked for. An order without an answer stays charged until the engine restarts.
   */
  function isAnswered(order: LoadOrder, requestedStep: number): boolean {
    return order.answeredStep !== null && order.answeredStep < requestedStep;
  }

  function settleAbsent(charge: Charge, requestedStep: number, checksFencing: boolean): void {
    if (charge.state === 'reserved') return;
    const isSettled = checksFencing ? isFenced : isAnswered;
    if (charge.loadOrders.every((order) => isSettled(order, requestedStep))) {
      charges.delete(keyOf(charge));
      return;
    }
    const isBeforeAnswer = charge.loadOrders.some(
      (order) => order.answeredStep !== null && order.answeredStep >= requestedStep,
    );
    if (isBeforeAnswer) return;
    charge.isSeen = false;
    // Every order was answered and yet the copy is gone: the engine dropped it, or restarted.
    const isGone = charge.loadOrders.every((order) => isAnswered(order, requestedStep));
    if (isGone) charge.state = 'unloading';
    else if (charge.state === 'ready') charge.state = 'loading';
  }

  /** A copy that appears was brought by one order; without an answer, by one of the unknown ones. */
  function explainPresence(charge: Charge): void {
    if (charge.isSeen) return;
    charge.isSeen = true;
    const index = charge.loadOrders.findIndex((order) => order.isUnknown);
    const order = charge.loadOrders[index];
    if (order === undefined) return;
    order.isUnknown = false;
    order.answeredStep = nextStep();
  }

  function settlePresent(copy: ReportedCopies['copies'][number]): void {
    const charge = charges.get(keyOf(copy));
    if (charge === undefined) {
      charges.set(keyOf(copy), { ...copy, loadOrders: [], isSeen: true });
      return;
    }
    explainPresence(charge);
    charge.sizeBytes = Math.max(charge.sizeBytes, copy.sizeBytes);
    if (charge.state !== 'unloading') charge.state = copy.state;
  }

  /**
   * A connection belongs to one process: what was sent and given up while the engine's predecessor
   * was known to live is void. What was sent later may have reached the new process.
   */
  function voidOrdersBefore(heardStep: number): void {
    const isVoid = (order: LoadOrder) => order.isUnknown && order.sentStep < heardStep;
    for (const charge of charges.values()) {
      charge.loadOrders = charge.loadOrders.filter((order) => !isVoid(order));
    }
  }

  function noteIncarnation(report: ReportedCopies, checksFencing: boolean) {
    const isRestart = engine !== null && engine.incarnation !== report.incarnation;
    if (isRestart && engine !== null && !checksFencing) voidOrdersBefore(engine.heardStep);
    engine = { incarnation: report.incarnation, heardStep: report.requestedStep };
    return isRestart ? 'restarted' : 'applied';
  }

  function addOrder(charge: Charge, orderId: string, fencingNumber: number, isUnknown: boolean) {
    const sentStep = nextStep();
    const order = { orderId, fencingNumber, sentStep, answeredStep: null, isUnknown };
    charge.loadOrders.push(order);
  }

  function awaitsFence(charge: Charge): boolean {
    const isOpen = charge.loadOrders.some((order) => order.fencingNumber >= fence.number);
    const isUnknown = charge.loadOrders.some((order) => order.isUnknown);
    return isOpen && (isUnknown || charge.state === 'unloading');
  }

  return {
    setCapacityBytes: (bytes) => {
      capacityBytes = bytes;
    },
    reserve: (copy) => {
      if (charges.has(keyOf(copy))) return true;
      if (chargedBytes() + copy.sizeBytes > capacityBytes) return false;
      charges.set(keyOf(copy), { ...copy, state: 'reserved', loadOrders: [], isSeen: false });
      return true;
    },
    find: (copy) => charges.get(keyOf(copy)),
    cancelReservation: (copy) => {
      if (charges.get(keyOf(copy))?.state === 'reserved') charges.delete(keyOf(copy));
    },
    loadSent: (copy, orderId, fencingNumber) => {
      const charge = charges.get(keyOf(copy));
      if (charge === undefined) return;
      charge.state = 'loading';
      addOrder(charge, orderId, fencingNumber, false);
    },
    loadAnswered: (copy, orderId, answer) => {
      const charge = charges.get(keyOf(copy));
      const order = findOrder(copy, orderId);
      if (charge === undefined || order === undefined) return;
      if (answer === 'unknown') {
        order.isUnknown = true;
        return;
      }
      order.answeredStep = nextStep();
      if (answer === 'taken') charge.isSeen = true;
      else if (charge.state === 'loading' && !charge.isSeen) charge.state = 'unloading';
    },
    isOrderUnknown: (orderId) =>
      [...charges.values()].some((charge) =>
        charge.loadOrders.some((order) => order.orderId === orderId && order.isUnknown),
      ),
    takeOver: (copy, orderId, fencingNumber) => {
      const found = charges.get(keyOf(copy));
      const { name, version, sizeBytes } = copy;
      const fresh: Charge = {
        ...{ name, version, sizeBytes },
        state: 'loading',
        loadOrders: [],
        isSeen: false,
      };
      const charge = found ?? fresh;
      // The recorded order itself may be what brought the copy: the next report accounts for it.
      charge.isSeen = false;
      charges.set(keyOf(copy), charge);
      addOrder(charge, orderId, fencingNumber, true);
    },
    markUnloading: (copy) => {
      const charge = charges.get(keyOf(copy));
      if (charge !== undefined) charge.state = 'unloading';
    },
    grow: (copy) => {
      const charge = charges.get(keyOf(copy));
      if (charge !== undefined) charge.sizeBytes = Math.max(charge.sizeBytes, copy.sizeBytes);
    },
    fenceAcknowledged: (fencingNumber) => {
      if (fencingNumber > fence.number) fence = { number: fencingNumber, step: nextStep() };
    },
    needsFence: () => [...charges.values()].some(awaitsFence),
    reportRequested: nextStep,
    applyReport: (report, checksFencing) => {
      const verdict = noteIncarnation(report, checksFencing);
      const reportedKeys = new Set(report.copies.map(keyOf));
      report.copies.forEach(settlePresent);
      for (const [key, charge] of charges) {
        if (!reportedKeys.has(key)) settleAbsent(charge, report.requestedStep, checksFencing);
      }
      return verdict;
    },
    charges: () => [...charges.values()],
    chargedBytes,
    freeBytes: () => capacityBytes - chargedBytes(),
    capacityBytes: () => capacityBytes,
  };
}
