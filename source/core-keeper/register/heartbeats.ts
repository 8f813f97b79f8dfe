import type { DocumentKey } from '../../shared/configuration/types';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import { Epochs, type Epoch } from '../../shared/register/types';
import { ControlResponses, type ControlResponse } from '../messages/controlResponses';
import type { ControlRequest } from '../messages/controlRequests';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import type { LeaderTracker } from '../membership/leaderTracker';
import type { MemberFailureDetector } from '../membership/memberFailureDetector';
import type { ChangeFetcher } from './changeFetcher';
import type { EntryTransfer } from './entryTransfer';
import type { ReplicaCore } from './replicaCore';
import type { LeaderStatement } from './messages';
import type { Leadership } from './leadership';
import type { QuorumWatch } from './quorumWatch';
import type { WaitingChanges } from './waitingChanges';

/** A key for which a member has promised a higher epoch than the leader's, so that it refuses the leader's entries. */
type HigherPromise = Readonly<{ key: DocumentKey; epoch: Epoch }>;

/** The parts of a control node that heartbeats read and update. */
export type HeartbeatParts = Readonly<{
  core: ReplicaCore;
  leaderships: ReadonlyMap<DocumentKey, Leadership>;
  leaders: LeaderTracker;
  members: MemberFailureDetector;
  quorum: QuorumWatch;
  entries: EntryTransfer;
  waiting: WaitingChanges;
  fetcher: ChangeFetcher;
}>;

/** Settings of the heartbeats. */
export type HeartbeatSettings = Readonly<{
  askMicroseconds: number;
  /** A node whose disk has stalled for longer than this stops leading. */
  ownerSilentMicroseconds: number;
  joins: 'named' | 'asks';
}>;

/**
 * Heartbeats between members. A leader announces the keys it leads to all other members. Their answers name keys for which they
 * promised a higher epoch, keys whose value they lack, and changes that they could not deliver to the leader.
 */
export class Heartbeats {
  private readonly pendingHeartbeats = new Set<string>();
  private readonly pendingEntrySends = new Set<string>();
  private readonly keysCatchingUp = new Set<DocumentKey>();
  /** Keys whose newest value this replica lacks and could not fetch from their leader. */
  private readonly unfetchedKeys = new Set<DocumentKey>();
  private readonly decidedStatements = new Map<DocumentKey, LeaderStatement>();

  public constructor(
    private readonly parts: HeartbeatParts,
    private readonly transport: Transport,
    private readonly settings: HeartbeatSettings,
  ) {}

  /** The newest decided revision of the key that a leader has announced to this member. */
  public decidedStatement(key: DocumentKey): LeaderStatement | undefined {
    return this.decidedStatements.get(key);
  }

  public ledKeys(): readonly DocumentKey[] {
    return this.ledStatements().map(({ key }) => key);
  }

  /** Sends one heartbeat to each other member. */
  public send(): void {
    const { core, quorum } = this.parts;
    // A node with a stalled disk sends no heartbeats, so that others take over its keys.
    if (!core.votes() || core.ledger.oldestWriteMicroseconds() > this.settings.ownerSilentMicroseconds) return;
    for (const leadership of this.parts.leaderships.values())
      if (!quorum.hasQuorum(leadership.ledSinceMicroseconds)) leadership.stepDown();
    const words = this.ledStatements();
    // If silent members can be replaced, a node that leads no key also sends heartbeats, so that the others know it is alive.
    if (words.length === 0 && this.settings.joins !== 'asks') return;
    quorum.logChanges();
    const message = { kind: 'owners', fleet: core.state.fleet, owner: core.name, words };
    for (const [name, member] of core.others()) void this.sendTo(name, member.address, message);
  }

