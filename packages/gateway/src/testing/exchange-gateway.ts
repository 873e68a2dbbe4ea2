/** The exchange of one gateway with the parts that it tells of, without a network. */
import type { clocks } from '@copperlever/runtime';
import { logs, randoms } from '@copperlever/runtime';
import * as inFlightModule from '../shared/in-flight.js';
import * as quarantines from '../shared/crashes/quarantine.js';
import * as relayedLists from '../shared/relayed-list.js';
import * as peerRegistries from '../shared/peer-registry.js';
import * as demandCounters from '../shared/placement/demand-counters.js';
import * as placementViews from '../shared/placement/placement-view.js';
import * as speedSharing from '../shared/speed-sharing.js';
import * as sharedEjectionsModule from '../shared/shared-ejections.js';
import * as upstreamLimitsModule from '../shared/upstream-limits.js';
import * as upstreamPauses from '../shared/upstream-pauses.js';
import * as listBudgets from '../shared/list-budget.js';
import * as storeContacts from '../shared/store-contact.js';
import * as upstreamStates from '../shared/upstream-states.js';
import * as directories from '../shared/upstream-directory.js';
import type * as fleet from '../types/fleet.js';
import * as configHolders from '../server/control/config-holder.js';
import * as upstreamSignals from '../server/forwarding/upstream-signals.js';
import type * as leaseManagers from '../server/placement/lease-manager.js';
import type * as placementControllers from '../server/placement/placement-controller.js';
import * as quotasModule from '../server/quotas/quotas.js';
import * as exchanges from '../server/peers/exchange.js';
import type * as peerLinks from '../server/peers/peer-link.js';

/** The holder of the lease until another is named. */
export const HOLDER = { holderId: 'g1', term: 4 };
export const ORGANISATION: fleet.Organisation = {
  name: 'o1',
  apiKeys: ['k1'],
  priority: null,
  quota: { unit: 'requests', perSecond: 20, burst: 40, plainTokens: 0 },
};

export type ExchangeGatewayOptions = {
  gatewayId: string;
  clock: clocks.Clock;
  link: peerLinks.PeerLink;
  /** Those that lend credits; the holder's come first. */
  lenders: quotasModule.Quotas[];
  drainTimeoutMs: number;
  seed: number;
  seedAddresses: readonly string[];
  /** What the parts that follow the store say; left out, what the state says. */
  status?: {
    isStoreConnected: () => boolean;
    storeEra: () => number;
    onLaterEra: () => void;
  };
};

export type ExchangeGateway = ReturnType<typeof createExchangeGateway>;

export function addressOf(gatewayId: string): string {
  return `${gatewayId}:1`;
}

export function createExchangeGateway({
  gatewayId,
  clock,
  link,
  lenders,
  drainTimeoutMs,
  seed,
  seedAddresses,
  status,
}: ExchangeGatewayOptions) {
  const state = {
    heldTerm: null as number | null,
    isStopping: false,
    avoidedIds: [] as string[],
    gatewayCount: 2,
    storeEra: 0,
    renewals: 0,
  };
  // Told apart from the same gateway's earlier lives, and from others.
  const incarnation = 1_000 + seed;
  const book = peerRegistries.createPeerRegistry(gatewayId);
  const suspects = sharedEjectionsModule.createSharedEjections();
  const listBudget = listBudgets.listBudget(drainTimeoutMs);
  const listFeed = relayedLists.createRelayedList(listBudget);
  const contact = storeContacts.createStoreContact(drainTimeoutMs);
  const inFlight = inFlightModule.createInFlight();
  const directory = directories.createUpstreamDirectory();
  const log = logs.createSilentLogger();
  const placer = {
    applyDemand: () => {},
    updatesSince: () => null,
  } as Partial<placementControllers.PlacementController>;
  const lease = { heldTerm: () => state.heldTerm } as Partial<leaseManagers.LeaseManager>;
  const quotas = quotasModule.createQuotas({
    clock,
    log,
    random: randoms.createRandom(6),
    organisations: () => [ORGANISATION],
    gatewayCount: () => state.gatewayCount,
    slack: 0,
    ask: (report) => {
      const [holderQuotas] = lenders;
      const asker = { gatewayId, incarnation };
      return Promise.resolve(holderQuotas?.lend(HOLDER.term, asker, report) ?? null);
    },
  });
  lenders.push(quotas);
  const upstreamLimits = upstreamLimitsModule.createUpstreamLimits();
  const quarantine = quarantines.createQuarantine();
  const states = upstreamStates.createUpstreamStates({ serviceOf: () => 'pool' });
  const exchange = exchanges.createExchange({
    clock,
    random: randoms.createRandom(seed),
    log,
    link,
    book,
    configuration: configHolders.createConfigHolder(log, clock),
    directory,
    inFlight,
    quarantine,
    crashes: {
      applyEntries: (entries) => entries.forEach((entry) => quarantine.apply(entry, clock.nowMs())),
      tellEntries: () => {},
    },
    isQuarantineKnown: () => true,
    onQuarantineKnown: () => {},
    demand: demandCounters.createDemandCounters(),
    view: placementViews.createPlacementView(),
    lease: lease as leaseManagers.LeaseManager,
    beliefs: { ejectedIds: () => state.avoidedIds },
    suspects,
    placer: placer as placementControllers.PlacementController,
    quotas,
    retries: { passOn: () => [], receive: () => {} },
    upstreamLimits,
    words: upstreamSignals.createUpstreamSignals({
      clock,
      log,
      upstreamLimits,
      directory,
      pauses: upstreamPauses.createUpstreamPauses(),
      states,
    }),
    speeds: {
      teller: speedSharing.createSpeedReporter(states),
      pool: speedSharing.createSpeedAggregator(states, incarnation),
    },
    gatewayId,
    incarnation,
    millicores: 500,
    address: addressOf(gatewayId),
    seedAddresses,
    isStopping: () => state.isStopping,
    isStoreConnected: () => status?.isStoreConnected() ?? true,
    listFeed,
    contact,
    onUpstreamsLearned: () => {},
    storeEra: () => status?.storeEra() ?? state.storeEra,
    onLaterEra: () => {
      state.renewals += 1;
      status?.onLaterEra();
    },
    listBudget,
  });
  book.applyLease(HOLDER);
  return {
    state,
    book,
    suspects,
    directory,
    exchange,
    inFlight,
    listFeed,
    contact,
    quotas,
    upstreamLimits,
    states,
  };
}
