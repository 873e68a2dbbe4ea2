/** Registers the handlers of AgentService with gRPC. */
import type { agent } from '@copperlever/protocol';
import * as grpc from '@grpc/grpc-js';

import * as handlers from './handlers.js';

type FrameCall =
  | grpc.ServerWritableStream<agent.DispatchRequest, agent.AnswerFrame>
  | grpc.ServerWritableStream<agent.ResumeRequest, agent.AnswerFrame>;

function writable(call: FrameCall, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    call.once('drain', resolve);
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

/** Writes frames no faster than the reader takes them; stops when the reader is gone. */
async function writeFrames(
  call: FrameCall,
  read: (signal: AbortSignal) => AsyncIterable<agent.AnswerFrame>,
): Promise<void> {
  const gone = new AbortController();
  call.on('cancelled', () => gone.abort());
  call.on('error', () => gone.abort());
  for await (const frame of read(gone.signal)) {
    const hasRoom = call.write(frame);
    if (!hasRoom) await writable(call, gone.signal);
  }
  if (!gone.signal.aborted) call.end();
}

/** What is thrown while one call is served ends that call, and not the process. */
async function serveFrames(
  call: FrameCall,
  read: (signal: AbortSignal) => AsyncIterable<agent.AnswerFrame>,
): Promise<void> {
  try {
    await writeFrames(call, read);
  } catch (cause) {
    call.emit('error', { code: grpc.status.INTERNAL, details: String(cause) });
  }
}

export type DispatchApp = Pick<
  agent.AgentServiceServer,
  'dispatch' | 'resume' | 'revoke' | 'acknowledge'
>;

export function createApp(deps: handlers.HandlerDeps): DispatchApp {
  return {
    dispatch: (call) => {
      void serveFrames(call, (signal) => handlers.handleDispatch(deps, call.request, signal));
    },
    resume: (call) => {
      void serveFrames(call, (signal) => handlers.handleResume(deps, call.request, signal));
    },
    revoke: (call, callback) => {
      callback(null, handlers.handleRevoke(deps, call.request));
    },
    acknowledge: (call, callback) => {
      callback(null, handlers.handleAcknowledge(deps, call.request));
    },
  };
}
