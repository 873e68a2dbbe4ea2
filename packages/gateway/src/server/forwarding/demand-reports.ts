/** Reports the demand for models to the placement, and at which software version a copy is missing. */
import type { clocks } from '@copperlever/runtime';

import type * as upstreamChoice from '../../shared/upstream-choice.js';
import type * as directories from '../../shared/upstream-directory.js';
import * as upstreamHealthModule from '../../shared/upstream-health.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as fleet from '../../types/fleet.js';
import type * as placementTypes from '../../types/placement.js';
import type * as runs from './run.js';

export type DemandReportsDeps = {
  clock: Pick<clocks.Clock, 'nowMs'>;
  directory: Pick<directories.UpstreamDirectory, 'eligible'>;
  beliefs: Pick<upstreamHealthModule.UpstreamHealthTracker, 'health'>;
  placement: Pick<placementTypes.Placement, 'copyAt' | 'noteDemand'>;
  needsModel: (call: calls.Call) => boolean;
  closedOf: (upstreamId: string) => upstreamChoice.Closed | null;
  eligibleFor: (call: calls.Call, run: runs.Run) => readonly fleet.UpstreamRecord[];
};

/** `missing`: reports only if no copy can serve the request now. */
export type RecordDemand = (call: calls.Call, run: runs.Run, when: 'always' | 'missing') => void;

export function createDemandReports(deps: DemandReportsDeps): RecordDemand {
  const { clock, directory, beliefs, placement } = deps;

  /** Whether an upstream with a copy could take it now. */
  function isServed(call: calls.Call, run: runs.Run, model: string): boolean {
    const nowMs = clock.nowMs();
    const records =
      run.boundVersion === null
        ? directory.eligible(call.service, nowMs)
        : deps.eligibleFor(call, run);
    return records.some(
      (record) =>
        placement.copyAt(record, model, call.facts.adapter) !== 'none' &&
        deps.closedOf(record.upstreamId) === null &&
        !upstreamHealthModule.isEjected(beliefs.health(record.upstreamId, nowMs)),
    );
  }

  return (call, run, when) => {
    const { model, adapter } = call.facts;
    if (model === null || !deps.needsModel(call)) return;
    const hasCopy = isServed(call, run, model);
    if (hasCopy && when === 'missing') return;
    // With one version, a copy anywhere serves the stream, and its model is planned for like any other.
    const hasOtherVersions = directory
      .eligible(call.service, clock.nowMs())
      .some(({ softwareVersion }) => softwareVersion !== run.boundVersion);
    placement.noteDemand({
      service: call.service,
      model,
      adapter,
      softwareVersion: hasCopy || !hasOtherVersions ? null : run.boundVersion,
      isServed: hasCopy,
      isDelayTolerant: urgency.isBatch(call.route),
    });
  };
}
