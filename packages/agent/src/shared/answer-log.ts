/**
 * The answer of one attempt, kept until its entry has it whole. A stream that broke between entry
 * and agent is read again from the offset that the entry has, while the upstream goes on.
 */
import type * as answers from '../types/answers.js';

export type AnswerLog = {
  append: (part: answers.AnswerPart) => void;
  /** Parts from byte `fromBytes` of the body on; ends after the closing part or at `signal`. */
  read: (fromBytes: number, signal?: AbortSignal) => AsyncIterable<answers.AnswerPart>;
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

export function createAnswerLog(): AnswerLog {
  const parts: answers.AnswerPart[] = [];
  const waiters = new Set<() => void>();
  let sizeBytes = 0;
  let readerCount = 0;
  let closing: answers.ClosingPart | null = null;

  function wakeReaders(): void {
    const woken = [...waiters];
    waiters.clear();
    woken.forEach((wake) => wake());
  }

  function nextAppend(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        waiters.delete(wake);
        resolve();
      };
      waiters.add(wake);
      signal?.addEventListener('abort', wake, { once: true });
    });
  }

  async function* read(fromBytes: number, signal?: AbortSignal) {
    readerCount += 1;
    try {
      for (let index = 0; ; index += 1) {
        while (index >= parts.length && !isAborted(signal)) await nextAppend(signal);
        const part = parts[index];
        if (part === undefined || isAborted(signal)) return;
        const wanted = partAfter(part, fromBytes);
        if (wanted !== null) yield wanted;
        if (isClosing(part)) return;
      }
    } finally {
      readerCount -= 1;
    }
  }

  return {
    append: (part) => {
      if (closing !== null) return;
      parts.push(part);
      if (part.kind === 'chunk') sizeBytes += part.data.length;
      if (isClosing(part)) closing = part;
      wakeReaders();
    },
    read,
    closing: () => closing,
    sizeBytes: () => sizeBytes,
    readerCount: () => readerCount,
  };
}
