/** What the membership says of a floor's holder. */
import type { schema } from '@copperlever/configuration';
import type { membershipTypes } from '@copperlever/coordination';
import { daemonAttributes } from '@copperlever/protocol';

import type * as floorDecisions from '../../shared/floor-decisions.js';

export type StandingsDeps = {
  find: (memberId: string) => membershipTypes.Member | undefined;
  document: () => schema.Document;
};

export function createStandings(deps: StandingsDeps) {
  return (holderId: string, model: string): floorDecisions.HolderStanding => {
    const member = deps.find(holderId);
    if (member === undefined || member.status === 'dead' || member.status === 'leaving') {
      return 'going';
    }
    const said = daemonAttributes.read(member.attributes);
    if (said === null) return 'going';
    const upstream = deps.document().upstreams[said.upstreamId];
    if (upstream === undefined || upstream.draining) return 'going';
    if (said.handingOver.includes(model)) return 'going';
    return said.readyTargets.includes(model) ? 'keeping' : 'without-copy';
  };
}
