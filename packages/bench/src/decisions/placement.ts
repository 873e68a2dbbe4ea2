/** The copies that every policy starts from: sized by the mean demand, as an operator would place them. */
import type * as benchTypes from './types.js';

type Node = {
  spec: benchTypes.UpstreamSpec;
  freeBytes: number;
  models: string[];
  /** The demand of its copies, each model's spread evenly over its copies. */
  demand: number;
};

function emptiest(nodes: readonly Node[], model: benchTypes.ModelSpec, taken: readonly Node[]) {
  const domains = new Set(taken.map((node) => node.spec.failureDomain));
  return nodes
    .filter((node) => node.freeBytes >= model.sizeBytes && !taken.includes(node))
    .sort(
      (left, right) =>
        Number(domains.has(left.spec.failureDomain)) -
          Number(domains.has(right.spec.failureDomain)) || left.demand - right.demand,
    )[0];
}

function place(node: Node, model: benchTypes.ModelSpec, demand: number): void {
  node.models.push(model.id);
  node.freeBytes -= model.sizeBytes;
  node.demand += demand;
}

/** Models by upstream: one copy of each, the largest first, then more where demand is highest. */
export function createPlacement(size: benchTypes.Size): Map<string, string[]> {
  const nodes = size.upstreams.map((spec): Node => ({
    spec,
    freeBytes: spec.memoryBytes,
    models: [],
    demand: 0,
  }));
  const copies = new Map<string, Node[]>(size.models.map((model) => [model.id, []]));
  const inPool = (model: benchTypes.ModelSpec) =>
    nodes.filter((node) => node.spec.pool === model.pool);
  const bySize = [...size.models].sort((left, right) => right.sizeBytes - left.sizeBytes);
  bySize.forEach((model) => {
    const node = emptiest(inPool(model), model, []);
    if (node === undefined) throw new Error(`${model.id} does not fit`);
    place(node, model, model.demandWeight);
    copies.get(model.id)?.push(node);
  });
  const unserved = (model: benchTypes.ModelSpec) =>
    model.demandWeight / (copies.get(model.id) as Node[]).length;
  let open = [...size.models];
  while (open.length > 0) {
    open.sort((left, right) => unserved(right) - unserved(left));
    const model = open[0] as benchTypes.ModelSpec;
    const taken = copies.get(model.id) as Node[];
    const node = emptiest(inPool(model), model, taken);
    if (node === undefined) {
      open = open.slice(1);
      continue;
    }
    const before = model.demandWeight / taken.length;
    const after = model.demandWeight / (taken.length + 1);
    taken.forEach((other) => {
      other.demand += after - before;
    });
    place(node, model, after);
    taken.push(node);
  }
  return new Map(nodes.map((node) => [node.spec.id, node.models]));
}
