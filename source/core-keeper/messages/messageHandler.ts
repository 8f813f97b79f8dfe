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

/** The components of a control node that requests are dispatched to. */
export type MessageHandlerParts = Readonly<{
  core: KeeperCore;
  acceptor: Acceptor;
  agentContacts: AgentContacts;
  changeRouter: ChangeRouter;
  duties: DutyVoter;
  entryTransfer: EntryTransfer;
  heartbeats: Heartbeats;
  leaderWatch: LeaderWatch;
  leadership: (key: DocumentKey) => Ownership;
  members: MemberChanges;
  recentEntries: RecentEntries;
  replicaReport: ReplicaReport;
  standing: StandingKeeper;
  waitingChanges: WaitingChanges;
  memberWatch: MemberWatch;
}>;

const noVoteResponse: Message = { kind: 'noVote' };

/** Dispatches the requests of other processes to the components of a control node. */
export class MessageHandler {
  private readonly bodyPacker = new BodyPacker();

  public constructor(
    private readonly parts: MessageHandlerParts,
    private readonly startedMicroseconds: number,
    private readonly metrics: Metrics,
    private readonly refusalLog: Log,
  ) {}

  /**
   * A message that does not match its schema changes no state and is counted. It does not close the connection, which also
   * carries other requests.
   */
  public handle(message: Message): Promise<Message> | Message {
    const parsed = Asks.read(message);
    if (parsed.kind === 'good') return this.answer(parsed.ask);
    this.metrics.count('postdrum_messages_refused_total', { message: parsed.of });
    this.refusalLog(`Message refused: kind ${parsed.of}, ${parsed.fault}.`);
    return { kind: 'refused' };
  }

  private answer(request: Ask): Promise<Message> | Message {
    switch (request.kind) {
      case 'hello':
        return this.parts.standing.hello(request.asker);
      case 'form':
        return this.parts.standing.form(request);
      case 'frame':
        return this.parts.standing.frame(request);
      case 'prepare':
        return this.prepare(request);
      case 'accept':
        return this.accept(request);
      case 'confirm':
        return this.parts.acceptor.confirm(request);
      case 'owners':
        return this.parts.heartbeats.hear(request);
      case 'fetchChange':
        return this.isOwnFleet(request.fleet) ? this.parts.waitingChanges.fetch(request) : noVoteResponse;
      case 'ownerLeaves':
        this.parts.leaderWatch.forget(request.owner);
        return { kind: 'heard' };
      case 'words':
        return this.replicaStatements(request);
      case 'body':
        return this.body(request);
      case 'ballots':
        return this.vote(request);
      case 'withdraw':
        this.parts.duties.withdraw(request.ballots);
        return { kind: 'heard' };
      case 'change':
        return this.changed(this.parts.changeRouter.changeAsLeader(request.order));
      case 'relayChange':
        return this.changed(this.parts.changeRouter.changeFromMember(request.order));
      case 'passChange':
        return this.parts.core.votes() ? this.changed(this.parts.changeRouter.change(request.order)) : noVoteResponse;
      case 'entry':
        return this.parts.entryTransfer.give(request.key);
      case 'replace':
        return this.parts.members.replace(request.gone, request.name, request.member);
      case 'takeIn':
        return this.parts.members.takeIn(request.name, request.member);
      case 'memberLeaves':
        return this.isOwnFleet(request.fleet) ? this.parts.members.hearLeaving(request.keeper) : noVoteResponse;
      case 'mayLead':
        return this.mayLead(request);
      case 'silentMembers':
        return this.parts.core.votes()
          ? { kind: 'silentMembers', silent: this.parts.memberWatch.silent(), fleet: this.parts.core.state.fleet }
          : noVoteResponse;
      case 'news':
        // A control node responds to gossip because an agent that has it as a seed finds the first other agents through it.
        return this.parts.agentContacts.seedNews(request.own);
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

  private async prepare(request: Prepare): Promise<Message> {
    const response = await this.parts.acceptor.prepare(request);
    if (response.kind === 'promised') this.parts.leaderWatch.promised(request.key, request.epoch);
    return response;
  }

  private async accept(request: Accept): Promise<Message> {
    const response = await this.parts.acceptor.accept(request);
    if (response.kind === 'accepted') this.parts.leaderWatch.accepted(request.key, request.epoch);
    return response;
  }

  private async vote({ ballots, membersRevision = 0 }: Ask<'ballots'>): Promise<Message> {
    const answers = await this.parts.duties.vote(ballots, membersRevision);
    const view = this.parts.core.members();
    // The newer member list is included, so that the candidate need not wait for its next read to learn it.
    return membersRevision < view.revision ? { kind: 'ballots', answers, view } : { kind: 'ballots', answers };
  }

  /** Pre-vote: whether this node votes in the candidate's fleet, and whether it hears a leader other than the candidate. */
  private mayLead({ key, fleet, candidate }: Ask<'mayLead'>): Message {
    if (!this.parts.core.votes() || !this.isOwnFleet(fleet)) return noVoteResponse;
    const wouldDepose = this.parts.leaderWatch.wouldDepose(key, candidate);
    return {
      kind: 'mayLead',
      hearsLeader: wouldDepose || this.parts.leadership(key).state.kind !== 'none',
      membersRevision: this.parts.core.members().revision,
    };
  }

  private replicaStatements({ own, fleet = '', known: readerDigest }: Ask<'words'>): Message {
    // Agents send this request several times a second, so recording them here keeps the operators' list of agents complete.
    this.parts.agentContacts.hear(own);
    // Without a vote this node gives no statements: while it is catching up, they could hide accepted changes.
    if (!this.parts.core.votes() || (fleet !== '' && !this.isOwnFleet(fleet)))
      // A standby names the members, so that a process that has reached the standby finds them.
      return { kind: 'noVote', led: this.parts.standing.ledMembers().map(({ address }) => address) };
    const response = this.parts.replicaReport.wordsAnswer();
    // The digest leaves out the ages, which grow with time; the reader advances them itself. It includes the start time, so that
    // the reader notices a restart, after which this node has forgotten its agent contacts.
    const known = Digests.of(
      JSON.stringify([this.startedMicroseconds, response], (field, value: unknown) =>
        field === 'ageMicroseconds' ? value === null : value,
      ),
    );
    return readerDigest === known ? { kind: 'wordsSame', known } : { ...response, known };
  }

  private body({ key, digest }: Ask<'body'>): Message {
    const { core, recentEntries } = this.parts;
    const acceptedEntry = KeeperStates.cell(core.state, key).accepted?.entry;
    const entry = acceptedEntry?.digest === digest ? acceptedEntry : recentEntries.find(key, digest);
    if (!core.votes() || entry === undefined) return { kind: 'noBody' };
    const { revision, text } = entry;
    return { kind: 'body', ...this.bodyPacker.sent({ key, revision, digest, text }), fleet: core.state.fleet };
  }
}
