/** The message that starts one attempt. */
import { agent } from '@copperlever/protocol';

import type * as calls from '../types/calls.js';
import type * as runs from '../types/runs.js';

const PRIORITIES: Readonly<Record<calls.Call['priorityClass'], agent.PriorityClass>> = {
  critical: agent.PriorityClass.PRIORITY_CLASS_CRITICAL,
  standard: agent.PriorityClass.PRIORITY_CLASS_STANDARD,
  batch: agent.PriorityClass.PRIORITY_CLASS_BATCH,
};

export function toDispatchRequest(
  call: calls.Call,
  dispatch: runs.Dispatch,
  configVersion: number,
  nowMs: number,
): agent.DispatchRequest {
  return {
    dispatchId: dispatch.dispatchId,
    requestId: call.requestId,
    agentIncarnation: dispatch.target.incarnation,
    agentTick: dispatch.agentTick,
    configVersion,
    // Clocks of two VMs cannot be compared: what is left of the deadline travels.
    remainingMs: Math.max(0, Math.floor(call.deadlineMs - nowMs)),
    priorityClass: PRIORITIES[call.priorityClass],
    callerGroup: call.callerGroup,
    nonIdempotent: call.idempotencyKey !== null,
    target: call.target.name,
    loadIfNeeded: true,
    method: call.method,
    path: call.path,
    headers: [...call.headers],
    body: call.body,
    promptTokens: call.promptTokens,
    outputTokens: call.outputTokens,
    prefixKey: call.prefixKey,
    fingerprint: call.fingerprint,
  };
}
