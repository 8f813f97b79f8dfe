import type { CoreMember } from '../../shared/blueprint/types';
import type { Random } from '../../shared/effects/random/random';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import { FleetVotes } from '../../shared/fleet/fleetName';
import type { Log } from '../../shared/log/log';
import type { KeeperFrame } from '../ledger/keeperState';
import { Answers, type AnswerOf } from '../messages/answers';
import type { Ask } from '../messages/asks';
import { KeeperStates } from '../ledger/keeperState';
import { Stamps } from '../../shared/register/types';
import { Founding, type FoundingSettings } from './founding';
import type { KeeperCore, MemberView } from '../register/keeperCore';

/**
 * What a control node says of itself to others: `isFirstStart`, whether it was told that the whole system starts for the first time;
 * `led`, where it knows members to be, if it has no vote itself.
 */
export type Hello = AnswerOf<'hello'>;

export type StandingSettings = FoundingSettings &
  Readonly<{
    replaces: string;
    isFirstStart: boolean;
    /** No address here ever belongs to another fleet. */
    isOnlyFleet: boolean;
  }>;

/** How a keeper without a voice gets one: by founding a fleet with all seeds, or by reading frames of a majority. */
export class StandingKeeper {
  /** The voting keeper that was followed last, while this one has no voice. */
  private led: Hello | undefined;
  private seeds: readonly string[];
  private readonly founding: Founding;

  public constructor(
    private readonly core: KeeperCore,
    private readonly transport: Transport,
    random: Random,
    private readonly settings: StandingSettings,
    private readonly log: Log,
    private readonly joined: () => void,
  ) {
    this.seeds = settings.seeds;
    this.founding = new Founding(core, transport, random, settings, log, () => this.hello(core.name));
  }

