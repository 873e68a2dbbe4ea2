/** What a stand-in of a model server holds: copies of models, orders to load and unload them, its restarts. */
import { setTimeout } from 'node:timers';

const UNLOAD_MS = 20;
/** An unload looks so often whether its runs have ended. */
const RUNS_CHECK_MS = 10;

export function createEngine({ models, loadMs, diskMs, weightsMb, sizeMb }) {
  const copies = new Map(models.map((name) => [name, { runningCount: 0, isClosing: false }]));
  const onDisk = new Set(models);
  let isBusy = false;
  let fence = 0;
  let startCount = 1;

  function load(model) {
    const start = startCount;
    setTimeout(
      () => {
        if (start !== startCount) return;
        copies.set(model, { runningCount: 0, isClosing: false });
        onDisk.add(model);
        isBusy = false;
      },
      onDisk.has(model) ? diskMs : loadMs,
    );
  }

  function unload(model) {
    const start = startCount;
    const copy = copies.get(model);
    copy.isClosing = true;
    const check = () => {
      if (start !== startCount) return;
      if (copy.runningCount > 0) {
        setTimeout(check, RUNS_CHECK_MS);
        return;
      }
      copies.delete(model);
      isBusy = false;
    };
    setTimeout(check, UNLOAD_MS);
  }

  return {
    holds: (model) => copies.has(model) && !copies.get(model).isClosing,
    begin: (model) => {
      const copy = copies.get(model);
      copy.runningCount += 1;
      return () => {
        copy.runningCount -= 1;
      };
    },
    /** Starts again, empty; its disk keeps what it had. */
    restart: () => {
      copies.clear();
      isBusy = false;
      fence = 0;
      startCount += 1;
    },
    /** What its reports and its entry in the store say. */
    held: () => ({
      models: [...copies.keys()].map((name) => ({ name, version: 1, adapters: [] })),
      atHand: { inMemory: [], onDisk: [...onDisk] },
    }),
    isBusy: () => isBusy,
    /** Answers an order by its status; `state.sequence` counts those that are accepted. */
    order: ({ operation, model, holder, fencingToken, expected }, state) => {
      if (holder === undefined || fencingToken === undefined) return 400;
      if (fencingToken < fence) return 412;
      fence = fencingToken;
      const isLoad = operation === 'load';
      if (isLoad === copies.has(model)) return 200;
      if (isBusy || (expected !== undefined && expected !== state.sequence)) return 409;
      const heldMb = copies.size * sizeMb;
      // A sound gateway orders no more than fits; the stand-in does not play the crash.
      if (isLoad && heldMb + sizeMb > weightsMb) return 409;
      state.sequence += 1;
      isBusy = true;
      if (isLoad) load(model);
      else unload(model);
      return 202;
    },
  };
}
