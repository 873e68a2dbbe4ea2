/** Resolves the name in a request to its target: a model, an adapter with its base model, or a plain service. */
import type * as schema from './schema.js';

export type Target =
  | { kind: 'model'; name: string; model: string }
  | { kind: 'adapter'; name: string; model: string }
  | { kind: 'service'; name: string; pool: string };

/** Finds the model or adapter with the name `name`. */
export function findModelTarget(document: schema.Document, name: string): Target | null {
  if (Object.hasOwn(document.models, name)) return { kind: 'model', name, model: name };
  const adapter = Object.hasOwn(document.adapters, name) ? document.adapters[name] : undefined;
  return adapter === undefined ? null : { kind: 'adapter', name, model: adapter.model };
}

export function findServiceTarget(document: schema.Document, name: string): Target | null {
  const service = Object.hasOwn(document.services, name) ? document.services[name] : undefined;
  return service === undefined ? null : { kind: 'service', name, pool: service.pool };
}

/** The pools whose upstreams may serve `target`. */
export function poolsOf(document: schema.Document, target: Target): readonly string[] {
  switch (target.kind) {
    case 'model':
    case 'adapter':
      return document.models[target.model]?.pools ?? [];
    case 'service':
      return [target.pool];
  }
}

/** The priority class of a request for `target` that does not specify one. */
export function defaultPriorityClass(
  document: schema.Document,
  target: Target,
): schema.PriorityClass {
  switch (target.kind) {
    case 'model':
      return document.models[target.model]?.priorityClass ?? 'standard';
    case 'adapter':
      return (
        document.adapters[target.name]?.priorityClass ??
        document.models[target.model]?.priorityClass ??
        'standard'
      );
    case 'service':
      return document.services[target.name]?.priorityClass ?? 'standard';
  }
}
