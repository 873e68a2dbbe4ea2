/** How long a model takes to come to the upstream that has it nearest. */
import type * as fleet from '../../types/fleet.js';

/** Telling the holder, planning, and unloading what makes way, before the load itself begins; as measured. */
const BEFORE_LOAD_MS = 1_400;
/** For a model that the configuration does not know yet. */
const UNKNOWN_LOAD_MS = 2_500;

export function nearestLoadMs(
  spec: fleet.ModelSpec | undefined,
  upstreams: readonly fleet.UpstreamRecord[],
): number {
  if (spec === undefined) return UNKNOWN_LOAD_MS;
  // Something has to make way nearly always, and then host memory is no quicker than the disk.
  const isNear = upstreams.some(
    ({ hostModels, diskModels }) =>
      hostModels.includes(spec.name) || diskModels.includes(spec.name),
  );
  if (isNear) {
    return BEFORE_LOAD_MS + spec.diskLoadMs;
  }
  return BEFORE_LOAD_MS + spec.storeLoadMs;
}
