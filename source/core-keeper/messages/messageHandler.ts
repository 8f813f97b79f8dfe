import type { Message } from '../../shared/effects/transport/transport';
import { BodyEncoder } from '../../shared/freshness/documentBodies';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';
import type { DocumentKey } from '../../shared/configuration/types';
import type { LeaseVoter } from '../leases/leaseVoter';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import type { AgentContacts } from '../operators/agentContacts';
import type { Acceptor } from '../register/acceptor';
import type { ChangeRouter } from '../register/changeRouter';
import { Digests } from '../register/changes';
import type { EntryTransfer } from '../register/entryTransfer';
import type { Heartbeats } from '../register/heartbeats';
import type { ReplicaCore } from '../register/replicaCore';
import type { Accept, ChangeOutcome, Prepare } from '../register/messages';
import type { Leadership } from '../register/leadership';
import type { RecentEntries } from '../register/recentEntries';
import type { ReplicaReport } from '../register/replicaReport';
import type { WaitingChanges } from '../register/waitingChanges';
import type { LeaderTracker } from '../membership/leaderTracker';
import type { MemberChanges } from '../membership/memberChanges';
import type { MemberFailureDetector } from '../membership/memberFailureDetector';
import type { FleetMembership } from '../membership/fleetMembership';
import { ControlRequests, type ControlRequest } from './controlRequests';

/** The components of a control node that requests are dispatched to. */
export type MessageHandlerParts = Readonly<{
  core: ReplicaCore;
  acceptor: Acceptor;
  agentContacts: AgentContacts;
  changeRouter: ChangeRouter;
  duties: LeaseVoter;
  entryTransfer: EntryTransfer;
  heartbeats: Heartbeats;
  leaderWatch: LeaderTracker;
  leadership: (key: DocumentKey) => Leadership;
  memberChanges: MemberChanges;
  recentEntries: RecentEntries;
  replicaReport: ReplicaReport;
  standing: FleetMembership;
  waitingChanges: WaitingChanges;
  memberWatch: MemberFailureDetector;
}>;

const noVoteResponse: Message = { kind: 'noVote' };

