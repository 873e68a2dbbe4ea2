/**
 * Bounds the bytes of answers that a gateway holds, in sum. Load: many answers that are long and never end, or many failures kept
 * while retries wait. At the bound the largest holder lets go, so that small answers are still held until they are whole.
 */
import * as byteBudgets from '@copperlever/runtime/byte-budget';

import type * as logEvents from '../../types/log-events.js';

/** `letGo` frees the holder's bytes, in the way that is told. */
export type LetGo = { way: logEvents.LetGoWay; run: () => void };

/** What one buffer of an answer holds. */
export type Hold = {
  /** It takes so many bytes now. At the bound the largest holders let go before this returns, this one among them. */
  set: (bytes: number) => void;
  /** From now on it lets go in this way. */
  letGoBy: (letGo: LetGo) => void;
  release: () => void;
};

/** The buffers of one request's answers. */
export type CallHolds = {
  open: (letGo: LetGo) => Hold;
  /** The request has ended: all of its buffers are free. */
  close: () => void;
};

export type HeldAnswers = {
  forCall: (requestId: string) => CallHolds;
  heldBytes: () => number;
};

export type HeldAnswersDeps = {
  log: Pick<logEvents.GatewayLog, 'warn'>;
  maxBytes: number;
  onLetGo?: (way: logEvents.LetGoWay) => void;
};

type Holder = { requestId: string; bytes: number; letGo: LetGo };

export function createHeldAnswers({
  log,
  maxBytes,
  onLetGo = () => {},
}: HeldAnswersDeps): HeldAnswers {
  const budget = byteBudgets.createByteBudget(maxBytes);
  const holders = new Set<Holder>();

  function free(holder: Holder): void {
    holders.delete(holder);
    budget.give(holder.bytes);
    Object.assign(holder, { bytes: 0 });
  }

  /** `bytes`: what it holds, or would. */
  function letGo(holder: Holder, bytes: number): void {
    const { requestId } = holder;
    const { way, run } = holder.letGo;
    const heldBytes = budget.heldBytes();
    free(holder);
    log.warn('answer-let-go', { requestId, way, bytes, heldBytes, maxBytes });
    onLetGo(way);
    run();
  }

  /** The largest holder, if `holder` were to hold `bytes`. */
  function largest(holder: Holder, bytes: number): Holder {
    let found = holder;
    let most = bytes;
    holders.forEach((other) => {
      if (other === holder || other.bytes <= most) return;
      found = other;
      most = other.bytes;
    });
    return found;
  }

  function set(holder: Holder, bytes: number): void {
    const moreBytes = bytes - holder.bytes;
    if (moreBytes <= 0) budget.give(-moreBytes);
    else {
      while (!budget.take(moreBytes, holder.bytes)) {
        const found = largest(holder, bytes);
        letGo(found, found === holder ? bytes : found.bytes);
        if (found === holder) return;
      }
    }
    Object.assign(holder, { bytes });
  }

  return {
    forCall: (requestId) => {
      const own = new Set<Holder>();
      let isClosed = false;
      return {
        open: (first) => {
          const holder = { requestId, bytes: 0, letGo: first };
          if (!isClosed) {
            own.add(holder);
            holders.add(holder);
          }
          return {
            set: (bytes) => {
              if (holders.has(holder)) set(holder, bytes);
            },
            letGoBy: (next) => {
              holder.letGo = next;
            },
            release: () => {
              if (holders.has(holder)) free(holder);
              own.delete(holder);
            },
          };
        },
        close: () => {
          isClosed = true;
          own.forEach((holder) => {
            if (holders.has(holder)) free(holder);
          });
          own.clear();
        },
      };
    },
    heldBytes: budget.heldBytes,
  };
}
