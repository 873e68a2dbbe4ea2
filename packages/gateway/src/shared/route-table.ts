/** Finds the route of a request. */
import type * as fleet from '../types/fleet.js';

export type RouteTable = { find: (host: string, path: string) => fleet.Route | null };

/** Host names are compared without case and without the port that callers may add. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** Indexes routes by host with the longest prefix first, so that the first match is the right one. */
export function createRouteTable(routes: readonly fleet.Route[]): RouteTable {
  const byHost = new Map<string, fleet.Route[]>();
  routes.forEach((route) => {
    const host = normalizeHost(route.host);
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  });
  byHost.forEach((list) => list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return {
    find: (host, path) => {
      const list = byHost.get(normalizeHost(host)) ?? [];
      return list.find((route) => path.startsWith(route.pathPrefix)) ?? null;
    },
  };
}

/** Picks one of a route's target services by weight; `fraction` is below 1. */
export function chooseService(targets: readonly fleet.RouteTarget[], fraction: number): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * total;
  for (const target of targets) {
    if (remaining < target.weight) return target.service;
    remaining -= target.weight;
  }
  return targets.at(-1)?.service ?? '';
}
