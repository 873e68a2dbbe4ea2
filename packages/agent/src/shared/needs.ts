/** What the configuration asks of one engine's memory. */
import { type schema, targets } from '@copperlever/configuration';

import type * as ledgers from './memory-ledger.js';

/** What `target` needs in memory: its model, and the adapter where it is one. */
export function copiesFor(document: schema.Document, target: string): ledgers.SizedCopy[] {
  const found = targets.findModelTarget(document, target);
  if (found === null || found.kind === 'service') return [];
  const model = document.models[found.model];
  if (model === undefined) return [];
  const base = { name: found.model, version: model.version, sizeBytes: model.sizeBytes };
  if (found.kind === 'model') return [base];
  const adapter = document.adapters[found.name];
  if (adapter === undefined) return [base];
  return [base, { name: found.name, version: adapter.version, sizeBytes: adapter.sizeBytes }];
}

/** The copy that the configuration means by a model's or an adapter's name; null when it is gone. */
export function configuredCopy(document: schema.Document, name: string): ledgers.SizedCopy | null {
  return copiesFor(document, name).at(-1) ?? null;
}

/** Whether `target` may be served by the upstream at all. */
export function isServedBy(document: schema.Document, target: string, upstreamId: string): boolean {
  const upstream = document.upstreams[upstreamId];
  const found = targets.findModelTarget(document, target);
  if (upstream === undefined || found === null) return false;
  return targets.poolsOf(document, found).includes(upstream.pool);
}

/** The memory that the configuration gives to an upstream's copies. */
export function capacityBytes(document: schema.Document, upstreamId: string): number {
  const upstream = document.upstreams[upstreamId];
  return upstream?.kind === 'engine' ? upstream.memoryBytes : 0;
}

/** The models of the configuration; adapters are left out. */
export function isModel(document: schema.Document, name: string): boolean {
  return Object.hasOwn(document.models, name);
}