  /** Other first contacts than those that were told at the start. */
  public seedsAre(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  public hello(asker: string): Hello {
    const { standing, fleet, firstMembers, known } = this.core.state;
    return {
      kind: 'hello',
      keeper: this.core.name,
      member: this.settings.member,
      standing,
      fleet,
      firstMembers,
      view: this.core.votes() ? this.core.members() : null,
      knownIncarnation: known[asker] ?? 0,
      isFirstStart: this.settings.isFirstStart || this.core.state.firstSeeds.length > 0,
      led: this.ledMembers().map(({ address }) => address),
    };
  }

  /** The fleet that this keeper belongs to or stands by for. */
  public fleet(): string {
    return this.core.state.fleet === '' ? (this.led?.fleet ?? '') : this.core.state.fleet;
  }

  /** Members of the fleet that a keeper without a voice stands by for. */
  public ledMembers(): readonly CoreMember[] {
    return this.core.votes() ? [] : Object.values(this.led?.view?.members ?? {});
  }

  /** One step towards a voice; called again until there is one. */
  public async step(): Promise<void> {
    const { standing } = this.core.state;
    if (standing === 'voting') return this.settings.joins === 'asks' ? this.lookForNewerList() : undefined;
    if (standing === 'replaced' && this.settings.joins !== 'asks') return;
    const hellos = await this.helloKnown();
    const voting = this.voterToFollow(hellos);
    if (voting !== undefined) {
      this.led = voting;
      return this.followVoting(voting);
    }
    if (standing === 'empty' || standing === 'forming') await this.founding.found(hellos);
  }

  /** Seeds, and whoever was a member as far as this keeper knows: a seed address may be gone for good. */
  private knownAddresses(): readonly string[] {
    const members = [...Object.values(this.core.members().members), ...this.ledMembers()];
    const addresses = new Set([...this.seeds, ...this.core.state.firstSeeds, ...members.map(({ address }) => address)]);
    return [...addresses].filter((address) => address !== this.settings.member.address);
  }

  /** All seeds and members that this replica knows of, and whoever those that stand by lead to. */
  private async helloKnown(): Promise<readonly Hello[]> {
    const addresses = this.knownAddresses();
    const hellos = await this.helloAll(addresses);
    const further = [...new Set(hellos.flatMap(({ led }) => led))].filter(
      (address) => !addresses.includes(address) && address !== this.settings.member.address,
    );
    return further.length === 0 ? hellos : [...hellos, ...(await this.helloAll(further))];
  }

  /** Why: nobody tells a member that it was taken out while it was away, since it is on no list any more. */
  private async lookForNewerList(): Promise<void> {
    const hellos = await this.helloAll(this.core.others().map(([, member]) => member.address));
    const own = this.core.members().revision;
    const isOut = hellos.some(
      ({ standing, fleet, view }) =>
        standing === 'voting' &&
        fleet === this.core.state.fleet &&
        view !== null &&
        view.revision > own &&
        // Why only a list of one set: it is settled, so a majority of the list before has agreed.
        view.sets.length === 1 &&
        view.members[this.core.name] === undefined,
    );
    if (isOut) await this.core.ledger.write([{ kind: 'replaced' }]);
  }

  /** Said by the one who founds. */
  public form(ask: Ask<'form'>): Promise<Message> {
    return this.founding.form(ask);
  }

  /** Hands out a frame, once the asker's new incarnation is on this disk: its earlier words no longer count. */
  public async frame({ keeper, incarnation, fleet, membersRevision }: Ask<'frame'>): Promise<Message> {
    if (!this.core.votes() || fleet !== this.core.state.fleet) return { kind: 'noVote' };
    // Why: under an older list this keeper could still help to decide what the frame then does not hold.
    if (this.core.members().revision < membersRevision) return { kind: 'noVote' };
    if ((this.core.state.known[keeper] ?? 0) >= incarnation) return { kind: 'noVote' };
    const written = await this.core.ledger.write([{ kind: 'knew', keeper, incarnation }]);
    if (written !== 'synced') return { kind: 'noVote' };
    const { firstMembers, cells, learnedMembers, duties, dutyFloor, known } = this.core.state;
    const frame = { firstMembers, cells, learnedMembers, duties, dutyFloor, known } satisfies KeeperFrame;
    return { kind: 'frame', frame };
  }

  /** The voting keeper with the newest list, of the fleet that this keeper belongs to as far as can be told. */
  private voterToFollow(hellos: readonly Hello[]): Hello | undefined {
    const voting = hellos.filter((hello) => hello.standing === 'voting' && hello.view !== null);
    const fleet = this.fleetToFollow(voting);
    // Why the newest list: a replaced keeper that came back still shows the one it knew.
    return voting
      .filter((hello) => hello.fleet === fleet)
      .reduce<Hello | undefined>(
        (best, hello) =>
          best === undefined || (hello.view?.revision ?? 0) > (best.view?.revision ?? 0) ? hello : best,
        undefined,
      );
  }

  private fleetToFollow(voting: readonly Hello[]): string {
    const { standing, fleet } = this.core.state;
    if (standing === 'empty') return this.fleetOf(voting);
    if (standing !== 'forming') return fleet;
    // What it once said yes to can no longer be founded, since a majority of the seeds votes in another fleet.
    const seeds = voting.filter(
      (hello) => hello.fleet !== fleet && this.founding.foundingSeeds().includes(hello.member.address),
    );
    const [other] = seeds;
    const isFounded = other !== undefined && seeds.every((hello) => hello.fleet === other.fleet);
    return isFounded && seeds.length >= Stamps.majority(this.settings.founders) ? other.fleet : fleet;
  }

  /** For a keeper without a file. A seed address may by now belong to another fleet, and an empty disk does not know. */
  private fleetOf(voting: readonly Hello[]): string {
    const listing = voting.filter(
      ({ view }) => view?.members[this.core.name]?.address === this.settings.member.address,
    );
    const fleets = new Set(listing.map(({ fleet }) => fleet));
    // Why first: a fleet that lists this very keeper at this very address is its own.
    if (fleets.size === 1) return listing[0]?.fleet ?? '';
    // Why one less: its own seed says nothing.
    const others = this.seeds.filter((seed) => seed !== this.settings.member.address).length;
    if (fleets.size > 1) return '';
    const said = voting.map(({ fleet }) => fleet);
    return this.settings.isOnlyFleet ? FleetVotes.judgeOnly(said) : FleetVotes.judge(said, others);
  }

  private async helloAll(addresses: readonly string[]): Promise<readonly Hello[]> {
    const answers = await Promise.all(
      addresses.map((address) =>
        this.transport.ask(address, { kind: 'hello', asker: this.core.name }, this.settings.askMicroseconds),
      ),
    );
    return answers.flatMap((answer) => Answers.read(answer, 'hello') ?? []);
  }

  private async followVoting(voting: Hello): Promise<void> {
    const { standing } = this.core.state;
    if (standing === 'forming' && voting.fleet === this.core.state.fleet) {
      // Why no frame: a founder that never voted has promised nothing.
      if ((await this.core.ledger.write([{ kind: 'formed' }])) === 'synced') this.joined();
      return;
    }
    const view = voting.view;
    if (view === null) return;
    const listed = view.members[this.core.name];
    if (listed === undefined || listed.address !== this.settings.member.address) return this.askForPlace(voting);
    const others = Object.entries(view.members).filter(([name]) => name !== this.core.name);
    const hellos = await this.helloAll(others.map(([, member]) => member.address));
    const sound = hellos.filter((hello) => hello.standing === 'voting' && hello.fleet === voting.fleet);
    if (!this.isMajority(view, sound)) return;
    const newer = sound.find((hello) => (hello.view?.revision ?? 0) > view.revision);
    // Why again: what a majority of an older list holds may not be all.
    if (newer !== undefined) return this.followVoting(newer);
    const incarnation =
      Math.max(this.core.state.incarnation, ...sound.map(({ knownIncarnation }) => knownIncarnation)) + 1;
    if ((await this.core.ledger.write([{ kind: 'joining', fleet: voting.fleet, incarnation }])) !== 'synced') return;
    const order = {
      kind: 'frame',
      keeper: this.core.name,
      incarnation,
      fleet: voting.fleet,
      membersRevision: view.revision,
    };
    const given = await Promise.all(
      sound.map(async ({ keeper, member }) => {
        const answer = await this.transport.ask(member.address, order, this.settings.askMicroseconds * 4);
        const given = Answers.read(answer, 'frame');
        return given === undefined ? [] : [{ keeper, frame: given.frame }];
      }),
    );
    const frames = given.flat();
    if (!this.isMajority(view, frames)) return;
    const newestList = Math.max(
      ...frames.map(({ frame }) => frame.cells['core-members']?.accepted?.entry.revision ?? 0),
    );
    // Why: the list changed while the frames were read, and the majority that was asked may be the wrong one.
    if (newestList > view.revision) return;
    if ((await this.core.ledger.write([{ kind: 'joined', frames: frames.map(({ frame }) => frame) }])) !== 'synced')
      return;
    this.log(`Caught up from ${frames.length} others as incarnation ${incarnation}.`);
    this.joined();
  }

  /**
   * A majority of each list, made up of others alone: it meets every majority in which this keeper once had a part, so
   * somebody holds whatever it promised and has forgotten. The proof is in docs/notes/ownership.md.
   */
  private isMajority(view: MemberView, from: readonly Readonly<{ keeper: string }>[]): boolean {
    const [next, before] = view.sets;
    const isLearner =
      next !== undefined && before !== undefined && next.includes(this.core.name) && !before.includes(this.core.name);
    // A learner asks the list before: until the new one stands alone, whatever was decided stands on a majority of that one.
    return (isLearner ? [before] : view.sets).every((set) => {
      const others = set.filter((name) => name !== this.core.name);
      const there = others.filter((name) => from.some(({ keeper }) => keeper === name));
      return there.length >= Math.min(others.length, Stamps.majority(set.length));
    });
  }

  private async askForPlace(voting: Hello): Promise<void> {
    const { member, replaces, joins, askMicroseconds } = this.settings;
    if (replaces !== '') {
      const order = { kind: 'replace', gone: replaces, name: this.core.name, member };
      await this.transport.ask(voting.member.address, order, askMicroseconds * 8);
    } else if (joins === 'asks')
      await this.transport.ask(
        voting.member.address,
        { kind: 'takeIn', name: this.core.name, member },
        askMicroseconds * 8,
      );
  }
}

export const Replaced = {
  /** A keeper that sees itself left out of a settled list stops voting for good. */
  isOut: (core: KeeperCore): boolean => {
    const accepted = KeeperStates.cell(core.state, 'core-members').accepted;
    return (
      core.votes() &&
      accepted !== null &&
      accepted.entry.base === undefined &&
      core.members().members[core.name] === undefined
    );
  },
} as const;
