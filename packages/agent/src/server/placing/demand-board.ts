/** The demand for models: what this agent sees itself, and what others tell it as their coordinator. */
import { demands as demandModule } from '@copperlever/decisions';
import type { agent } from '@copperlever/protocol';
import type { clocks } from '@copperlever/runtime';

export type DemandBoard = {
  /** A request for the model arrived here, whether it is served or refused. */
  observe: (model: string, expectedMs: number) => void;
  /** Slots that the model's recent arrivals at this agent need. */
  ownSlots: (model: string) => number;
  /** Models with demand here that is worth telling. */
  ownModels: () => readonly string[];
  /** Slots that all of this agent's own demand needs. */
  ownTotalSlots: () => number;
  receive: (report: agent.DemandReport) => void;
  /** What the other agents last told of the model; what is old counts no more. */
  told: (model: string) => ReadonlyMap<string, agent.ModelDemand>;
};

/** Three reports: an agent that is gone stops counting within that. */
const TOLD_FOR_MS = 30_000;
/** A demand below a hundredth of a slot is one request in many minutes. */
const LEAST_SLOTS = 0.01;

type Told = { demand: agent.ModelDemand; untilMs: number };

export function createDemandBoard(clock: Pick<clocks.Clock, 'nowMs'>): DemandBoard {
  const own = demandModule.createDemands();
  const seen = new Set<string>();
  const toldByModel = new Map<string, Map<string, Told>>();

  function ownModels(): string[] {
    const isWorth = (model: string) => own.neededSlots(model, clock.nowMs()) >= LEAST_SLOTS;
    [...seen].filter((model) => !isWorth(model)).forEach((model) => seen.delete(model));
    return [...seen];
  }

  function remember(agentId: string, demand: agent.ModelDemand): void {
    const byAgent = toldByModel.get(demand.model) ?? new Map<string, Told>();
    byAgent.set(agentId, { demand, untilMs: clock.nowMs() + TOLD_FOR_MS });
    toldByModel.set(demand.model, byAgent);
  }

  return {
    observe: (model, expectedMs) => {
      seen.add(model);
      own.observe(model, expectedMs, clock.nowMs());
    },
    ownSlots: (model) => own.neededSlots(model, clock.nowMs()),
    ownModels,
    ownTotalSlots: () =>
      ownModels().reduce((sum, model) => sum + own.neededSlots(model, clock.nowMs()), 0),
    receive: (report) => report.demands.forEach((demand) => remember(report.agentId, demand)),
    told: (model) => {
      const byAgent = toldByModel.get(model) ?? new Map<string, Told>();
      for (const [agentId, { untilMs }] of byAgent) {
        if (untilMs <= clock.nowMs()) byAgent.delete(agentId);
      }
      if (byAgent.size === 0) toldByModel.delete(model);
      return new Map([...byAgent].map(([agentId, { demand }]) => [agentId, demand]));
    },
  };
}