  /** Handles a heartbeat of another member and returns the answer. */
  public receive({ fleet, owner: leader, words: statements }: ControlRequest<'owners'>): Message {
    const { core, leaders, members, waiting } = this.parts;
    if (fleet !== core.state.fleet) return { kind: 'noVote' };
    members.recordContact(leader);
    for (const statement of leaders.recordHeartbeat(leader, statements)) {
      if ((this.decidedStatements.get(statement.key)?.revision ?? 0) <= statement.revision)
        this.decidedStatements.set(statement.key, statement);
      this.parts.leaderships.get(statement.key)?.observeEpoch(statement.epoch);
      void this.catchUp(statement, leader);
    }
    const keys = statements.map(({ key }) => key);
    return {
      kind: 'heard',
      promised: statements.flatMap((statement) => this.higherPromise(statement)),
      waiting: waiting.count(keys),
      lacking: keys.filter((key) => this.unfetchedKeys.has(key)),
    };
  }

  private ledStatements(): readonly LeaderStatement[] {
    return [...this.parts.leaderships.values()].flatMap((leadership) => leadership.statement() ?? []);
  }

  /** Each member is sent heartbeats independently, so that one that does not answer does not delay those to the others. */
  private async sendTo(name: string, address: string, message: Message): Promise<void> {
    if (this.pendingHeartbeats.has(name)) return;
    this.pendingHeartbeats.add(name);
    try {
      const answer = await this.transport.ask(address, message, this.settings.askMicroseconds);
      const heard = ControlResponses.read(answer, 'heard');
      if (heard !== undefined) this.receiveAnswer(name, address, heard);
    } finally {
      this.pendingHeartbeats.delete(name);
    }
  }

  private receiveAnswer(
    name: string,
    address: string,
    { promised = [], waiting = 0, lacking = [] }: ControlResponse<'heard'>,
  ): void {
    this.parts.members.recordContact(name);
    this.parts.quorum.recordAnswer(name);
    for (const { key, epoch } of promised) this.campaignAbove(key, epoch);
    // A member that cannot open connections to this leader is served over a connection that the leader opens.
    if (waiting > 0) void this.parts.fetcher.fetchFrom(name, address);
    for (const key of lacking) void this.sendEntry(key, name, address);
  }

  /** Campaigns again: a member that promised a higher epoch accepts entries of this leader only under an epoch above that. */
  private campaignAbove(key: DocumentKey, epoch: Epoch): void {
    const leadership = this.parts.leaderships.get(key);
    if (leadership?.observeEpoch(epoch) === true) void leadership.acquire();
  }

  private async sendEntry(key: DocumentKey, name: string, address: string): Promise<void> {
    if (this.pendingEntrySends.has(name) || this.parts.leaderships.get(key)?.statement() === undefined) return;
    this.pendingEntrySends.add(name);
    try {
      await this.transport.ask(address, this.parts.entries.acceptRequestFor(key), this.settings.askMicroseconds);
    } finally {
      this.pendingEntrySends.delete(name);
    }
  }

  private higherPromise({ key, epoch }: LeaderStatement): readonly HigherPromise[] {
    const { promised } = ReplicaStates.acceptorState(this.parts.core.state, key);
    return Epochs.compare(promised, epoch) > 0 ? [{ key, epoch: promised }] : [];
  }

  private isBehind(statement: LeaderStatement): boolean {
    const { accepted } = ReplicaStates.acceptorState(this.parts.core.ledger.pending, statement.key);
    if (statement.revision === 0 || !this.parts.core.votes()) return false;
    if (accepted === null) return true;
    const comparison = Epochs.compare(accepted.epoch, statement.epoch);
    return comparison < 0 || (comparison === 0 && accepted.entry.revision < statement.revision);
  }

  /** Fetches an entry that this member missed from the leader, instead of waiting for the next change. */
  private async catchUp(statement: LeaderStatement, leader: string): Promise<void> {
    if (!this.isBehind(statement)) {
      this.unfetchedKeys.delete(statement.key);
      return;
    }
    const address = this.parts.core.members().members[leader]?.address;
    if (address === undefined || this.keysCatchingUp.has(statement.key)) return;
    this.keysCatchingUp.add(statement.key);
    try {
      if (!(await this.parts.entries.fetchEntry(statement.key, address))) this.unfetchedKeys.add(statement.key);
    } finally {
      this.keysCatchingUp.delete(statement.key);
    }
  }
}
