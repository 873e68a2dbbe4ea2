/** Makes the parts that find out which requests crash upstreams. */
import * as crashTrackers from './server/crashes/crash-tracker.js';
import * as quarantineKeepers from './server/crashes/quarantine-keeper.js';
import * as livenessProbes from './server/crashes/liveness-probe.js';
import * as crashEvidence from './shared/crashes/crash-evidence.js';
import * as requestCensus from './shared/crashes/request-census.js';
import type * as partTypes from './types/parts.js';

export function createQuarantineKeeper(
  parts: partTypes.GatewayParts,
): quarantineKeepers.QuarantineKeeper {
  const { clock, log, store, quarantine, settings } = parts;
  return quarantineKeepers.createQuarantineKeeper({
    clock,
    log,
    store,
    quarantine,
    applyEntries: parts.crashes.applyEntries,
    isHolder: () => parts.lease.heldTerm() !== null,
    gatewayId: settings.gatewayId,
  });
}

export function createCrashes(parts: partTypes.GatewayParts): crashTrackers.CrashTracker {
  const { clock, log, metrics, directory, quarantine, link, book, settings } = parts;
  return crashTrackers.createCrashTracker({
    clock,
    log,
    metrics,
    quarantine,
    link,
    book,
    gatewayId: settings.gatewayId,
    address: settings.peerAddress,
    onDecided: () => parts.quarantineKeeper.wake(),
    claim: (entry) => parts.quarantineKeeper.claim(entry),
    evidence: crashEvidence.createCrashEvidence(),
    census: requestCensus.createRequestCensus(),
    probe: livenessProbes.probe,
    listedMs: directory.firstListedMs,
    isLeaving: (upstreamId) => !directory.mayGetWork(upstreamId, clock.nowMs()),
  });
}
