/** Who is there: the members as one process sees them. */
import type { peer } from '@copperlever/protocol';
import type { results } from '@copperlever/runtime';

export type MemberStatus = 'alive' | 'suspected' | 'leaving' | 'dead';

/** One process of the system. The later of two records has the higher incarnation, then revision. */
export type Member = {
  memberId: string;
  incarnation: number;
  revision: number;
  status: MemberStatus;
  /** `host:port` of its gRPC server. */
  address: string;
  region: string;
  failureDomain: string;
  /** What the member says of itself; opaque to the library. */
  attributes: Buffer;
};

/** What a process says of itself when it starts. */
export type SelfDescription = Omit<Member, 'revision' | 'status'>;

export type Membership = {
  /** Every member that is known and not dead, this process among them. */
  members: () => readonly Member[];
  find: (memberId: string) => Member | undefined;
  self: () => Member;
  /** Changes what this process says of itself. */
  setAttributes: (attributes: Buffer) => void;
  /** Says that this process is leaving; it should take no new work from now on. */
  leave: () => void;
  /** A call to the member failed: evidence beside the probes. */
  reportUnreachable: (memberId: string) => void;
  onChange: (listener: () => void) => void;
};

/** A fact that every process should learn once, such as a quarantined fingerprint. */
export type Notice = { topic: string; key: string; expiresAtMs: number };

export type Notices = {
  /** Tells every process, until `expiresAtMs` on the local monotonic clock. */
  publish: (notice: Notice) => void;
  has: (topic: string, key: string) => boolean;
  list: (topic: string) => readonly Notice[];
  onNotice: (listener: (notice: Notice) => void) => void;
};

/** Why a peer gave no answer. */
export type PeerError =
  { kind: 'unreachable'; address: string; reason: string } | { kind: 'deadline'; address: string };

/** How this process calls its peers. Replaced by a queue in tests. */
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

/** What this process answers its peers. */
export type PeerHandlers = {
  probe: (message: peer.ProbeMessage) => peer.ProbeMessage;
  probeIndirectly: (request: peer.IndirectProbeRequest) => Promise<peer.IndirectProbeReply>;
  listMembers: (request: peer.ListMembersRequest) => peer.ListMembersReply;
  fetchConfig: (request: peer.FetchConfigRequest) => peer.FetchConfigReply;
};
