import type { ControlNodeMember } from '../../shared/configuration/types';
import type { Random } from '../../shared/effects/random/random';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import { FleetVotes } from '../../shared/fleet/fleetName';
import type { Log } from '../../shared/log/log';
import type { TransferredState } from '../write-ahead-log/replicaState';
import { ControlResponses, type ControlResponse } from '../messages/controlResponses';
import type { ControlRequest } from '../messages/controlRequests';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import { Stamps } from '../../shared/register/types';
import { FleetBootstrap, type FleetBootstrapSettings } from './fleetBootstrap';
import type { ReplicaCore, MemberView } from '../register/replicaCore';

/**
 * What a replica reports about itself. `isFirstStart`: its settings or its disk record the first start of the whole system. `led`: the
 * addresses of members that it knows, if it does not vote itself.
 */
export type Hello = ControlResponse<'hello'>;

/** `replaces`: the name of the member that this replica replaces; empty if there is none. */
export type FleetMembershipSettings = FleetBootstrapSettings &
  Readonly<{
    replaces: string;
    isFirstStart: boolean;
    /** No configured address ever belongs to another fleet. */
    isOnlyFleet: boolean;
  }>;

/** Makes this replica a voting member: it founds a fleet with the other seeds, or joins one by copying the state of a majority. */
export class FleetMembership {
  /** The voting replica that this one last followed while it did not vote. */
  private followed: Hello | undefined;
  private seeds: readonly string[];
  private readonly founding: FleetBootstrap;

  public constructor(
    private readonly core: ReplicaCore,
    private readonly transport: Transport,
    random: Random,
    private readonly settings: FleetMembershipSettings,
    private readonly log: Log,
    private readonly onJoined: () => void,
  ) {
    this.seeds = settings.seeds;
    this.founding = new FleetBootstrap(core, transport, random, settings, log, () => this.hello(core.name));
  }

