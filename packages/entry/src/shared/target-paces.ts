/**
 * How slow each agent's upstream is, from the answers that this entry saw. Answers of one target are
 * compared by their time for each byte, since targets differ in speed and answers in length.
 */
import { latencyRatios } from '@copperlever/decisions';

/** An answer that has ended: how long it ran at the upstream, and how long it is. */
export type EndedAnswer = { target: string; runMs: number; sizeBytes: number };

export type TargetPaces = {
  observe: (agentId: string, answer: EndedAnswer) => void;
  /** 1 for an upstream like the others; 5 for one that takes five times as long. */
  slowness: (agentId: string) => number;
};

/** Twenty answers carry most of the weight: the usual time for a byte of a target changes slowly. */
const NEWEST_WEIGHT = 0.1;
/** The least recently seen targets make room. */
const MAX_TARGETS = 2_000;

export function createTargetPaces(): TargetPaces {
  const paces = latencyRatios.createLatencyRatios();
  const usualMsPerByte = new Map<string, number>();

  function learnUsual(target: string, msPerByte: number): number {
    const old = usualMsPerByte.get(target) ?? msPerByte;
    const usual = old + NEWEST_WEIGHT * (msPerByte - old);
    usualMsPerByte.delete(target);
    usualMsPerByte.set(target, usual);
    if (usualMsPerByte.size > MAX_TARGETS) {
      const [oldest] = usualMsPerByte.keys();
      if (oldest !== undefined) usualMsPerByte.delete(oldest);
    }
    return usual;
  }

  return {
    observe: (agentId, { target, runMs, sizeBytes }) => {
      if (sizeBytes === 0) return;
      const usual = learnUsual(target, runMs / sizeBytes);
      paces.observe(agentId, runMs, usual * sizeBytes);
    },
    slowness: paces.latencyRatio,
  };
}
