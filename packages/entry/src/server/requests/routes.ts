/** Where a request goes next. */
import type { schema } from '@copperlever/configuration';
import { routing } from '@copperlever/decisions';
import type { randoms } from '@copperlever/runtime';

import type * as directories from '../../shared/agent-directory.js';
import type * as suspectsModule from '../../shared/suspects.js';
import type * as links from '../../types/links.js';
import type * as runs from '../../types/runs.js';

export type RoutesDeps = {
  random: randoms.Random;
  directory: directories.AgentDirectory;
  suspects: suspectsModule.Suspects;
  configuration: () => { version: number; document: schema.Document } | null;
  region: string;
};

function chooseAmong(
  deps: RoutesDeps,
  run: runs.Run,
  known: readonly directories.KnownAgent[],
  excludedIds: ReadonlySet<string>,
): links.AgentTarget | null {
  const request = {
    target: run.call.target.name,
    prefixKey: run.call.prefixKey,
    localRegion: deps.region,
    excludedIds,
  };
  const candidates = known.map((one) => one.candidate);
  const chosen = routing.chooseRoute(request, candidates, deps.random.fraction);
  if (chosen.kind === 'nowhere') return null;
  return known.find((one) => one.target.agentId === chosen.upstreamId)?.target ?? null;
}

/** The agent for the next attempt of `run`; null when there is none left. */
export function choose(deps: RoutesDeps, run: runs.Run): links.AgentTarget | null {
  const configuration = deps.configuration();
  if (configuration === null) return null;
  const known = deps.directory.find(run.call.target, configuration.document);
  if (run.crashCount === 0) return chooseAmong(deps, run, known, run.excludedIds);
  // Two suspects on one engine could not be told apart by its crash.
  const apart = new Set([...run.excludedIds, ...deps.suspects.busyAgentIds()]);
  return chooseAmong(deps, run, known, apart) ?? chooseAmong(deps, run, known, run.excludedIds);
}
