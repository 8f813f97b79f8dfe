/** Answers what a control node is asked. What does not fit its schema changes nothing, and is counted. */
import type { Message } from '../../shared/effects/transport/transport';
import { BodyPacker } from '../../shared/freshness/bodies';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';
import type { DocumentKey } from '../../shared/blueprint/types';
import type { DutyVoter } from '../duties/dutyVoter';
import { KeeperStates } from '../ledger/keeperState';
import type { AgentContacts } from '../operators/agentContacts';
import type { Acceptor } from '../register/acceptor';
import type { ChangeRouter } from '../register/changeRouter';
import { Digests } from '../register/changes';
import type { EntryTransfer } from '../register/entryTransfer';
import type { Heartbeats } from '../register/heartbeats';
import type { KeeperCore } from '../register/keeperCore';
import type { Accept, ChangeOutcome, Prepare } from '../register/messages';
import type { Ownership } from '../register/ownership';
import type { RecentEntries } from '../register/recentEntries';
import type { ReplicaReport } from '../register/replicaReport';
import type { WaitingChanges } from '../register/waitingChanges';
import type { LeaderWatch } from '../standing/leaderWatch';
import type { MemberChanges } from '../standing/memberChanges';
import type { MemberWatch } from '../standing/memberWatch';
import type { StandingKeeper } from '../standing/standing';
import { Asks, type Ask } from './asks';

/** The parts of a control node that answer. */
export type AnsweringParts = Readonly<{
  core: KeeperCore;
  acceptor: Acceptor;
  agentContacts: AgentContacts;
  changeRouter: ChangeRouter;
  duties: DutyVoter;
  entries: EntryTransfer;
  heartbeats: Heartbeats;
  leaders: LeaderWatch;
  leadership: (key: DocumentKey) => Ownership;
  members: MemberChanges;
  recent: RecentEntries;
  report: ReplicaReport;
  standing: StandingKeeper;
  waitingChanges: WaitingChanges;
  watch: MemberWatch;
}>;

const noVote: Message = { kind: 'noVote' };

export class MessageHandler {
  private readonly packer = new BodyPacker();

  public constructor(
    private readonly parts: AnsweringParts,
    private readonly startedMicroseconds: number,
    private readonly metrics: Metrics,
    private readonly refusals: Log,
  ) {}

  /** A message that does not fit its schema changes nothing, and leaves the connection to the others that it carries. */
  public handle(message: Message): Promise<Message> | Message {
    const read = Asks.read(message);
    if (read.kind === 'good') return this.answer(read.ask);
    this.metrics.count('postdrum_messages_refused_total', { message: read.of });
    this.refusals(`A message was refused: ${read.of}, ${read.fault}.`);
    return { kind: 'refused' };
  }

  private answer(ask: Ask): Promise<Message> | Message {
    switch (ask.kind) {
      case 'hello':
        return this.parts.standing.hello(ask.asker);
      case 'form':
        return this.parts.standing.form(ask);
      case 'frame':
        return this.parts.standing.frame(ask);
      case 'prepare':
        return this.prepare(ask);
      case 'accept':
        return this.accept(ask);
      case 'confirm':
        return this.parts.acceptor.confirm(ask);
      case 'owners':
        return this.parts.heartbeats.hear(ask);
      case 'fetchChange':
        return this.isOwnFleet(ask.fleet) ? this.parts.waitingChanges.fetch(ask) : noVote;
      case 'ownerLeaves':
        this.parts.leaders.forget(ask.owner);
        return { kind: 'heard' };
      case 'words':
        return this.wordsFor(ask);
      case 'body':
        return this.body(ask);
      case 'ballots':
        return this.vote(ask);
      case 'withdraw':
        this.parts.duties.withdraw(ask.ballots);
        return { kind: 'heard' };
      case 'change':
        return this.changed(this.parts.changeRouter.changeAsLeader(ask.order));
      case 'relayChange':
        return this.changed(this.parts.changeRouter.changeFromMember(ask.order));
      case 'passChange':
        return this.parts.core.votes() ? this.changed(this.parts.changeRouter.change(ask.order)) : noVote;
      case 'entry':
        return this.parts.entries.give(ask.key);
      case 'replace':
        return this.parts.members.replace(ask.gone, ask.name, ask.member);
      case 'takeIn':
        return this.parts.members.takeIn(ask.name, ask.member);
      case 'memberLeaves':
        return this.isOwnFleet(ask.fleet) ? this.parts.members.hearLeaving(ask.keeper) : noVote;
      case 'mayLead':
        return this.mayLead(ask);
      case 'silentMembers':
        return this.parts.core.votes()
          ? { kind: 'silentMembers', silent: this.parts.watch.silent(), fleet: this.parts.core.state.fleet }
          : noVote;
      case 'news':
        // Why answered at all: a keeper as a seed leads an agent to its first colleagues.
        return this.parts.agentContacts.seedNews(ask.own);
      case 'newsMore':
        return { kind: 'heard' };
      case 'ping':
        return { kind: 'pong' };
    }
  }

