/** Holds the configuration in force, which is replaced only by a newer version. */

import type { clocks } from '@copperlever/runtime';

import * as access from '../../shared/access.js';
import * as routeTables from '../../shared/route-table.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as forwarding from '../forwarding/app.js';

export type ConfigHolder = {
  current: () => forwarding.ActiveConfiguration | null;
  version: () => number;
  /** Time since the present configuration came into force; null before the first one. */
  ageMs: () => number | null;
  serviceOf: (name: string) => fleet.Service | null;
  /** Puts `config` in force if it is newer; returns whether it did. `source` is written to the log. */
  offer: (config: fleet.FleetConfig, source: string) => boolean;
  onChange: (listener: (config: fleet.FleetConfig) => void) => void;
};

export function createConfigHolder(
  log: logEvents.GatewayLog,
  clock: Pick<clocks.Clock, 'nowMs'>,
): ConfigHolder {
  let sinceMs: number | null = null;
  let inForce: forwarding.ActiveConfiguration | null = null;
  let services = new Map<string, fleet.Service>();
  const listeners: ((config: fleet.FleetConfig) => void)[] = [];
  return {
    current: () => inForce,
    version: () => inForce?.config.version ?? 0,
    ageMs: () => (sinceMs === null ? null : clock.nowMs() - sinceMs),
    serviceOf: (name) => services.get(name) ?? null,
    offer: (config, source) => {
      const before = inForce?.config.version ?? 0;
      if (config.version <= before) return false;
      // All of it before any of it is in force: one that cannot be used leaves the one before whole.
      const routes = routeTables.createRouteTable(config.routes);
      const accessTable = access.createAccessTable(config.organisations);
      const servicesByName = new Map(config.services.map((service) => [service.name, service]));
      sinceMs = clock.nowMs();
      inForce = { config, routes, access: accessTable };
      services = servicesByName;
      log.info('config-in-force', { configVersion: config.version, before, source });
      listeners.forEach((listener) => listener(config));
      return true;
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
}
