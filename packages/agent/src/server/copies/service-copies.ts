/** A plain service holds no models: every service of its pool is always ready. */
import { results } from '@copperlever/runtime';

import type * as types from './types.js';

export function createServiceCopies(serviceNames: () => readonly string[]): types.Copies {
  return {
    knows: (target) => serviceNames().includes(target),
    isReady: () => true,
    ensureReady: () => Promise.resolve(results.Ok(undefined)),
    hold: () => () => {},
    readyTargets: serviceNames,
    onChange: () => {},
  };
}
