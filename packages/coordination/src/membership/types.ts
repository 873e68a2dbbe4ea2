/** Who is there: the members as one process sees them. */

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

export type Membership = {
  /** Every member that is known and not dead, this process among them. */
  members: () => readonly Member[];
  find: (memberId: string) => Member | undefined;
  self: () => Member;
  /** Changes what this process says of itself. */
  setAttributes: (attributes: Buffer) => void;
  /** Says that this process is leaving; it should take no new work from now on. */
  leave: () => void;
  /** A call to the member failed or succeeded: evidence beside the probes. */
  reportUnreachable: (memberId: string) => void;
  onChange: (listener: () => void) => void;
};
