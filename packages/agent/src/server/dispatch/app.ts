/** Registers the handlers of AgentService with gRPC. */
import { agent } from '@copperlever/protocol';
import type * as grpc from '@grpc/grpc-js';

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

export function createApp(deps: handlers.HandlerDeps): agent.AgentServiceServer {
  return {
    // Placing is not joined in yet: an agent loads only what it is asked to serve.
    offer: (_call, callback) => callback(null, agent.OfferReply.create()),
    addCopy: (_call, callback) => callback(null, { accepted: false, cause: 'not-placing' }),
    dispatch: (call) => {
      void writeFrames(call, (signal) => handlers.handleDispatch(deps, call.request, signal));
    },
    resume: (call) => {
      void writeFrames(call, (signal) => handlers.handleResume(deps, call.request, signal));
    },
    revoke: (call, callback) => {
      callback(null, handlers.handleRevoke(deps, call.request));
    },
    acknowledge: (call, callback) => {
      callback(null, handlers.handleAcknowledge(deps, call.request));
    },
  };
}
