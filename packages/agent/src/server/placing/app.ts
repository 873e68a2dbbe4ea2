/** Registers the placing calls of AgentService with gRPC. */
import type { agent } from '@copperlever/protocol';

import type * as handlers from './handlers.js';

export type PlacingApp = Pick<agent.AgentServiceServer, 'offer' | 'addCopy' | 'reportDemand'>;

/** `placing` is null until the configuration names an engine as this agent's upstream. */
export function createPlacingApp(placing: () => handlers.PlacingHandlers | null): PlacingApp {
  return {
    offer: (call, callback) => {
      const reply = placing()?.offer(call.request);
      callback(null, reply ?? notPlacingOffer());
    },
    addCopy: (call, callback) => {
      const reply = placing()?.addCopy(call.request);
      callback(null, reply ?? { accepted: false, cause: 'starting' });
    },
    reportDemand: (call, callback) => {
      placing()?.reportDemand(call.request);
      callback(null, {});
    },
  };
}

function notPlacingOffer(): agent.OfferReply {
  return {
    possible: false,
    freeBytes: 0,
    displaced: [],
    predictedWaitMs: 0,
    load: undefined,
    availableSlots: 0,
    lostSlots: 0,
  };
}
