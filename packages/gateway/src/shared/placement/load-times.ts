/** The expected time until a model is loaded by the upstream that can load it fastest. */
import type * as fleet from '../../types/fleet.js';

/**
 * Measured time before the load itself starts: reporting demand to the lease holder, planning, and unloading another
 * model.
 */
const LOAD_OVERHEAD_MS = 1_400;
/** For a model that is not in the configuration yet. */
const UNKNOWN_LOAD_MS = 2_500;

export function expectedLoadMs(
  spec: fleet.ModelSpec | undefined,
  upstreams: readonly fleet.UpstreamRecord[],
): number {
  if (spec === undefined) return UNKNOWN_LOAD_MS;
  // Another model has to be unloaded first in nearly all cases, and then a load from host memory is no faster than from
  // disk.
  const isStaged = upstreams.some(
    ({ hostModels, diskModels }) =>
      hostModels.includes(spec.name) || diskModels.includes(spec.name),
  );
  if (isStaged) {
    return LOAD_OVERHEAD_MS + spec.diskLoadMs;
  }
  return LOAD_OVERHEAD_MS + spec.storeLoadMs;
}
