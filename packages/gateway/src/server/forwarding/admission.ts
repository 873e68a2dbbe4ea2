/**
 * Decides which requests for a model are refused in favour of others while its copies cannot serve all of them: less urgent
 * requests yield to more urgent ones, and organisations above their fair share yield to those below it.
 */
import type { clocks } from '@copperlever/runtime';

import * as classOrder from '../../shared/class-order.js';
import * as tokenShares from '../../shared/token-shares.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as runs from './run.js';

export type Admission = {
  /** Why a request for a model has to yield although an upstream would accept it; null if it need not. */
  yieldReason: (call: calls.Call) => runs.YieldReason | null;
  /** Records that a request was sent, or refused because its upstreams were overloaded. */
  decided: (call: calls.Call, isRefused: boolean) => void;
};

export type AdmissionDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  ordersAdmission: () => boolean;
  sharesFairly: () => boolean;
  weightOf: (organisation: string) => number;
};

export function createAdmission(deps: AdmissionDeps): Admission {
  const { clock } = deps;
  const classes = classOrder.createClassOrder();
  const shares = tokenShares.createTokenShares();

  function classKey(call: calls.Call): classOrder.ClassKey {
    const rank = urgency.enginePriority(call.priority, call.route, false);
    return { group: `${call.service} ${call.facts.model}`, rank };
  }

  function shareKey(call: calls.Call): tokenShares.ShareKey | null {
    const { organisation } = call;
    if (organisation === null || !deps.sharesFairly()) return null;
    return { ...classKey(call), organisation, weight: deps.weightOf(organisation) };
  }

  return {
    yieldReason: (call) => {
      if (!deps.ordersAdmission()) return null;
      const nowMs = clock.nowMs();
      if (classes.yieldsTo(classKey(call), nowMs) !== null) return 'more-urgent';
      const key = shareKey(call);
      if (key === null || shares.yieldsTo(key, nowMs) === null) return null;
      return 'organisation-behind';
    },
    decided: (call, isRefused) => {
      if (!deps.ordersAdmission()) return;
      const nowMs = clock.nowMs();
      classes.recordDecision(classKey(call), isRefused, nowMs);
      const key = shareKey(call);
      const { tokenCount, promptTokens, outputTokens } = call.facts;
      const tokens = tokenCount ?? promptTokens + outputTokens;
      if (key !== null) shares.decided(key, Math.max(1, tokens), isRefused, nowMs);
    },
  };
}
