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

type Step = IteratorResult<links.LinkPart>;

/** Parts in order; ends after `lost`, at the end of the stream, or when `signal` is aborted. */
export function readFrames(
  stream: FrameStream,
  signal: AbortSignal,
  onHeard: () => void,
): AsyncIterable<links.LinkPart> {
  const held: links.LinkPart[] = [];
  let isEnded = false;
  let isPaused = false;
  let wake: ((step: Step) => void) | null = null;

  function push(part: links.LinkPart): void {
    if (wake === null) {
      held.push(part);
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
    if (held.length < MAX_HELD_FRAMES || isPaused) return;
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
