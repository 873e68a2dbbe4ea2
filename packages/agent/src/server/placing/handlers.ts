/** What the agent answers to those who would place copies here. */
import { checks, type schema } from '@copperlever/configuration';
import { eviction } from '@copperlever/decisions';
import { agent } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

import type * as ledgers from '../../shared/memory-ledger.js';
import type * as demandBoards from './demand-board.js';

export type PlacingDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  document: () => schema.Document;
  upstreamId: string;
  board: demandBoards.DemandBoard;
  ledger: ledgers.MemoryLedger;
  knows: (model: string) => boolean;
  isStaying: () => boolean;
  isFloorHere: (model: string) => boolean;
  isInUse: (copy: ledgers.CopyId) => boolean;
  lastUsedMs: (model: string) => number;
  readySinceMs: (copy: ledgers.CopyId) => number;
  /** Other agents that have the model ready. */
  copiesElsewhere: (model: string) => number;
  want: (model: string, isForDemand: boolean) => void;
};

export type PlacingHandlers = {
  offer: (request: agent.OfferRequest) => agent.OfferReply;
  addCopy: (request: agent.AddCopyRequest) => agent.AddCopyReply;
  reportDemand: (report: agent.DemandReport) => agent.DemandReportReply;
};

/** Copies are added before more than 0.7 of their slots are taken, so each other one has about this. */
const SPARE_SHARE_ELSEWHERE = 0.3;

export function createPlacingHandlers(deps: PlacingDeps): PlacingHandlers {
  const { board, document, ledger } = deps;

  function slotCount(): number {
    return document().upstreams[deps.upstreamId]?.slotCount ?? 0;
  }

  function toHeld(charge: ledgers.Charge): eviction.HeldCopy {
    return {
      model: charge.name,
      sizeBytes: charge.sizeBytes,
      isFloor: deps.isFloorHere(charge.name),
      activeCount: deps.isInUse(charge) ? 1 : 0,
      busySlots: board.ownSlots(charge.name),
      spareSlotsElsewhere: deps.copiesElsewhere(charge.name) * SPARE_SHARE_ELSEWHERE * slotCount(),
      lastUsedAtMs: deps.lastUsedMs(charge.name),
      loadedAtMs: deps.readySinceMs(charge),
    };
  }

  function displacement(model: string): eviction.Eviction | null {
    const neededBytes = checks.copySizeBytes(document(), model) - ledger.freeBytes();
    const held = ledger.charges().filter((charge) => charge.state === 'ready');
    return eviction.chooseEvicted(held.map(toHeld), neededBytes, deps.clock.nowMs());
  }

  function refusal(model: string): string {
    if (!deps.knows(model)) return 'unknown-target';
    return deps.isStaying() ? '' : 'leaving';
  }

  return {
    offer: ({ model }) => {
      const found = refusal(model) === '' ? displacement(model) : null;
      const displaced = found?.models ?? [];
      const stayingSlots = board
        .ownModels()
        .filter((other) => other !== model && !displaced.includes(other))
        .reduce((sum, other) => sum + board.ownSlots(other), 0);
      return agent.OfferReply.fromPartial({
        possible: found !== null,
        freeBytes: Math.max(0, ledger.freeBytes()),
        displaced,
        availableSlots: Math.max(0, slotCount() - stayingSlots),
        lostSlots: found?.lostSlots ?? 0,
      });
    },
    addCopy: ({ model, forReachability }) => {
      const cause = refusal(model);
      if (cause !== '') return { accepted: false, cause };
      deps.want(model, !forReachability);
      return { accepted: true, cause: '' };
    },
    reportDemand: (report) => {
      board.receive(report);
      return {};
    },
  };
}