  private isOwnFleet(fleet: string): boolean {
    return fleet === this.parts.core.state.fleet;
  }

  private async changed(change: Promise<ChangeOutcome | undefined>): Promise<Message> {
    return { kind: 'changed', outcome: (await change) ?? null };
  }

  private async prepare(order: Prepare): Promise<Message> {
    const answer = await this.parts.acceptor.prepare(order);
    if (answer.kind === 'promised') this.parts.leaders.promised(order.key, order.epoch);
    return answer;
  }

  private async accept(order: Accept): Promise<Message> {
    const answer = await this.parts.acceptor.accept(order);
    if (answer.kind === 'accepted') this.parts.leaders.accepted(order.key, order.epoch);
    return answer;
  }

  private async vote({ ballots, membersRevision = 0 }: Ask<'ballots'>): Promise<Message> {
    const answers = await this.parts.duties.vote(ballots, membersRevision);
    const view = this.parts.core.members();
    // The candidate need not wait for its next reading to learn the list that it lacked.
    return membersRevision < view.revision ? { kind: 'ballots', answers, view } : { kind: 'ballots', answers };
  }

  /** A pre-vote: whether this member answers under the same fleet, and whether it hears a leader other than the one asking. */
  private mayLead({ key, fleet, candidate }: Ask<'mayLead'>): Message {
    if (!this.parts.core.votes() || !this.isOwnFleet(fleet)) return noVote;
    const wouldDepose = this.parts.leaders.wouldDepose(key, candidate);
    return {
      kind: 'mayLead',
      hearsLeader: wouldDepose || this.parts.leadership(key).state.kind !== 'none',
      membersRevision: this.parts.core.members().revision,
    };
  }

  private wordsFor({ own, fleet = '', known: asked }: Ask<'words'>): Message {
    // Why here: agents read several times a second, so an operator who asks finds them all.
    this.parts.agentContacts.hear(own);
    // Why silent without a voice: an answer of a keeper still catching up could hide what was taken.
    if (!this.parts.core.votes() || (fleet !== '' && !this.isOwnFleet(fleet)))
      // Why name the members: who was led to a keeper that only stands by finds the others through it.
      return { kind: 'noVote', led: this.parts.standing.ledMembers().map(({ address }) => address) };
    const answer = this.parts.report.wordsAnswer();
    // Why without the ages: they go on by themselves, and the asker counts them on.
    // Why with the start: who asks then notices that this keeper began anew, and has forgotten whom it met.
    const known = Digests.of(
      JSON.stringify([this.startedMicroseconds, answer], (field, value: unknown) =>
        field === 'ageMicroseconds' ? value === null : value,
      ),
    );
    return asked === known ? { kind: 'wordsSame', known } : { ...answer, known };
  }

  private body({ key, digest }: Ask<'body'>): Message {
    const { core, recent } = this.parts;
    const accepted = KeeperStates.cell(core.state, key).accepted?.entry;
    const entry = accepted?.digest === digest ? accepted : recent.find(key, digest);
    if (!core.votes() || entry === undefined) return { kind: 'noBody' };
    const { revision, text } = entry;
    return { kind: 'body', ...this.packer.sent({ key, revision, digest, text }), fleet: core.state.fleet };
  }
}
