/** Reads the frames of one gRPC stream, without the layers of a stream's own iterator. */
import type { agent } from '@copperlever/protocol';
import type * as grpc from '@grpc/grpc-js';

import type * as links from '../../types/links.js';

export type FrameStream = Pick<
  grpc.ClientReadableStream<agent.AnswerFrame>,
  'on' | 'pause' | 'resume' | 'cancel'
>;

/** Frames held for a caller that takes them slowly; the stream is paused above. */
const MAX_HELD_FRAMES = 64;
const MAX_HELD_BYTES = 256 * 1024;

type Step = IteratorResult<links.LinkPart>;

function sizeOf(part: links.LinkPart): number {
  if (part.kind !== 'frame' || part.frame.part?.$case !== 'chunk') return 0;
  return part.frame.part.value.data.length;
}

/** Parts in order; ends after `lost`, at the end of the stream, or when `signal` is aborted. */
export function readFrames(
  stream: FrameStream,
  signal: AbortSignal,
  onHeard: () => void,
): AsyncIterable<links.LinkPart> {
  const held: links.LinkPart[] = [];
  let heldBytes = 0;
  let isEnded = false;
  let isPaused = false;
  let wake: ((step: Step) => void) | null = null;

  function push(part: links.LinkPart): void {
    if (wake === null) {
      held.push(part);
      heldBytes += sizeOf(part);
      return;
    }
    const resolve = wake;
    wake = null;
    resolve({ done: false, value: part });
  }

  function end(): void {
    isEnded = true;
    signal.removeEventListener('abort', cancel);
    wake?.({ done: true, value: undefined });
    wake = null;
  }

  function cancel(): void {
    end();
    stream.cancel();
  }

  stream.on('data', (frame: agent.AnswerFrame) => {
    if (isEnded) return;
    onHeard();
    push({ kind: 'frame', frame });
    const isFull = held.length >= MAX_HELD_FRAMES || heldBytes >= MAX_HELD_BYTES;
    if (!isFull || isPaused) return;
    isPaused = true;
    stream.pause();
  });
  stream.on('error', (cause: Error) => {
    if (isEnded) return;
    push({ kind: 'lost', detail: cause.message });
    end();
  });
  stream.on('end', end);
  if (signal.aborted) cancel();
  else signal.addEventListener('abort', cancel, { once: true });

  function next(): Promise<Step> {
    const value = held.shift();
    if (value !== undefined) {
      heldBytes -= sizeOf(value);
      if (isPaused && held.length === 0) {
        isPaused = false;
        stream.resume();
      }
      return Promise.resolve({ done: false, value });
    }
    if (isEnded) return Promise.resolve({ done: true, value: undefined });
    return new Promise((resolve) => {
      wake = resolve;
    });
  }

  return { [Symbol.asyncIterator]: () => ({ next }) };
}
