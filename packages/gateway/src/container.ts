/** Joins the parts of a gateway; each part gets only what it names. */
import { quarantine as quarantineModule } from '@copperlever/decisions';
import { clocks, logs, randoms } from '@copperlever/runtime';
import * as awilix from 'awilix';

import * as configHolder from './server/control/config-holder.js';
import * as connectionsModule from './server/forwarding/connections.js';
import * as serving from './server/forwarding/serve.js';
import * as listedPlacement from './server/placing/listed-placement.js';
import * as inFlightModule from './shared/in-flight.js';
import * as promptCaches from './shared/prompt-caches.js';
import * as retryShares from './shared/retry-share.js';
import * as beliefsModule from './shared/upstream-beliefs.js';
import * as directories from './shared/upstream-directory.js';
import type * as dialects from './types/dialects.js';
import type * as placementTypes from './types/placement.js';
import type * as settingsModule from './types/settings.js';
import type * as stores from './types/stores.js';

const MS_PER_SECOND = 1_000;

/** What the platform that the gateway runs on brings along. */
export type PlatformParts = {
  dialect: dialects.Dialect;
  store: stores.RecordStore;
  upstreamControl: dialects.UpstreamControl;
};

export type GatewayParts = PlatformParts & {
  settings: settingsModule.Settings;
  clock: clocks.Clock;
  random: randoms.Random;
  log: logs.Logger;
  directory: directories.UpstreamDirectory;
  beliefs: beliefsModule.UpstreamBeliefs;
  inFlight: inFlightModule.InFlight;
  caches: promptCaches.PromptCaches;
  retryShare: retryShares.RetryShare;
  quarantine: quarantineModule.Quarantine;
  connections: connectionsModule.Connections;
  configuration: configHolder.ConfigHolder;
  placement: placementTypes.Placement;
  serve: serving.Serve;
};

export function createContainer(
  settings: settingsModule.Settings,
  createPlatform: (clock: clocks.Clock, log: logs.Logger) => PlatformParts,
) {
  const container = awilix.createContainer<GatewayParts>({ strict: true });
  const clock = clocks.createSystemClock();
  const log = logs.createLogger({ daemonId: settings.gatewayId, level: settings.logLevel });
  const platform = createPlatform(clock, log);
  container.register({
    settings: awilix.asValue(settings),
    clock: awilix.asValue(clock),
    log: awilix.asValue(log),
    dialect: awilix.asValue(platform.dialect),
    store: awilix.asValue(platform.store),
    upstreamControl: awilix.asValue(platform.upstreamControl),
    random: awilix.asFunction(randoms.createSystemRandom).singleton(),
    directory: awilix.asFunction(directories.createUpstreamDirectory).singleton(),
    beliefs: awilix.asFunction(beliefsModule.createUpstreamBeliefs).singleton(),
    inFlight: awilix.asFunction(inFlightModule.createInFlight).singleton(),
    caches: awilix.asFunction(promptCaches.createPromptCaches).singleton(),
    quarantine: awilix.asFunction(quarantineModule.createQuarantine).singleton(),
    connections: awilix.asFunction(connectionsModule.createConnections).singleton(),
    configuration: awilix
      .asFunction((parts: GatewayParts) => configHolder.createConfigHolder(parts.log))
      .singleton(),
    retryShare: awilix
      .asFunction(() =>
        retryShares.createRetryShare({
          ratio: settings.retryRatio,
          slack: settings.retrySlack,
          windowMs: settings.retryWindowS * MS_PER_SECOND,
        }),
      )
      .singleton(),
    placement: awilix
      .asFunction((parts: GatewayParts) => listedPlacement.createListedPlacement(parts.clock))
      .singleton(),
    serve: awilix
      .asFunction((parts: GatewayParts) =>
        serving.createServe({
          clock: parts.clock,
          log: parts.log,
          random: parts.random,
          dialect: parts.dialect,
          directory: parts.directory,
          beliefs: parts.beliefs,
          inFlight: parts.inFlight,
          caches: parts.caches,
          retryShare: parts.retryShare,
          quarantine: parts.quarantine,
          connections: parts.connections,
          placement: parts.placement,
          serviceOf: parts.configuration.serviceOf,
          gatewayCount: () => 4,
          failureDomain: settings.failureDomain,
        }),
      )
      .singleton(),
  });
  return container;
}
