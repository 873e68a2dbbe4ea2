/** Answer parts as gRPC frames. */
import type { agent } from '@copperlever/protocol';

import type * as answers from '../types/answers.js';

type FramePart = NonNullable<agent.AnswerFrame['part']>;

function framePart(part: answers.AnswerPart, nowMs: number): FramePart {
  switch (part.kind) {
    case 'accepted':
      return { $case: 'accepted', value: {} };
    case 'started':
      return { $case: 'started', value: {} };
    case 'head':
      return { $case: 'head', value: { status: part.status, headers: [...part.headers] } };
    case 'chunk':
      return { $case: 'chunk', value: { data: part.data } };
    case 'end':
      return { $case: 'end', value: { sizeBytes: part.sizeBytes } };
    case 'refused': {
      const retryAfterMs = Math.max(0, Math.ceil(part.retryAtMs - nowMs));
      return { $case: 'refused', value: { cause: part.cause, retryAfterMs, detail: part.detail } };
    }
    case 'failed':
      return {
        $case: 'failed',
        value: {
          cause: part.cause,
          detail: part.detail,
          upstreamCrashed: part.upstreamCrashed,
        },
      };
  }
}

export function toFrame(
  dispatchId: string,
  part: answers.AnswerPart,
  load: agent.AgentLoad | undefined,
  nowMs: number,
): agent.AnswerFrame {
  const offsetBytes = part.kind === 'chunk' ? part.offsetBytes : 0;
  return { dispatchId, offsetBytes, load, part: framePart(part, nowMs) };
}
