/** Types of the membership protocol: members, notices, and the calls between peers. */
import type { peer } from '@copperlever/protocol';
import type { results } from '@copperlever/runtime';

export type MemberStatus = 'alive' | 'suspected' | 'leaving' | 'dead';

/** The record of one process. Of two records, the newer has the higher incarnation, then the higher revision. */
export type Member = {
  memberId: string;
  incarnation: number;
  revision: number;
  status: MemberStatus;
  /** `host:port` of its gRPC server. */
  address: string;
  region: string;
  failureDomain: string;
  /** Application data that the member publishes about itself; opaque to the library. */
  attributes: Buffer;
};

/** The record that a process publishes about itself when it starts. */
export type SelfDescription = Omit<Member, 'revision' | 'status'>;

export type Membership = {
  /** Every known member that is not dead, including this process. */
  members: () => readonly Member[];
  find: (memberId: string) => Member | undefined;
  self: () => Member;
  /** Changes the attributes that this process publishes about itself. */
  setAttributes: (attributes: Buffer) => void;
  /** Announces that this process is leaving, so that it is given no new work. */
  leave: () => void;
  /** Reports that a call to the member failed; the member is probed, unless too many probes were sent lately. */
  reportUnreachable: (memberId: string) => void;
  onChange: (listener: () => void) => void;
};

/** A fact that is sent to every process, such as a quarantined fingerprint. */
export type Notice = { topic: string; key: string; expiresAtMs: number };

export type Notices = {
  /** Spreads the notice to every process; it holds until `expiresAtMs` on the local monotonic clock. */
  publish: (notice: Notice) => void;
  has: (topic: string, key: string) => boolean;
  list: (topic: string) => readonly Notice[];
  onNotice: (listener: (notice: Notice) => void) => void;
};

/** Why a call to a peer failed. */
export type PeerError =
  { kind: 'unreachable'; address: string; reason: string } | { kind: 'deadline'; address: string };

/** Calls to other processes; tests use an in-process queue network instead of gRPC. */
export type PeerTransport = {
  probe: (
    address: string,
    message: peer.ProbeMessage,
    deadlineMs: number,
  ) => Promise<results.Result<peer.ProbeMessage, PeerError>>;
  probeIndirectly: (
    address: string,
    request: peer.IndirectProbeRequest,
    deadlineMs: number,
  ) => Promise<results.Result<peer.IndirectProbeReply, PeerError>>;
  listMembers: (
    address: string,
    request: peer.ListMembersRequest,
    deadlineMs: number,
  ) => Promise<results.Result<peer.ListMembersReply, PeerError>>;
  fetchConfig: (
    address: string,
    request: peer.FetchConfigRequest,
    deadlineMs: number,
  ) => Promise<results.Result<peer.FetchConfigReply, PeerError>>;
};

/** Handles calls from other processes. */
export type PeerHandlers = {
  probe: (message: peer.ProbeMessage) => peer.ProbeMessage;
  probeIndirectly: (request: peer.IndirectProbeRequest) => Promise<peer.IndirectProbeReply>;
  listMembers: (request: peer.ListMembersRequest) => peer.ListMembersReply;
  fetchConfig: (request: peer.FetchConfigRequest) => peer.FetchConfigReply;
};
