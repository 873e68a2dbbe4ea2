/**
 * The answer of one attempt, kept until its entry has it whole. A stream that broke between entry
 * and agent is read again from the offset that the entry has, while the upstream goes on.
 */
import type * as answers from '../types/answers.js';

export type AnswerLog = {
  append: (part: answers.AnswerPart) => void;
  /** Parts from byte `fromBytes` of the body on; ends after the closing part or at `signal`. */
  read: (fromBytes: number, signal?: AbortSignal) => AsyncIterable<answers.AnswerPart>;
  /**
   * Resolves when less than `limitBytes` wait for the reader that is furthest on, or at `signal`.
   * A slow reader so slows the upstream instead of filling this process's memory.
   */
  untilRoom: (limitBytes: number, signal?: AbortSignal) => Promise<void>;
  /** Drops all parts but the closing one: readers get that next. */
  discard: () => void;
  /** Whether a reader was handed everything, the closing part too. */
  isReadWhole: () => boolean;
  closing: () => answers.ClosingPart | null;
  sizeBytes: () => number;
  readerCount: () => number;
};

export function isClosing(part: answers.AnswerPart): part is answers.ClosingPart {
  return part.kind === 'end' || part.kind === 'refused' || part.kind === 'failed';
}

/** What a reader at `fromBytes` still needs of `part`; null when it has all of it. */
function partAfter(part: answers.AnswerPart, fromBytes: number): answers.AnswerPart | null {
  if (part.kind !== 'chunk') return part;
  const heldBytes = fromBytes - part.offsetBytes;
  if (heldBytes <= 0) return part;
  if (heldBytes >= part.data.length) return null;
  return { kind: 'chunk', offsetBytes: fromBytes, data: part.data.subarray(heldBytes) };
}

function isAborted(signal?: AbortSignal): boolean {
  return signal?.aborted === true;
}

/** `onReaderCount` is told whenever a reader comes or goes. */
export function createAnswerLog(onReaderCount: (count: number) => void = () => {}): AnswerLog {
  const parts: answers.AnswerPart[] = [];
  const waiters = new Set<() => void>();
  const writers = new Set<() => void>();
  let discardedCount = 0;
  let handedBytes = 0;
  let isHandedWhole = false;
  let sizeBytes = 0;
  let readerCount = 0;
  let closing: answers.ClosingPart | null = null;

  function wakeAll(sleepers: Set<() => void>): void {
    const woken = [...sleepers];
    sleepers.clear();
    woken.forEach((wake) => wake());
  }

  function sleepIn(sleepers: Set<() => void>, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        sleepers.delete(wake);
        resolve();
      };
      sleepers.add(wake);
      signal?.addEventListener('abort', wake, { once: true });
    });
  }

  function noteHanded(part: answers.AnswerPart): void {
    if (part.kind === 'chunk') {
      handedBytes = Math.max(handedBytes, part.offsetBytes + part.data.length);
    }
    if (isClosing(part)) isHandedWhole = true;
    wakeAll(writers);
  }

  function endIndex(): number {
    return discardedCount + parts.length;
  }

  function changeReaders(by: number): void {
    readerCount += by;
    onReaderCount(readerCount);
  }

  async function* read(fromBytes: number, signal?: AbortSignal) {
    changeReaders(1);
    try {
      for (let index = 0; ; index += 1) {
        while (index >= endIndex() && !isAborted(signal)) await sleepIn(waiters, signal);
        index = Math.max(index, discardedCount);
        const part = parts[index - discardedCount];
        if (part === undefined || isAborted(signal)) return;
        const wanted = partAfter(part, fromBytes);
        if (wanted !== null) {
          yield wanted;
          noteHanded(wanted);
        }
        if (isClosing(part)) return;
      }
    } finally {
      changeReaders(-1);
    }
  }

  return {
    append: (part) => {
      if (closing !== null) return;
      parts.push(part);
      if (part.kind === 'chunk') sizeBytes += part.data.length;
      if (isClosing(part)) closing = part;
      wakeAll(waiters);
    },
    read,
    untilRoom: async (limitBytes, signal) => {
      while (sizeBytes - handedBytes >= limitBytes && !isAborted(signal)) {
        await sleepIn(writers, signal);
      }
    },
    discard: () => {
      const dropped = parts.splice(0, closing === null ? parts.length : parts.length - 1);
      discardedCount += dropped.length;
    },
    isReadWhole: () => isHandedWhole,
    closing: () => closing,
    sizeBytes: () => sizeBytes,
    readerCount: () => readerCount,
  };
}