  /** Replaces the configured seeds. */
  public setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** This replica's report about itself, as an answer to `asker`. */
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
      led: this.followedMembers().map(({ address }) => address),
    };
  }

  /** The fleet that this replica belongs to or is a standby for; empty if it knows none. */
  public fleet(): string {
    return this.core.state.fleet === '' ? (this.followed?.fleet ?? '') : this.core.state.fleet;
  }

  /** Members of the fleet that this replica follows while it does not vote. */
  public followedMembers(): readonly ControlNodeMember[] {
    return this.core.votes() ? [] : Object.values(this.followed?.view?.members ?? {});
  }

  /** One attempt to become a voting member; a voting member only checks whether it was removed. */
  public async step(): Promise<void> {
    const { standing } = this.core.state;
    if (standing === 'voting') return this.settings.joins === 'asks' ? this.checkRemoval() : undefined;
    if (standing === 'replaced' && this.settings.joins !== 'asks') return;
    const hellos = await this.askKnown();
    const voting = this.voterToFollow(hellos);
    if (voting !== undefined) {
      this.followed = voting;
      return this.join(voting);
    }
    if (standing === 'empty' || standing === 'forming') await this.founding.found(hellos);
  }

  /** Addresses of the seeds and of all known members, since a seed address may no longer exist. */
  private knownAddresses(): readonly string[] {
    const members = [...Object.values(this.core.members().members), ...this.followedMembers()];
    const addresses = new Set([...this.seeds, ...this.core.state.firstSeeds, ...members.map(({ address }) => address)]);
    return [...addresses].filter((address) => address !== this.settings.member.address);
  }

  /** Asks all known seeds and members, and the further members that the standby replicas among them know. */
  private async askKnown(): Promise<readonly Hello[]> {
    const addresses = this.knownAddresses();
    const hellos = await this.askAll(addresses);
    const further = [...new Set(hellos.flatMap(({ led }) => led))].filter(
      (address) => !addresses.includes(address) && address !== this.settings.member.address,
    );
    return further.length === 0 ? hellos : [...hellos, ...(await this.askAll(further))];
  }

  /** Checks whether this member was removed while it was away. The members do not notify it, since their list no longer contains it. */
  private async checkRemoval(): Promise<void> {
    const hellos = await this.askAll(this.core.others().map(([, member]) => member.address));
    const own = this.core.members().revision;
    const isRemoved = hellos.some(
      ({ standing, fleet, view }) =>
        standing === 'voting' &&
        fleet === this.core.state.fleet &&
        view !== null &&
        view.revision > own &&
        // Only a list of one set counts: its change is complete, so a majority of the previous list has accepted it.
        view.sets.length === 1 &&
        view.members[this.core.name] === undefined,
    );
    if (isRemoved) await this.core.ledger.write([{ kind: 'replaced' }]);
  }

  /** Answers a founder's request for a vote. */
  public vote(ask: ControlRequest<'form'>): Promise<Message> {
    return this.founding.vote(ask);
  }

  /** Sends the state to a joining replica, once its new incarnation is on this disk, so that answers of its earlier one no longer count. */
  public async transferState({
    keeper,
    incarnation,
    fleet,
    membersRevision,
  }: ControlRequest<'frame'>): Promise<Message> {
    if (!this.core.votes() || fleet !== this.core.state.fleet) return { kind: 'noVote' };
    // Refused: under an older member list this replica could still accept a value that the transferred state would lack.
    if (this.core.members().revision < membersRevision) return { kind: 'noVote' };
    if ((this.core.state.known[keeper] ?? 0) >= incarnation) return { kind: 'noVote' };
    const written = await this.core.ledger.write([{ kind: 'knew', keeper, incarnation }]);
    if (written !== 'synced') return { kind: 'noVote' };
    const { firstMembers, cells, learnedMembers, duties, dutyFloor, known } = this.core.state;
    const frame = { firstMembers, cells, learnedMembers, duties, dutyFloor, known } satisfies TransferredState;
    return { kind: 'frame', frame };
  }

  /** The voting replica with the newest member list, in the fleet that this replica belongs to as far as it knows. */
  private voterToFollow(hellos: readonly Hello[]): Hello | undefined {
    const voting = hellos.filter((hello) => hello.standing === 'voting' && hello.view !== null);
    const fleet = this.fleetToFollow(voting);
    // The newest list is taken because a replaced member that came back still reports its old one.
    return voting
      .filter((hello) => hello.fleet === fleet)
      .reduce<Hello | undefined>(
        (newestSoFar, hello) =>
          newestSoFar === undefined || (hello.view?.revision ?? 0) > (newestSoFar.view?.revision ?? 0)
            ? hello
            : newestSoFar,
        undefined,
      );
  }

  private fleetToFollow(voting: readonly Hello[]): string {
    const { standing, fleet } = this.core.state;
    if (standing === 'empty') return this.fleetOfEmptyDisk(voting);
    if (standing !== 'forming') return fleet;
    // The fleet that this seed voted for can no longer be founded once a majority of the seeds votes in another fleet.
    const seeds = voting.filter(
      (hello) => hello.fleet !== fleet && this.founding.foundingSeeds().includes(hello.member.address),
    );
    const [other] = seeds;
    const isFounded = other !== undefined && seeds.every((hello) => hello.fleet === other.fleet);
    return isFounded && seeds.length >= Stamps.majoritySize(this.settings.founders) ? other.fleet : fleet;
  }

  /** The fleet to join for a replica without a log. A seed address may now belong to another fleet, which an empty disk cannot tell. */
  private fleetOfEmptyDisk(voting: readonly Hello[]): string {
    const listing = voting.filter(
      ({ view }) => view?.members[this.core.name]?.address === this.settings.member.address,
    );
    const fleets = new Set(listing.map(({ fleet }) => fleet));
    // A fleet that lists this replica at its current address takes precedence.
    if (fleets.size === 1) return listing[0]?.fleet ?? '';
    // Its own seed address does not count as a vote.
    const others = this.seeds.filter((seed) => seed !== this.settings.member.address).length;
    if (fleets.size > 1) return '';
    const fleetVotes = voting.map(({ fleet }) => fleet);
    return this.settings.isOnlyFleet ? FleetVotes.unanimous(fleetVotes) : FleetVotes.majority(fleetVotes, others);
  }

  private async askAll(addresses: readonly string[]): Promise<readonly Hello[]> {
    const answers = await Promise.all(
      addresses.map((address) =>
        this.transport.ask(address, { kind: 'hello', asker: this.core.name }, this.settings.askMicroseconds),
      ),
    );
    return answers.flatMap((answer) => ControlResponses.read(answer, 'hello') ?? []);
  }

  private async join(voting: Hello): Promise<void> {
    const { standing } = this.core.state;
    if (standing === 'forming' && voting.fleet === this.core.state.fleet) {
      // No state transfer is needed: a founder that never voted has promised nothing.
      if ((await this.core.ledger.write([{ kind: 'formed' }])) === 'synced') this.onJoined();
      return;
    }
    const view = voting.view;
    if (view === null) return;
    const listedSelf = view.members[this.core.name];
    if (listedSelf === undefined || listedSelf.address !== this.settings.member.address)
      return this.requestMembership(voting);
    const others = Object.entries(view.members).filter(([name]) => name !== this.core.name);
    const hellos = await this.askAll(others.map(([, member]) => member.address));
    const sound = hellos.filter((hello) => hello.standing === 'voting' && hello.fleet === voting.fleet);
    if (!this.isMajority(view, sound)) return;
    const newer = sound.find((hello) => (hello.view?.revision ?? 0) > view.revision);
    // It starts over with the newer list, since a majority of an older list may lack committed values.
    if (newer !== undefined) return this.join(newer);
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
    const received = await Promise.all(
      sound.map(async ({ keeper, member }) => {
        const answer = await this.transport.ask(member.address, order, this.settings.askMicroseconds * 4);
        const received = ControlResponses.read(answer, 'frame');
        return received === undefined ? [] : [{ keeper, frame: received.frame }];
      }),
    );
    const frames = received.flat();
    if (!this.isMajority(view, frames)) return;
    const newestList = Math.max(
      ...frames.map(({ frame }) => frame.cells['core-members']?.accepted?.entry.revision ?? 0),
    );
    // The list changed during the transfer, so the answers may come from the wrong majority.
    if (newestList > view.revision) return;
    if ((await this.core.ledger.write([{ kind: 'joined', frames: frames.map(({ frame }) => frame) }])) !== 'synced')
      return;
    this.log(`joined with the state of ${frames.length} other members as incarnation ${incarnation}`);
    this.onJoined();
  }

  /**
   * Whether the answers come from a majority of each list, counting other members only. Such a majority overlaps with every majority that
   * this replica was ever part of, so some member holds whatever it promised and lost. The proof is in docs/notes/ownership.md.
   */
  private isMajority(view: MemberView, from: readonly Readonly<{ keeper: string }>[]): boolean {
    const [next, before] = view.sets;
    const isLearner =
      next !== undefined && before !== undefined && next.includes(this.core.name) && !before.includes(this.core.name);
    // A learner asks the previous list: until the new list takes effect, a majority of the previous one holds every decided value.
    return (isLearner ? [before] : view.sets).every((set) => {
      const others = set.filter((name) => name !== this.core.name);
      const answering = others.filter((name) => from.some(({ keeper }) => keeper === name));
      return answering.length >= Math.min(others.length, Stamps.majoritySize(set.length));
    });
  }

  private async requestMembership(voting: Hello): Promise<void> {
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

/** Detects that this replica was removed from the member list. */
export const MemberRemoval = {
  /** Whether a completed list no longer contains this replica, which then stops voting for good. */
  isRemoved: (core: ReplicaCore): boolean => {
    const accepted = ReplicaStates.acceptorState(core.state, 'core-members').accepted;
    return (
      core.votes() &&
      accepted !== null &&
      accepted.entry.base === undefined &&
      core.members().members[core.name] === undefined
    );
  },
} as const;
