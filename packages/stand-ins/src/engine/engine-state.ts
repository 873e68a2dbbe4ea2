/** State of the stand-in engine: the model copies in accelerator memory, changed by orders. */

export type CopyState = 'loading' | 'ready';

export type Copy = { name: string; version: string; sizeBytes: number; state: CopyState };

/** An order as received over HTTP. `fence` only announces a fencing number. */
export type Order =
  | {
      kind: 'load';
      orderId: string;
      fencingNumber: number;
      name: string;
      version: string;
      sizeBytes: number;
    }
  | { kind: 'unload'; orderId: string; fencingNumber: number; name: string; version: string }
  | { kind: 'fence'; orderId: string; fencingNumber: number };

export type OrderDecision = 'taken' | 'old-fencing-number' | 'no-memory';

export type EngineReport = {
  incarnation: number;
  fencingNumber: number;
  memoryBytes: number;
  usedBytes: number;
  copies: readonly Copy[];
  runningCount: number;
};

export type EngineState = {
  take: (order: Order, checksFencing: boolean) => OrderDecision;
  markReady: (name: string, version: string) => void;
  findReady: (name: string) => Copy | undefined;
  requestStarted: () => void;
  requestEnded: () => void;
  report: () => EngineReport;
  /** Simulates a crash: all copies are lost and the incarnation increases. */
  crash: () => void;
  /** Number of orders rejected for lack of memory. A correct agent never causes one. */
  overcommitCount: () => number;
};

export function createEngineState(memoryBytes: number, firstIncarnation: number): EngineState {
  let incarnation = firstIncarnation;
  let fencingNumber = 0;
  let runningCount = 0;
  let overcommitCount = 0;
  const copies = new Map<string, Copy>();
  const keyOf = (name: string, version: string) => `${name}@${version}`;
  const usedBytes = () => [...copies.values()].reduce((sum, copy) => sum + copy.sizeBytes, 0);

  function applyLoad(order: Extract<Order, { kind: 'load' }>): OrderDecision {
    const key = keyOf(order.name, order.version);
    if (copies.has(key)) return 'taken';
    if (usedBytes() + order.sizeBytes > memoryBytes) {
      overcommitCount += 1;
      return 'no-memory';
    }
    copies.set(key, {
      name: order.name,
      version: order.version,
      sizeBytes: order.sizeBytes,
      state: 'loading',
    });
    return 'taken';
  }

  return {
    take: (order, checksFencing) => {
      if (checksFencing && order.fencingNumber < fencingNumber) return 'old-fencing-number';
      fencingNumber = Math.max(fencingNumber, order.fencingNumber);
      switch (order.kind) {
        case 'fence':
          return 'taken';
        case 'unload':
          copies.delete(keyOf(order.name, order.version));
          return 'taken';
        case 'load':
          return applyLoad(order);
      }
    },
    markReady: (name, version) => {
      const copy = copies.get(keyOf(name, version));
      if (copy !== undefined) copy.state = 'ready';
    },
    findReady: (name) =>
      [...copies.values()].find((copy) => copy.name === name && copy.state === 'ready'),
    requestStarted: () => {
      runningCount += 1;
    },
    requestEnded: () => {
      runningCount -= 1;
    },
    report: () => ({
      incarnation,
      fencingNumber,
      memoryBytes,
      usedBytes: usedBytes(),
      copies: [...copies.values()],
      runningCount,
    }),
    crash: () => {
      copies.clear();
      incarnation += 1;
    },
    overcommitCount: () => overcommitCount,
  };
}
