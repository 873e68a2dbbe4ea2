/** What operators ask an entry: who is there, and what is in force. */
import type { schema } from '@copperlever/configuration';
import type { membershipTypes } from '@copperlever/coordination';
import { attributes, daemonAttributes } from '@copperlever/protocol';
import type * as fastify from 'fastify';

export type OperatorDeps = {
  entryId: string;
  members: () => readonly membershipTypes.Member[];
  configuration: () => { version: number; document: schema.Document } | null;
  openCallCount: () => number;
};

export type MemberView = {
  memberId: string;
  role: 'entry' | 'agent';
  status: membershipTypes.MemberStatus;
  address: string;
  failureDomain: string;
  incarnation: number;
  upstreamId: string;
  readyTargets: readonly string[];
};

function viewMember(member: membershipTypes.Member): MemberView {
  const said = daemonAttributes.read(member.attributes) ?? attributes.DaemonAttributes.create();
  const isAgent = said.role === attributes.DaemonRole.DAEMON_ROLE_AGENT;
  return {
    memberId: member.memberId,
    role: isAgent ? 'agent' : 'entry',
    status: member.status,
    address: member.address,
    failureDomain: member.failureDomain,
    incarnation: member.incarnation,
    upstreamId: said.upstreamId,
    readyTargets: said.readyTargets,
  };
}

export function registerOperator(app: fastify.FastifyInstance, deps: OperatorDeps): void {
  app.get('/operator/status', () => ({
    entryId: deps.entryId,
    configVersion: deps.configuration()?.version ?? 0,
    openCallCount: deps.openCallCount(),
    members: deps.members().map(viewMember),
  }));
}
