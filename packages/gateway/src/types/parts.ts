/** The parts of a gateway; each is made from those that it names. */
import type { clocks, logs, logSinks, randoms } from '@copperlever/runtime';
import type * as stopTimes from '@copperlever/runtime/stop-times';
import type * as byteBudgets from '@copperlever/runtime/byte-budget';
import type * as configHolder from '../server/control/config-holder.js';
import type * as connectionsModule from '../server/forwarding/connections.js';
import type * as heldAnswersModule from '../server/forwarding/held-answers.js';
import type * as requestQueues from '../server/forwarding/request-queue.js';
import type * as readDelays from '../server/forwarding/read-delay.js';
import type * as openCallsModule from '../server/forwarding/open-calls.js';
import type * as plainAdmissions from '../server/forwarding/plain-admission.js';
import type * as serving from '../server/forwarding/serve.js';
import type * as stopAdmissions from '../server/forwarding/stop-admission.js';
import type * as unsentRequests from '../server/forwarding/unsent-requests.js';
import type * as sheddings from '../server/health/shedding.js';
import type * as metricsModule from '../server/metrics/metrics.js';
import type * as exchanges from '../server/peers/exchange.js';
import type * as peerLinks from '../server/peers/peer-link.js';
import type * as leaseManagers from '../server/placement/lease-manager.js';
import type * as placementControllers from '../server/placement/placement-controller.js';
import type * as quotasModule from '../server/quotas/quotas.js';
import type * as originArchives from '../server/streams/origin-archive.js';
import type * as originPeers from '../server/streams/origin-peers.js';
import type * as versionRecorders from '../server/streams/version-recorder.js';
import type * as resumedStreams from '../server/streams/resumed-streams.js';
import type * as inFlightModule from '../shared/in-flight.js';
import type * as peerRegistries from '../shared/peer-registry.js';
import type * as demandCounters from '../shared/placement/demand-counters.js';
import type * as placementViews from '../shared/placement/placement-view.js';
import type * as storeContacts from '../shared/store-contact.js';
import type * as relayedLists from '../shared/relayed-list.js';
import type * as serviceTimesModule from '../shared/service-times.js';
import type * as plainCapacity from '../shared/plain-capacity.js';
import type * as plainServiceTimes from '../shared/plain-service-times.js';
import type * as promptCaches from '../shared/prompt-caches.js';
import type * as speedSharing from '../shared/speed-sharing.js';
import type * as retriesModule from '../server/retries/retries.js';
import type * as upstreamLimits from '../shared/upstream-limits.js';
import type * as upstreamSignals from '../server/forwarding/upstream-signals.js';
import type * as upstreamPauses from '../shared/upstream-pauses.js';
import type * as turnsModule from '../server/turns/turns.js';
import type * as limitsModule from '../server/limits/limits.js';
import type * as quarantineKeepers from '../server/crashes/quarantine-keeper.js';
import type * as crashTrackers from '../server/crashes/crash-tracker.js';
import type * as quarantines from '../shared/crashes/quarantine.js';
import type * as sharedEjectionsModule from '../shared/shared-ejections.js';
import type * as upstreamHealthModule from '../shared/upstream-health.js';
import type * as restartDoubts from '../shared/restart-doubts.js';
import type * as streamOrigins from '../shared/stream-origins.js';
import type * as versionHistories from '../shared/version-history.js';
import type * as directories from '../shared/upstream-directory.js';
import type * as dialects from './dialects.js';
import type * as logEvents from './log-events.js';
import type * as placementTypes from './placement.js';
import type * as settingsModule from './settings.js';
import type * as stores from './stores.js';
import type * as upstreamStates from './upstream-states.js';

/** What the platform that the gateway runs on brings along. */
export type PlatformParts = {
  dialect: dialects.Dialect;
  store: stores.RecordStore;
  upstreamControl: dialects.UpstreamControl;
};

/** What the running daemon knows of itself. */
export type GatewayStatus = {
  isStopping: () => boolean;
  /** Null until a stop begins. */
  stopTimes: () => stopTimes.StopTimes | null;
  isStoreConnected: () => boolean;
  hasListing: () => boolean;
  /** Addresses at which the process does not listen yet. */
  startWaitingCount: () => number;
  onUpstreamsLearned: () => void;
  /** To all upstreams together, beside the connections of callers. */
  upstreamConnectionsMax: () => number;
  descriptors: () => metricsModule.Readings['descriptors'];
  isOutOfDescriptors: () => boolean;
  /** Another gateway has heard of a later era of the store. */
  onLaterEra: () => void;
};

export type GatewayParts = PlatformParts & {
  settings: settingsModule.Settings;
  metrics: metricsModule.GatewayMetrics;
  clock: clocks.Clock;
  random: randoms.Random;
  /** Differs from one start of this gateway to the next. */
  incarnation: number;
  log: logEvents.GatewayLog;
  /** For parts of the runtime, whose lines are their own. */
  runtimeLog: logs.Logger;
  setLogLevel: logs.LeveledLogger['setLevel'];
  logSink: logSinks.LogSink;
  directory: directories.UpstreamDirectory;
  beliefs: upstreamHealthModule.UpstreamHealthTracker;
  suspects: sharedEjectionsModule.SharedEjections;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  paces: serviceTimesModule.ServiceTimeEstimator;
  plainTimes: plainServiceTimes.PlainServiceTimes;
  plainPlaces: plainCapacity.PlainCapacity;
  plainGate: plainAdmissions.PlainAdmission;
  retries: retriesModule.Retries;
  upstreamLimits: upstreamLimits.UpstreamLimits;
  limits: limitsModule.Limits;
  turns: turnsModule.Turns;
  pauses: upstreamPauses.UpstreamPauses;
  states: upstreamStates.UpstreamStates;
  speedTeller: speedSharing.SpeedReporter;
  speedPool: speedSharing.SpeedAggregator;
  words: upstreamSignals.UpstreamSignals;
  quarantine: quarantines.Quarantine;
  connections: connectionsModule.Connections;
  configuration: configHolder.ConfigHolder;
  placement: placementTypes.Placement;
  bodyBudget: byteBudgets.ByteBudget;
  heldAnswers: heldAnswersModule.HeldAnswers;
  openCalls: openCallsModule.OpenCalls;
  unsent: unsentRequests.UnsentRequests;
  stopAdmission: stopAdmissions.StopAdmission;
  quotas: quotasModule.Quotas;
  loopAges: readDelays.ReadDelay;
  intake: requestQueues.RequestQueue;
  shedding: sheddings.Shedding;
  book: peerRegistries.PeerRegistry;
  listFeed: relayedLists.RelayedList;
  storeContact: storeContacts.StoreContact;
  demand: demandCounters.DemandCounters;
  view: placementViews.PlacementView;
  link: peerLinks.PeerLink;
  lease: leaseManagers.LeaseManager;
  placer: placementControllers.PlacementController;
  exchange: exchanges.Exchange;
  status: GatewayStatus;
  crashes: crashTrackers.CrashTracker;
  quarantineKeeper: quarantineKeepers.QuarantineKeeper;
  origins: streamOrigins.StreamOrigins;
  doubts: restartDoubts.RestartDoubts;
  versions: versionHistories.VersionHistory;
  originArchive: originArchives.OriginArchive;
  versionRecorder: versionRecorders.VersionRecorder;
  originPeers: originPeers.OriginPeers;
  streams: resumedStreams.ResumedStreams;
  serve: serving.Serve;
};
