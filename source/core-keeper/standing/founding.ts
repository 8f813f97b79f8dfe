/**
 * Founding a fleet. Each seed says yes to one fleet, on its disk; any two majorities of the seeds share one, so two fleets cannot both be
 * founded, as long as a disk that was lost says yes no more.
 */
import type { CoreMember } from '../../shared/blueprint/types';
import type { Random } from '../../shared/effects/random/random';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import type { Log } from '../../shared/log/log';
import { Stamps } from '../../shared/register/types';
import type { AnswerOf } from '../messages/answers';
import type { Ask } from '../messages/asks';
import type { KeeperCore } from '../register/keeperCore';

type Hello = AnswerOf<'hello'>;

export type FoundingSettings = Readonly<{
  seeds: readonly string[];
  member: CoreMember;
  askMicroseconds: number;
  founders: number;
  /** After so long a majority of the seeds founds without the others; only where `joins` is asks, which brings them in. */
  foundingPatienceMicroseconds: number;
  /** named: it takes a place only if its settings name whom it replaces. asks: it asks the members to take it in. */
  joins: 'named' | 'asks';
}>;

export class Founding {
  /** Since when a majority of the seeds, but not all of them, could found the fleet. */
  private majoritySince: number | undefined;

  public constructor(
    private readonly core: KeeperCore,
    private readonly transport: Transport,
    private readonly random: Random,
    private readonly settings: FoundingSettings,
    private readonly log: Log,
    private readonly ownHello: () => Hello,
  ) {}

  /** Said by the one who founds. Each founder says yes to one fleet only, on disk. */
  public async form({ fleet: wanted, members }: Ask<'form'>): Promise<Message> {
    // Why what is pending: a yes that is being written counts, or two founders that ask at one moment would both hear it.
    const { standing, fleet } = this.core.ledger.pending;
    const isRepeated = standing === 'forming' && fleet === wanted;
    if (standing !== 'empty' && !isRepeated) return { kind: 'noVote' };
    if (isRepeated && this.core.state.standing === 'forming') return { kind: 'formingToo' };
    const written = await this.core.ledger.write([{ kind: 'forming', fleet: wanted, members }]);
    return written === 'synced' ? { kind: 'formingToo' } : { kind: 'noVote' };
  }

  /** Founding a fleet: all seeds together, or after some patience a majority of them that were there from the first start. */
  public async found(hellos: readonly Hello[]): Promise<void> {
    // A replica that was added later must not make up the number of the founders.
    const seeds = this.foundingSeeds();
    if (!seeds.includes(this.settings.member.address)) return;
    const founders = hellos.filter(({ member }) => seeds.includes(member.address));
    const all = [this.ownHello(), ...founders];
    if (!this.mayFound(all)) return;
    const begun = all.filter(({ standing }) => standing === 'forming');
    const fleets = new Set(begun.map(({ fleet }) => fleet));
    if (fleets.size > 1) {
      this.log('The founders said yes to different fleets. An operator must empty their folders.');
      return;
    }
    const leader = [...all.map(({ keeper }) => keeper)].sort()[0];
    if (leader !== this.core.name) return;
    const fleet = begun[0]?.fleet ?? this.random.name();
    const members = begun[0]?.firstMembers ?? Object.fromEntries(all.map(({ keeper, member }) => [keeper, member]));
    const own = await this.form({ kind: 'form', fleet, members });
    if (own.kind !== 'formingToo') return;
    const answers = await Promise.all(
      founders.map(({ member }) =>
        this.transport.ask(member.address, { kind: 'form', fleet, members }, this.settings.askMicroseconds),
      ),
    );
    if (!answers.every((answer) => answer.kind === 'answered' && answer.message.kind === 'formingToo')) return;
    // Only now: all these founders have it on disk, so no other majority of the seeds can found another fleet.
    if ((await this.core.ledger.write([{ kind: 'formed' }])) === 'synced') this.log(`A new fleet ${fleet} is founded.`);
  }

  /** The seeds of the first start. Those told later may all be replicas that stand by for a fleet that is out of reach. */
  public foundingSeeds(): readonly string[] {
    const { firstSeeds } = this.core.state;
    return firstSeeds.length > 0 ? firstSeeds : this.settings.seeds;
  }

  /**
   * Each seed says yes to one fleet, on its disk. Any two majorities of the seeds share one, so two fleets cannot both be
   * founded, as long as a disk that was lost says yes no more: a disk without the mark of the first start does not count.
   */
  private mayFound(all: readonly Hello[]): boolean {
    const { founders, joins, foundingPatienceMicroseconds } = this.settings;
    const names = new Set(all.map(({ keeper }) => keeper));
    if (names.size !== all.length) return false;
    if (!all.every(({ standing }) => standing === 'empty' || standing === 'forming')) return false;
    const isOfFirstStart = ({ standing, isFirstStart }: Hello): boolean => standing === 'forming' || isFirstStart;
    // Empty disks that nobody told of a first start belong to a fleet that stands elsewhere.
    if (names.size === founders) return all.some(isOfFirstStart);
    if (joins !== 'asks' || names.size < Stamps.majority(founders) || !all.every(isOfFirstStart)) return false;
    const now = this.core.clock.nowMicroseconds();
    this.majoritySince ??= now;
    return now - this.majoritySince >= foundingPatienceMicroseconds;
  }
}