/** Dispatches the requests of other processes to the components of a control node. */
export class MessageHandler {
  private readonly bodyPacker = new BodyEncoder();

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
    const parsed = ControlRequests.read(message);
    if (parsed.kind === 'good') return this.respond(parsed.request);
    this.metrics.count('postdrum_messages_refused_total', { message: parsed.requestKind });
    this.refusalLog(`Message refused: kind ${parsed.requestKind}, ${parsed.fault}.`);
    return { kind: 'refused' };
  }

  private respond(request: ControlRequest): Promise<Message> | Message {
    switch (request.kind) {
      case 'hello':
        return this.parts.standing.hello(request.asker);
      case 'form':
        return this.parts.standing.vote(request);
      case 'frame':
        return this.parts.standing.transferState(request);
      case 'prepare':
        return this.prepare(request);
      case 'accept':
        return this.accept(request);
      case 'confirm':
        return this.parts.acceptor.confirm(request);
      case 'owners':
        return this.parts.heartbeats.receive(request);
      case 'fetchChange':
        return this.isOwnFleet(request.fleet) ? this.parts.waitingChanges.fetch(request) : noVoteResponse;
      case 'ownerLeaves':
        this.parts.leaderWatch.removeLeader(request.owner);
        return { kind: 'heard' };
      case 'words':
        return this.replicaStatements(request);
      case 'body':
        return this.bodyResponse(request);
      case 'ballots':
        return this.vote(request);
      case 'withdraw':
        this.parts.duties.withdraw(request.ballots);
        return { kind: 'heard' };
      case 'change':
        return this.changeResponse(this.parts.changeRouter.changeAsLeader(request.order));
      case 'relayChange':
        return this.changeResponse(this.parts.changeRouter.changeFromMember(request.order));
      case 'passChange':
        return this.parts.core.votes()
          ? this.changeResponse(this.parts.changeRouter.change(request.order))
          : noVoteResponse;
      case 'entry':
        return this.parts.entryTransfer.acceptRequestFor(request.key);
      case 'replace':
        return this.parts.memberChanges.replace(request.gone, request.name, request.member);
      case 'takeIn':
        return this.parts.memberChanges.takeIn(request.name, request.member);
      case 'memberLeaves':
        return this.isOwnFleet(request.fleet) ? this.parts.memberChanges.recordLeaving(request.keeper) : noVoteResponse;
      case 'mayLead':
        return this.preVote(request);
      case 'silentMembers':
        return this.parts.core.votes()
          ? {
              kind: 'silentMembers',
              silent: this.parts.memberWatch.silentMembers(),
              fleet: this.parts.core.state.fleet,
            }
          : noVoteResponse;
      case 'news':
        // A control node responds to gossip because an agent that has it as a seed finds the first other agents through it.
        return this.parts.agentContacts.gossipResponse(request.own);
      case 'newsMore':
        return { kind: 'heard' };
      case 'ping':
        return { kind: 'pong' };
    }
  }

  private isOwnFleet(fleet: string): boolean {
    return fleet === this.parts.core.state.fleet;
  }

  private async changeResponse(change: Promise<ChangeOutcome | undefined>): Promise<Message> {
    return { kind: 'changed', outcome: (await change) ?? null };
  }

  private async prepare(request: Prepare): Promise<Message> {
    const response = await this.parts.acceptor.prepare(request);
    if (response.kind === 'promised') this.parts.leaderWatch.recordPromise(request.key, request.epoch);
    return response;
  }

  private async accept(request: Accept): Promise<Message> {
    const response = await this.parts.acceptor.accept(request);
    if (response.kind === 'accepted') this.parts.leaderWatch.recordAccept(request.key, request.epoch);
    return response;
  }

  private async vote({ ballots, membersRevision = 0 }: ControlRequest<'ballots'>): Promise<Message> {
    const answers = await this.parts.duties.vote(ballots, membersRevision);
    const view = this.parts.core.members();
    // The newer member list is included, so that the candidate need not wait for its next read to learn it.
    return membersRevision < view.revision ? { kind: 'ballots', answers, view } : { kind: 'ballots', answers };
  }

  /**
   * Pre-vote: whether this node votes in the candidate's fleet, and whether it hears a leader other than the candidate. The latter
   * is also true if this node itself leads or campaigns.
   */
  private preVote({ key, fleet, candidate }: ControlRequest<'mayLead'>): Message {
    if (!this.parts.core.votes() || !this.isOwnFleet(fleet)) return noVoteResponse;
    const wouldDepose = this.parts.leaderWatch.wouldDepose(key, candidate);
    return {
      kind: 'mayLead',
      hearsLeader: wouldDepose || this.parts.leadership(key).state.kind !== 'none',
      membersRevision: this.parts.core.members().revision,
    };
  }

  private replicaStatements({ own, fleet = '', known: readerDigest }: ControlRequest<'words'>): Message {
    // Agents send this request several times a second, so recording them here keeps the operators' list of agents complete.
    this.parts.agentContacts.record(own);
    // Without a vote this node gives no statements: while it is catching up, they could hide accepted changes.
    if (!this.parts.core.votes() || (fleet !== '' && !this.isOwnFleet(fleet)))
      // A standby names the members, so that a process that has reached the standby finds them.
      return { kind: 'noVote', led: this.parts.standing.followedMembers().map(({ address }) => address) };
    const response = this.parts.replicaReport.statementsAnswer();
    // Of an age, only whether it is known counts in the digest: ages grow with time, and the reader advances them itself. The
    // digest includes the start time, so that the reader notices a restart, after which this node has forgotten its agent contacts.
    const known = Digests.of(
      JSON.stringify([this.startedMicroseconds, response], (field, value: unknown) =>
        field === 'ageMicroseconds' ? value === null : value,
      ),
    );
    return readerDigest === known ? { kind: 'wordsSame', known } : { ...response, known };
  }

  private bodyResponse({ key, digest }: ControlRequest<'body'>): Message {
    const { core, recentEntries } = this.parts;
    const acceptedEntry = ReplicaStates.acceptorState(core.state, key).accepted?.entry;
    const entry = acceptedEntry?.digest === digest ? acceptedEntry : recentEntries.find(key, digest);
    if (!core.votes() || entry === undefined) return { kind: 'noBody' };
    const { revision, text } = entry;
    return { kind: 'body', ...this.bodyPacker.encode({ key, revision, digest, text }), fleet: core.state.fleet };
  }
}
