/** The settings of a control node, and their defaults. */
import type { CoreMember } from '../shared/blueprint/types';

export type KeeperSettings = Readonly<{
  name: string;
  member: CoreMember;
  /** Where it listens, if others reach it by another address. */
  listenAddress: string;
  seeds: readonly string[];
  replaces: string;
  founders: number;
  askMicroseconds: number;
  changeMicroseconds: number;
  heartbeatMicroseconds: number;
  ownerSilentMicroseconds: number;
  leaseMicroseconds: number;
  rewriteBytes: number;
  /** How long an owner that still lives may take for what another keeper passed on to it. */
  passMicroseconds: number;
  /** The whole system starts for the first time; only then may a fleet be founded. */
  isFirstStart: boolean;
  /** named: members change by name only. asks: a keeper without a place asks for one, and comes back after it lost it. */
  joins: 'named' | 'asks';
  /** How many members there should be; keepers beyond that stand by. */
  membersWanted: number;
  /** A member that a majority has not heard for so long may lose its place to one that stands by. */
  memberSilentMicroseconds: number;
  /** How long a changed list of members waits for its newcomer to catch up before it stands alone without it. */
  learnerMicroseconds: number;
  /** How long a member that stops goes on voting while its successor catches up. */
  handOverMicroseconds: number;
  /** No address here ever belongs to another fleet, so one seed that answers is enough to find the fleet. */
  isOnlyFleet: boolean;
  /** After so long a part of the seeds that is a majority founds the fleet without the others; only where `joins` is asks. */
  foundingPatienceMicroseconds: number;
}>;

export const KeeperDefaults = {
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
  learnerMicroseconds: 5_000_000,
  handOverMicroseconds: 3_000_000,
  foundingPatienceMicroseconds: 1_500_000,
  isOnlyFleet: false,
} as const;
