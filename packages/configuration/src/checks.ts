/** Checks that the schema cannot express: references between parts of the document, and memory limits. */
import type * as schema from './schema.js';

/** A problem of a document, with the field at fault. */
export type DocumentProblem =
  | { kind: 'malformed'; field: string; reason: string }
  | { kind: 'unknown-reference'; field: string; name: string }
  | { kind: 'does-not-fit'; field: string; neededBytes: number; availableBytes: number };

export function describeProblem(problem: DocumentProblem): string {
  switch (problem.kind) {
    case 'malformed':
      return `${problem.field}: ${problem.reason}`;
    case 'unknown-reference':
      return `${problem.field}: there is no "${problem.name}"`;
    case 'does-not-fit':
      return `${problem.field}: needs ${problem.neededBytes} bytes of accelerator memory, ${problem.availableBytes} are there`;
  }
}

/** The size of one copy of a model, including all adapters based on the model. */
export function copySizeBytes(document: schema.Document, modelName: string): number {
  const weightsBytes = document.models[modelName]?.sizeBytes ?? 0;
  return Object.values(document.adapters)
    .filter((adapter) => adapter.model === modelName)
    .reduce((sumBytes, adapter) => sumBytes + adapter.sizeBytes, weightsBytes);
}

function findUnknownReferences(document: schema.Document): DocumentProblem[] {
  const pools = new Set(Object.values(document.upstreams).map((upstream) => upstream.pool));
  const problems: DocumentProblem[] = [];
  for (const [modelName, model] of Object.entries(document.models)) {
    model.pools.forEach((pool, index) => {
      if (pools.has(pool)) return;
      problems.push({
        kind: 'unknown-reference',
        field: `models.${modelName}.pools.${index}`,
        name: pool,
      });
    });
  }
  for (const [adapterName, adapter] of Object.entries(document.adapters)) {
    if (document.models[adapter.model] !== undefined) continue;
    problems.push({
      kind: 'unknown-reference',
      field: `adapters.${adapterName}.model`,
      name: adapter.model,
    });
  }
  for (const [serviceName, service] of Object.entries(document.services)) {
    if (pools.has(service.pool)) continue;
    problems.push({
      kind: 'unknown-reference',
      field: `services.${serviceName}.pool`,
      name: service.pool,
    });
  }
  return problems;
}

/** Callers address models and adapters by name in the same way, so names must be unique across both. */
function findDuplicateNames(document: schema.Document): DocumentProblem[] {
  return Object.keys(document.adapters)
    .filter((adapterName) => document.models[adapterName] !== undefined)
    .map((adapterName) => ({
      kind: 'malformed',
      field: `adapters.${adapterName}`,
      reason: 'a model has the same name',
    }));
}

function enginesOf(document: schema.Document, pools: readonly string[]): schema.EngineUpstream[] {
  return Object.values(document.upstreams).filter(
    (upstream): upstream is schema.EngineUpstream =>
      upstream.kind === 'engine' && pools.includes(upstream.pool),
  );
}

function findOversizedModels(document: schema.Document): DocumentProblem[] {
  const problems: DocumentProblem[] = [];
  for (const [modelName, model] of Object.entries(document.models)) {
    const engines = enginesOf(document, model.pools);
    const availableBytes = Math.max(0, ...engines.map((engine) => engine.memoryBytes));
    const neededBytes = copySizeBytes(document, modelName);
    if (engines.length > 0 && neededBytes > availableBytes) {
      problems.push({
        kind: 'does-not-fit',
        field: `models.${modelName}.sizeBytes`,
        neededBytes,
        availableBytes,
      });
    }
  }
  return problems;
}

/**
 * The minimum copies of all models must fit at the same time, or one model would have to be evicted to serve another.
 * For each set of pools that a model names, sums the models whose pools all lie within the set.
 */
function findOvercommittedPools(document: schema.Document): DocumentProblem[] {
  const poolSets = new Map<string, readonly string[]>();
  Object.values(document.models).forEach((model) => {
    const pools = [...model.pools].sort();
    poolSets.set(pools.join('+'), pools);
  });
  const problems: DocumentProblem[] = [];
  for (const [label, pools] of poolSets) {
    const availableBytes = enginesOf(document, pools).reduce(
      (sumBytes, engine) => sumBytes + engine.memoryBytes,
      0,
    );
    const neededBytes = Object.entries(document.models)
      .filter(([, model]) => model.pools.every((pool) => pools.includes(pool)))
      .reduce(
        (sumBytes, [modelName, model]) =>
          sumBytes + model.minimumCopies * copySizeBytes(document, modelName),
        0,
      );
    if (neededBytes > availableBytes) {
      problems.push({
        kind: 'does-not-fit',
        field: `models (pools ${label})`,
        neededBytes,
        availableBytes,
      });
    }
  }
  return problems;
}

/** All problems of `document`; a document without problems can be put in force. */
export function findProblems(document: schema.Document): DocumentProblem[] {
  const references = [...findUnknownReferences(document), ...findDuplicateNames(document)];
  if (references.length > 0) return references;
  return [...findOversizedModels(document), ...findOvercommittedPools(document)];
}
