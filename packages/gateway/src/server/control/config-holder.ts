/** The configuration in force: only ever a newer one takes its place. */
import type { logs } from '@copperlever/runtime';

import * as routeTables from '../../shared/route-table.js';
import type * as fleet from '../../types/fleet.js';
import type * as forwarding from '../forwarding/app.js';

export type ConfigHolder = {
  current: () => forwarding.InForce | null;
  version: () => number;
  serviceOf: (name: string) => fleet.Service | null;
  /** Puts `config` in force if it is newer; says whether it did. */
  offer: (config: fleet.FleetConfig, source: string) => boolean;
  onChange: (listener: (config: fleet.FleetConfig) => void) => void;
};

export function createConfigHolder(log: logs.Logger): ConfigHolder {
  let inForce: forwarding.InForce | null = null;
  let services = new Map<string, fleet.Service>();
  const listeners: ((config: fleet.FleetConfig) => void)[] = [];
  return {
    current: () => inForce,
    version: () => inForce?.config.version ?? 0,
    serviceOf: (name) => services.get(name) ?? null,
    offer: (config, source) => {
      const before = inForce?.config.version ?? 0;
      if (config.version <= before) return false;
      inForce = { config, routes: routeTables.createRouteTable(config.routes) };
      services = new Map(config.services.map((service) => [service.name, service]));
      log.info('config-in-force', { configVersion: config.version, before, source });
      listeners.forEach((listener) => listener(config));
      return true;
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
}
