/** Agents for tests of the request path: each follows a script, and remembers what it was asked. */
import { agent } from '@copperlever/protocol';
import { results } from '@copperlever/runtime';

import type * as links from '../types/links.js';

export type FramePart = NonNullable<agent.AnswerFrame['part']>;

/** What comes over one stream; `hang` stays silent, `lost` breaks the connection. */
export type Event = FramePart | 'hang' | 'lost';

export function refused(cause: string, retryAfterMs = 1_000): FramePart {
  return { $case: 'refused', value: { cause, retryAfterMs, detail: '' } };
}

export function failed(cause: string, upstreamCrashed = false): FramePart {
  return { $case: 'failed', value: { cause, detail: '', upstreamCrashed } };
}

export const started: FramePart = { $case: 'started', value: {} };

export const head: FramePart = { $case: 'head', value: { status: 200, headers: [] } };

export function chunk(text: string): FramePart {
  return { $case: 'chunk', value: { data: Buffer.from(text) } };
}

/** A whole answer with `text` as its body. */
export function answer(text: string): FramePart[] {
  const sizeBytes = Buffer.byteLength(text);
  return [started, head, chunk(text), { $case: 'end', value: { sizeBytes } }];
}

export type Script = {
  dispatch: (request: agent.DispatchRequest) => readonly Event[];
  resume: (request: agent.ResumeRequest) => readonly Event[];
  /** `unreachable` loses the call. */
  revoke: (request: agent.RevokeRequest) => agent.RevokeOutcome | 'unreachable';
};

export type FakeAgents = {
  link: links.AgentLink;
  /** Replaces a part of the script of one agent. */
  script: (agentId: string, script: Partial<Script>) => void;
  /** `agentId dispatchId` of each dispatch, in order. */
  dispatched: string[];
  requests: agent.DispatchRequest[];
  resumed: string[];
  revoked: agent.RevokeRequest[];
  acknowledged: string[];
  /** The load that each answer of an agent carries. */
  loads: Map<string, agent.AgentLoad>;
};

const DEFAULT_SCRIPT: Script = {
  dispatch: () => answer('ok'),
  resume: () => [failed('attempt-unknown')],
  revoke: () => agent.RevokeOutcome.REVOKE_OUTCOME_REVOKED,
};

function untilAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

export function createFakeAgents(): FakeAgents {
  const scripts = new Map<string, Script>();
  const loads = new Map<string, agent.AgentLoad>();
  const scriptOf = (target: links.AgentTarget) => scripts.get(target.agentId) ?? DEFAULT_SCRIPT;

  async function* play(
    target: links.AgentTarget,
    dispatchId: string,
    fromBytes: number,
    events: readonly Event[],
    signal: AbortSignal,
  ): AsyncGenerator<links.LinkPart> {
    let offsetBytes = fromBytes;
    for (const event of events) {
      if (event === 'lost') {
        yield { kind: 'lost', detail: 'connection lost' };
        return;
      }
      if (event === 'hang') {
        await untilAborted(signal);
        return;
      }
      const load = loads.get(target.agentId);
      yield { kind: 'frame', frame: { dispatchId, offsetBytes, load, part: event } };
      if (event.$case === 'chunk') offsetBytes += event.value.data.length;
    }
  }

  const fake: FakeAgents = {
    link: {
      dispatch: (target, request, signal) => {
        fake.dispatched.push(`${target.agentId} ${request.dispatchId}`);
        fake.requests.push(request);
        return play(target, request.dispatchId, 0, scriptOf(target).dispatch(request), signal);
      },
      resume: (target, request, signal, connection) => {
        fake.resumed.push(`${target.agentId} ${request.offsetBytes} ${connection}`);
        const { dispatchId, offsetBytes } = request;
        return play(target, dispatchId, offsetBytes, scriptOf(target).resume(request), signal);
      },
      revoke: async (target, request) => {
        fake.revoked.push(request);
        const outcome = scriptOf(target).revoke(request);
        if (outcome === 'unreachable') return results.Err({ kind: 'link-lost', detail: '' });
        return results.Ok({ outcome, load: undefined });
      },
      acknowledge: (_target, dispatchIds) => {
        fake.acknowledged.push(...dispatchIds);
      },
    },
    script: (agentId, script) => {
      scripts.set(agentId, { ...(scripts.get(agentId) ?? DEFAULT_SCRIPT), ...script });
    },
    dispatched: [],
    requests: [],
    resumed: [],
    revoked: [],
    acknowledged: [],
    loads,
  };
  return fake;
}
