/** The parts of a gateway; each is made from those that it names. */
import type * as quarantineModule from '@copperlever/decisions/quarantine';
import type { clocks, logs, randoms } from '@copperlever/runtime';
import type * as configHolder from '../server/control/config-holder.js';
import type * as connectionsModule from '../server/forwarding/connections.js';
import type * as intakes from '../server/forwarding/intake.js';
import type * as loopAgesModule from '../server/forwarding/loop-ages.js';
import type * as openCallsModule from '../server/forwarding/open-calls.js';
import type * as plainGates from '../server/forwarding/plain-gate.js';
import type * as serving from '../server/forwarding/serve.js';
import type * as sheddings from '../server/health/shedding.js';
import type * as metricsModule from '../server/metrics/metrics.js';
import type * as exchanges from '../server/peers/exchange.js';
import type * as peerLinks from '../server/peers/peer-link.js';
import type * as leaseKeepers from '../server/placing/lease-keeper.js';
import type * as placers from '../server/placing/placer.js';
import type * as quotasModule from '../server/quotas/quotas.js';
import type * as inFlightModule from '../shared/in-flight.js';
import type * as peerBooks from '../shared/peer-book.js';
import type * as demandCounters from '../shared/placing/demand-counters.js';
import type * as placementViews from '../shared/placing/placement-view.js';
import type * as listFeeds from '../shared/list-feed.js';
import type * as pacesModule from '../shared/paces.js';
import type * as plainPlaces from '../shared/plain-places.js';
import type * as plainTimes from '../shared/plain-times.js';
import type * as promptCaches from '../shared/prompt-caches.js';
import type * as speedSharing from '../shared/speed-sharing.js';
import type * as retryShares from '../shared/retry-share.js';
import type * as upstreamLimits from '../shared/upstream-limits.js';
import type * as upstreamWords from '../server/forwarding/upstream-words.js';
import type * as upstreamPauses from '../shared/upstream-pauses.js';
import type * as turnsModule from '../server/turns/turns.js';
import type * as limitsModule from '../server/limits/limits.js';
import type * as suspectsModule from '../shared/suspects.js';
import type * as beliefsModule from '../shared/upstream-beliefs.js';
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
  isStoreConnected: () => boolean;
  hasListing: () => boolean;
  onUpstreamsLearned: () => void;
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
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  suspects: suspectsModule.Suspects;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  paces: pacesModule.Paces;
  plainTimes: plainTimes.PlainTimes;
  plainPlaces: plainPlaces.PlainPlaces;
  plainGate: plainGates.PlainGate;
  retryShare: retryShares.RetryShare;
  upstreamLimits: upstreamLimits.UpstreamLimits;
  limits: limitsModule.Limits;
  turns: turnsModule.Turns;
  pauses: upstreamPauses.UpstreamPauses;
  states: upstreamStates.UpstreamStates;
  speedTeller: speedSharing.SpeedTeller;
  speedPool: speedSharing.SpeedPool;
  words: upstreamWords.UpstreamWords;
  quarantine: quarantineModule.Quarantine;
  connections: connectionsModule.Connections;
  configuration: configHolder.ConfigHolder;
  placement: placementTypes.Placement;
  openCalls: openCallsModule.OpenCalls;
  quotas: quotasModule.Quotas;
  loopAges: loopAgesModule.LoopAges;
  intake: intakes.Intake;
  shedding: sheddings.Shedding;
  book: peerBooks.PeerBook;
  listFeed: listFeeds.ListFeed;
  demand: demandCounters.DemandCounters;
  view: placementViews.PlacementView;
  link: peerLinks.PeerLink;
  lease: leaseKeepers.LeaseKeeper;
  placer: placers.Placer;
  exchange: exchanges.Exchange;
  status: GatewayStatus;
  serve: serving.Serve;
};
