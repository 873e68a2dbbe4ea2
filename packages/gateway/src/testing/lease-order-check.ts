/** What must hold of the orders of a random play of the placement lease. */

export type Order = { machineId: string; term: number; atMs: number; isInTouch: boolean };

export type OrderCheck = {
  note: (order: Order) => void;
  /** A machine was ended since the last order. */
  noteKill: () => void;
  highestTerm: () => number;
  orderCount: () => number;
  /** Orders at one upstream of two machines within the lease time, or with a lower term after a higher one. */
  violations: readonly string[];
  /** Between the last order of a machine and the first one of the next, another machine. */
  changeGapsMs: readonly number[];
  /** Between the last order of a life that was killed and the first one of the same machine. */
  returnGapsMs: readonly number[];
};

export function createOrderCheck(checksFences: boolean, leaseMs: number): OrderCheck {
  const violations: string[] = [];
  const changeGapsMs: number[] = [];
  const returnGapsMs: number[] = [];
  const lastOrderAt = new Map<string, Order>();
  let lastOrder: Order | null = null;
  let highestTerm = 0;
  let orderCount = 0;
  let isAfterKill = false;

  function compare(order: Order, other: Order): void {
    const isJudged = !checksFences || (order.isInTouch && other.isInTouch);
    const apartMs = order.atMs - other.atMs;
    if (!isJudged || apartMs >= leaseMs) return;
    violations.push(
      `${order.atMs} ${order.machineId} (${order.term}) ${apartMs} ms after ${other.machineId} (${other.term})`,
    );
  }

  function noteGap({ machineId, term, atMs }: Order): void {
    if (lastOrder === null) return;
    const gapMs = atMs - lastOrder.atMs;
    if (lastOrder.machineId !== machineId) changeGapsMs.push(gapMs);
    else if (isAfterKill && lastOrder.term !== term) returnGapsMs.push(gapMs);
  }

  return {
    note: (order) => {
      const { machineId, term, atMs } = order;
      if (term < highestTerm) {
        violations.push(`${atMs} ${machineId} term ${term} after ${highestTerm}`);
      }
      [...lastOrderAt.values()]
        .filter((other) => other.machineId !== machineId)
        .forEach((other) => compare(order, other));
      noteGap(order);
      isAfterKill = false;
      lastOrder = order;
      highestTerm = Math.max(highestTerm, term);
      lastOrderAt.set(machineId, order);
      orderCount += 1;
    },
    noteKill: () => {
      isAfterKill = true;
    },
    highestTerm: () => highestTerm,
    orderCount: () => orderCount,
    violations,
    changeGapsMs,
    returnGapsMs,
  };
}
