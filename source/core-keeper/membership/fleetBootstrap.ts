import type { ControlNodeMember } from '../../shared/configuration/types';
import type { Random } from '../../shared/effects/random/random';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import type { Log } from '../../shared/log/log';
import { Stamps } from '../../shared/register/types';
import type { ControlResponse } from '../messages/controlResponses';
import type { ControlRequest } from '../messages/controlRequests';
import type { ReplicaCore } from '../register/replicaCore';

type Hello = ControlResponse<'hello'>;

/** Settings of the bootstrap. `founders`: the number of seeds that found the fleet. */
export type FleetBootstrapSettings = Readonly<{
  seeds: readonly string[];
  member: ControlNodeMember;
  askMicroseconds: number;
  founders: number;
  /** After this delay a majority of the seeds founds the fleet without the others; only if `joins` is `asks`, which adds them later. */
  majorityFoundingDelayMicroseconds: number;
  /** `named`: a replica joins only as the replacement of the member that its settings name. `asks`: it asks the members to add it. */
  joins: 'named' | 'asks';
}>;

/**
 * Bootstraps a new fleet. Each seed votes for one fleet and stores that vote on its disk. Any two majorities of the seeds overlap, so two
 * fleets cannot both be founded, provided that a seed which lost its disk does not vote again.
 */
export class FleetBootstrap {
  /** The time since which a majority of the seeds, but not all of them, could found the fleet. */
  private majoritySince: number | undefined;

  public constructor(
    private readonly core: ReplicaCore,
    private readonly transport: Transport,
    private readonly random: Random,
    private readonly settings: FleetBootstrapSettings,
    private readonly log: Log,
    private readonly describeSelf: () => Hello,
  ) {}

  /** Answers a founder's request: this replica votes for one fleet only and stores its vote before it answers. */
  public async vote({ fleet: requestedFleet, members }: ControlRequest<'form'>): Promise<Message> {
    // The pending state is checked because a vote under way counts: otherwise two concurrent founders could both receive a vote.
    const { standing, fleet } = this.core.ledger.pending;
    const isRepeated = standing === 'forming' && fleet === requestedFleet;
    if (standing !== 'empty' && !isRepeated) return { kind: 'noVote' };
    if (isRepeated && this.core.state.standing === 'forming') return { kind: 'formingToo' };
    const written = await this.core.ledger.write([{ kind: 'forming', fleet: requestedFleet, members }]);
    return written === 'synced' ? { kind: 'formingToo' } : { kind: 'noVote' };
  }

  /** Founds the fleet with all seeds, or after a delay with a majority of them that took part in the first start. */
  public async found(hellos: readonly Hello[]): Promise<void> {
    // A replica that was added later does not count as a founder.
    const seeds = this.foundingSeeds();
    if (!seeds.includes(this.settings.member.address)) return;
    const founders = hellos.filter(({ member }) => seeds.includes(member.address));
    const all = [this.describeSelf(), ...founders];
    if (!this.canFound(all)) return;
    const forming = all.filter(({ standing }) => standing === 'forming');
    const fleets = new Set(forming.map(({ fleet }) => fleet));
    if (fleets.size > 1) {
      this.log('the founders voted for different fleets; an operator must empty their data folders');
      return;
    }
    const leader = [...all.map(({ keeper }) => keeper)].sort()[0];
    if (leader !== this.core.name) return;
    const fleet = forming[0]?.fleet ?? this.random.name();
    const members = forming[0]?.firstMembers ?? Object.fromEntries(all.map(({ keeper, member }) => [keeper, member]));
    const own = await this.vote({ kind: 'form', fleet, members });
    if (own.kind !== 'formingToo') return;
    const answers = await Promise.all(
      founders.map(({ member }) =>
        this.transport.ask(member.address, { kind: 'form', fleet, members }, this.settings.askMicroseconds),
      ),
    );
    if (!answers.every((answer) => answer.kind === 'answered' && answer.message.kind === 'formingToo')) return;
    // The fleet is founded only now: all these founders have stored their votes, so no other majority of the seeds can found another fleet.
    if ((await this.core.ledger.write([{ kind: 'formed' }])) === 'synced') this.log(`founded the new fleet ${fleet}`);
  }

  /** The seeds of the first start. Seeds configured later may all be standby replicas of a fleet that is unreachable. */
  public foundingSeeds(): readonly string[] {
    const { firstSeeds } = this.core.state;
    return firstSeeds.length > 0 ? firstSeeds : this.settings.seeds;
  }

  /**
   * Whether these seeds suffice to found a fleet. A majority suffices only if each of its disks records the first start: a seed that lost
   * its disk may have forgotten a vote, so it does not count.
   */
  private canFound(hellos: readonly Hello[]): boolean {
    const { founders, joins, majorityFoundingDelayMicroseconds: foundingPatienceMicroseconds } = this.settings;
    const names = new Set(hellos.map(({ keeper }) => keeper));
    if (names.size !== hellos.length) return false;
    if (!hellos.every(({ standing }) => standing === 'empty' || standing === 'forming')) return false;
    const isOfFirstStart = ({ standing, isFirstStart }: Hello): boolean => standing === 'forming' || isFirstStart;
    // If all disks are empty and none records a first start, the fleet exists elsewhere.
    if (names.size === founders) return hellos.some(isOfFirstStart);
    if (joins !== 'asks' || names.size < Stamps.majoritySize(founders) || !hellos.every(isOfFirstStart)) return false;
    const now = this.core.clock.nowMicroseconds();
    this.majoritySince ??= now;
    return now - this.majoritySince >= foundingPatienceMicroseconds;
  }
}
