import type { ControlNodeMember } from '../shared/configuration/types';

/** Settings of a control node. */
export type ControlNodeSettings = Readonly<{
  name: string;
  member: ControlNodeMember;
  /** The address to listen on; empty: the address in `member`. */
  listenAddress: string;
  /** Addresses of the first contacts. A new fleet is founded by the nodes at these addresses. */
  seeds: readonly string[];
  /** Name of the member that this node replaces; empty: none. */
  replaces: string;
  /** How many nodes found a new fleet. */
  founders: number;
  /** Timeout of a request to another control node. */
  askMicroseconds: number;
  /** Time limit for an operator's change or read. */
  changeMicroseconds: number;
  /** How often a leader sends heartbeats. */
  heartbeatMicroseconds: number;
  /** A leader that has sent no heartbeat for this long counts as failed. */
  ownerSilentMicroseconds: number;
  /** How long a restarted or newly joined node grants no new lease, since it has forgotten which leases it granted before. */
  leaseMicroseconds: number;
  /** The size of the log at which it is rewritten as a snapshot. */
  rewriteBytes: number;
  /** How long a leader that still sends heartbeats may take for a change that another node has forwarded to it. */
  passMicroseconds: number;
  /** Whether the whole system starts for the first time. A new fleet may be founded only then. */
  isFirstStart: boolean;
  /**
   * named: a node becomes a member only if its settings name the member that it replaces. asks: a node that is not a member asks
   * the members to add it, also after it has lost its membership.
   */
  joins: 'named' | 'asks';
  /** The wanted number of members. Further nodes are standbys. */
  membersWanted: number;
  /** A member that a majority has not heard from for this long may be replaced by a standby. */
  memberSilentMicroseconds: number;
  /** How long a membership change waits for its new member to catch up before the new list applies alone. */
  learnerTimeoutMicroseconds: number;
  /** How long a stopping member continues to vote while its successor catches up. */
  handOverLimitMicroseconds: number;
  /** Whether no seed address can ever belong to another fleet, so that one responding seed is enough to find the fleet. */
  isOnlyFleet: boolean;
  /** How long a majority of the seeds waits for the others before it founds the fleet without them; only where `joins` is asks. */
  majorityFoundingDelayMicroseconds: number;
}>;

/** Default settings of a control node. */
export const ControlNodeDefaults = {
  listenAddress: '',
  founders: 3,
  askMicroseconds: 700_000,
  changeMicroseconds: 4_000_000,
  heartbeatMicroseconds: 200_000,
  ownerSilentMicroseconds: 900_000,
  leaseMicroseconds: 2_500_000,
  rewriteBytes: 4 * 1024 * 1024,
  passMicroseconds: 4_700_000,
  isFirstStart: true,
  joins: 'named',
  membersWanted: 3,
  memberSilentMicroseconds: 2_000_000,
  learnerTimeoutMicroseconds: 5_000_000,
  handOverLimitMicroseconds: 3_000_000,
  majorityFoundingDelayMicroseconds: 1_500_000,
  isOnlyFleet: false,
} as const;
