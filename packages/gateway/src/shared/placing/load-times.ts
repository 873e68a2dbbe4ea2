/** How long a model takes to come to the upstream that has it nearest. */
import type * as fleet from '../../types/fleet.js';

/** Telling the holder, planning, and unloading what makes way, before the load itself begins. */
const BEFORE_LOAD_MS = 700;
/** For a model that the configuration does not know yet. */
const UNKNOWN_LOAD_MS = 2_500;

export function nearestLoadMs(
  spec: fleet.ModelSpec | undefined,
  upstreams: readonly fleet.UpstreamRecord[],
): number {
  if (spec === undefined) return UNKNOWN_LOAD_MS;
  if (upstreams.some(({ hostModels }) => hostModels.includes(spec.name))) {
    return BEFORE_LOAD_MS + spec.hostLoadMs;
  }
  if (upstreams.some(({ diskModels }) => diskModels.includes(spec.name))) {
    return BEFORE_LOAD_MS + spec.diskLoadMs;
  }
  return BEFORE_LOAD_MS + spec.storeLoadMs;
}
