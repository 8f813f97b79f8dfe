/** One replica of the model: the register's own classes, with effects that the explorer holds in its hands. */
import { ReplicaStates } from '../../../source/core-keeper/write-ahead-log/replicaState';
import { WriteAheadLog } from '../../../source/core-keeper/write-ahead-log/writeAheadLog';
import { ControlRequests, type ControlRequest } from '../../../source/core-keeper/messages/controlRequests';
import { Acceptor } from '../../../source/core-keeper/register/acceptor';
import { EntryTransfer } from '../../../source/core-keeper/register/entryTransfer';
import { ReplicaCore } from '../../../source/core-keeper/register/replicaCore';
import type { ChangeRequest, ChangeOutcome } from '../../../source/core-keeper/register/messages';
import { QuorumReader } from '../../../source/core-keeper/register/quorumReader';
import { RegisterMetrics } from '../../../source/core-keeper/register/registerMetrics';
import { Leadership } from '../../../source/core-keeper/register/leadership';
import { MemberChanges } from '../../../source/core-keeper/membership/memberChanges';
import { MemberFailureDetector } from '../../../source/core-keeper/membership/memberFailureDetector';
import { MemberRemoval, FleetMembership } from '../../../source/core-keeper/membership/fleetMembership';
import { DocumentKeys, type ControlNodeMember, type DocumentKey } from '../../../source/shared/configuration/types';
import type { Cancel, Clock } from '../../../source/shared/effects/clock/clock';
import type { Message, Transport } from '../../../source/shared/effects/transport/transport';
import { Metrics } from '../../../source/shared/metrics/metrics';
import type { StatementsAnswer } from '../../../source/shared/register/majorityRead';
import { Epochs, type Epoch, type KeyStatement } from '../../../source/shared/register/types';
import type { ModelDisk } from './modelDisk';
import { registerDialect } from './registerDialect';

/** Time passes only when a timer runs, and timers run only when nothing else is left to happen. */
class ModelClock implements Clock {
  private now = 0;

  public constructor(private readonly timer: (act: () => void) => void) {}

  public readonly nowMicroseconds = (): number => this.now;
  public readonly steadyMicroseconds = (): number => this.now;
  public readonly after = (delayMicroseconds: number, act: () => void): Cancel => {
    const due = this.now + delayMicroseconds;
    let isOpen = true;
    this.timer(() => {
      if (!isOpen) return;
      this.now = Math.max(this.now, due);
      act();
    });
    return () => {
      isOpen = false;
    };
  };
}

const askMicroseconds = 50_000;
/** How long a member that leaves waits for its successor: so long that only a history without one sees the end of it. */
const handOverMicroseconds = 3_000_000;
/** A lost campaign is so far ahead of the epoch that leads, which does not learn of it at once. */
const promiseAhead = 2;
/** How often a read campaigns before it gives up. */
const readAttempts = 4;
const silent = (): void => undefined;

/** How a replica of the model is set up beyond the register. */
export type ModelSetup = Readonly<{
  /** The system starts for the first time: seeds may found a fleet. */
  isFirstStart: boolean;
  /** A log longer than this is rewritten as a snapshot. */
  rewriteBytes: number;
  /** Distinguishes the fleets that a replica would found in its lives. */
  life: number;
}>;

export type ModelEffects = Readonly<{
  setup: ModelSetup;
  transport: Transport;
  disk: ModelDisk;
  /** An act of this replica's disk, which the explorer completes. */
  later: (act: () => void, what: string) => void;
  /** A timer of this replica, which runs when nothing else is left. */
  timer: (act: () => void) => void;
  /** Stands for the heartbeats: who within reach leads the key. */
  leaderOf: (key: DocumentKey) => ModelReplica | undefined;
  /** Stands for the answers to heartbeats: the highest epoch promised to anybody, on a replica within reach. */
  highestPromise: (key: DocumentKey) => Epoch;
}>;

/** Replicas have names of one letter; each has an address of its own. */
const addressOf = (name: string): string => `10.0.0.${name.charCodeAt(0)}:1`;

export const nameAt = (address: string): string => String.fromCharCode(Number(/\.(\d+):1$/.exec(address)?.[1]));

const memberOf = (name: string): ControlNodeMember => ({
  address: addressOf(name),
  operatorsAddress: `10.0.0.${name.charCodeAt(0)}:2`,
  zone: '',
});

const firstMembersText = (names: readonly string[]): string =>
  JSON.stringify({ members: Object.fromEntries(names.map((name) => [name, memberOf(name)])) });

export class ModelReplica {
  public readonly core: ReplicaCore;
  public readonly ledger: WriteAheadLog;
  private readonly acceptor: Acceptor;
  private readonly entries: EntryTransfer;
  private readonly standing: FleetMembership;
  private readonly members: MemberChanges;
  private readonly reader: QuorumReader;
  private readonly leaderships: ReadonlyMap<DocumentKey, Leadership>;

  public constructor(
    public readonly name: string,
    private readonly founders: readonly string[],
    private readonly effects: ModelEffects,
  ) {
    const { transport } = effects;
    const clock = new ModelClock(effects.timer);
    const { isFirstStart, rewriteBytes, life } = effects.setup;
    this.ledger = new WriteAheadLog(effects.disk.open(effects.later), clock, silent, rewriteBytes);
    this.core = new ReplicaCore(name, this.ledger, clock);
    this.acceptor = new Acceptor(this.core);
    this.entries = new EntryTransfer(this.core, this.acceptor, transport, askMicroseconds);
    const random = { fraction: () => 0, name: () => `fleet of ${name} ${life}` };
    const settings = {
      askMicroseconds,
      // One attempt a call: the explorer's script says who tries again, and when.
      changeMicroseconds: 1,
      firstMembersText: () => firstMembersText(founders),
      dialect: registerDialect,
      learnMembers: (address: string) => this.entries.fetchMembers(address),
      metrics: new RegisterMetrics(new Metrics()),
    };
    this.leaderships = new Map(
      DocumentKeys.map((key) => [
        key,
        new Leadership(key, this.core, this.acceptor, transport, clock, random, settings, silent),
      ]),
    );
    this.standing = new FleetMembership(
      this.core,
      transport,
      random,
      {
        seeds: founders.map(addressOf),
        member: memberOf(name),
        replaces: '',
        askMicroseconds,
        founders: founders.length,
        isFirstStart,
        majorityFoundingDelayMicroseconds: 0,
        joins: 'asks',
        isOnlyFleet: true,
      },
      silent,
      silent,
    );
    this.reader = new QuorumReader(
      {
        fleet: () => this.core.state.fleet,
        members: () => this.core.others().map(([, member]) => member),
        ownAnswer: () => (this.core.votes() ? this.wordsAnswer() : undefined),
        heldText: (key, digest) => this.heldText(key, digest),
      },
      transport,
      clock,
      { askMicroseconds },
    );
    this.members = new MemberChanges(
      this.core,
      clock,
      transport,
      new MemberFailureDetector(this.core, clock, 1),
      {
        leadership: () => this.leadership('core-members'),
        keyStatements: () => this.words(),
        read: (key) => this.reader.read(key, 1),
        change: async (order) => (await this.leadership(order.key).change(order)) ?? { kind: 'unknown' },
      },
      {
        joins: 'asks',
        membersWanted: founders.length,
        askMicroseconds,
        learnerTimeoutMicroseconds: 1,
        handOverLimitMicroseconds: handOverMicroseconds,
      },
    );
  }

  private wordsAnswer(): StatementsAnswer {
    const view = this.core.members();
    return { kind: 'words', stamp: this.core.stamp(), membersRevision: view.revision, view, words: this.words() };
  }

  public async open(): Promise<void> {
    const opened = await this.ledger.open();
    if (opened.kind !== 'opened') throw new Error('a disk that only lost its power is taken for corrupt');
    if (opened.fresh && this.effects.setup.isFirstStart)
      void this.ledger.write([{ kind: 'firstStarted', seeds: this.founders.map(addressOf) }]);
  }

  /** What a campaign leaves behind whose messages are all lost. */
  public promiseItself(key: DocumentKey): Promise<unknown> {
    const { promised } = ReplicaStates.acceptorState(this.ledger.pending, key);
    return this.acceptor.prepare({
      kind: 'prepare',
      fleet: this.core.state.fleet,
      membersRevision: this.core.members().revision,
      key,
      epoch: { number: promised.number + promiseAhead, keeper: this.name },
    });
  }

  /** A planned stop: the member goes once its successor votes. */
  public leave(): Promise<void> {
    return this.members.handOver(() => this.standingStep());
  }

  /** The state of a member of a fleet that was founded long ago, or of a machine that was never in it. */
  public found(): Promise<unknown> {
    const members = Object.fromEntries(this.founders.map((name) => [name, memberOf(name)]));
    return this.ledger.write([{ kind: 'forming', fleet: 'fleet', members }, { kind: 'formed' }]);
  }

  public leadership(key: DocumentKey): Leadership {
    const found = this.leaderships.get(key);
    if (found === undefined) throw new Error(`no key ${key}`);
    return found;
  }

  public change(order: ChangeRequest): Promise<ChangeOutcome | undefined> {
    return this.leadership(order.key).change(order);
  }

  /** A read as of now. Where a value stands on a minority, a campaign settles it first. Undefined: no majority. */
  public async read(): Promise<number | undefined> {
    // A replica that was away learns the present epoch by a campaign that fails, and campaigns above it.
    for (let attempt = 0; attempt < readAttempts; attempt += 1) {
      const read = await this.reader.read('blueprint', 1);
      if (read.kind === 'read') return read.revision;
      await this.leadership('blueprint').acquire('request');
    }
    return undefined;
  }

  public replaceMember(gone: string, newcomer: string): Promise<ChangeOutcome | undefined> {
    const leadership = this.leadership('core-members');
    const names = this.founders.filter((name) => name !== gone);
    return leadership.change({
      key: 'core-members',
      form: 'whole',
      text: firstMembersText([...names, newcomer]),
      ifMatch: 1,
      id: `replace ${gone}`,
      learner: newcomer,
    });
  }

  /** What a replica does by itself from time to time: joins, settles a change of members, fills a vacancy. */
  public async step(): Promise<void> {
    await this.standingStep();
    await this.members.step();
    for (const key of ['core-members', 'blueprint'] as const) await this.follow(key);
  }

  private async standingStep(): Promise<void> {
    await this.standing.step();
    if (MemberRemoval.isRemoved(this.core)) await this.ledger.write([{ kind: 'replaced' }]);
  }

  private async follow(key: DocumentKey): Promise<void> {
    if (!this.core.votes()) return;
    const leader = this.effects.leaderOf(key);
    if (leader === this && this.leadership(key).observeEpoch(this.effects.highestPromise(key)))
      await this.leadership(key).acquire('request');
    else if (leader === undefined) await this.leadership(key).acquire('vacancy');
    else if (leader !== this && leader.holding(key) !== this.holding(key))
      await this.entries.fetchEntry(key, addressOf(leader.name));
  }

  private holding(key: DocumentKey): string {
    const accepted = ReplicaStates.acceptorState(this.core.state, key).accepted;
    return accepted === null ? '' : `${Epochs.toText(accepted.epoch)} ${accepted.entry.revision}`;
  }

  public async handle(message: Message): Promise<Message> {
    const read = ControlRequests.read(message);
    if (read.kind === 'refused') throw new Error(`a replica of the model sent ${read.requestKind}: ${read.fault}`);
    return this.answer(read.request);
  }

  private answer(ask: ControlRequest): Promise<Message> | Message {
    switch (ask.kind) {
      case 'prepare':
        return this.acceptor.prepare(ask);
      case 'accept':
        return this.acceptor.accept(ask);
      case 'entry':
        return this.entries.acceptRequestFor(ask.key);
      case 'hello':
        return this.standing.hello(ask.asker);
      case 'frame':
        return this.standing.transferState(ask);
      case 'form':
        return this.standing.vote(ask);
      case 'takeIn':
        return this.members.takeIn(ask.name, ask.member);
      case 'memberLeaves':
        return this.members.recordLeaving(ask.keeper);
      case 'silentMembers':
        return { kind: 'silentMembers', silent: [] };
      case 'mayLead':
        return this.core.votes()
          ? { kind: 'mayLead', hearsLeader: this.hearsLeader(ask), membersRevision: this.core.members().revision }
          : { kind: 'noVote' };
      case 'words':
        return this.core.votes() ? this.wordsAnswer() : { kind: 'noVote' };
      case 'body':
        return this.body(ask);
      case 'confirm':
        return this.acceptor.confirm(ask);
      default:
        return { kind: 'noVote' };
    }
  }

  private heldText(key: DocumentKey, digest: string): string | undefined {
    const entry = ReplicaStates.acceptorState(this.core.state, key).accepted?.entry;
    return entry?.digest === digest ? entry.text : undefined;
  }

  private body({ key, digest }: ControlRequest<'body'>): Message {
    const text = this.heldText(key, digest);
    return text === undefined ? { kind: 'noBody' } : { kind: 'body', key, revision: 0, digest, text };
  }

  /** Safety must not rest on the pre-vote, so a campaign for a request deposes any leader here. */
  private hearsLeader({ key, reason }: ControlRequest<'mayLead'>): boolean {
    return reason === 'vacancy' && this.effects.leaderOf(key) !== undefined;
  }

  /** All that later behaviour depends on, but for what is under way. */
  public fingerprint(): string {
    const leaders = [...this.leaderships].map(([key, { state }]) => [
      key,
      state.kind,
      state.kind === 'none' ? '' : Epochs.toText(state.epoch),
    ]);
    return JSON.stringify([this.ledger.synced, this.ledger.pending, leaders], (_, value: unknown) =>
      value instanceof Uint8Array ? Buffer.from(value).toString('base64') : value,
    );
  }

  private words(): readonly KeyStatement[] {
    return DocumentKeys.map((key) => {
      const accepted = ReplicaStates.acceptorState(this.core.state, key).accepted;
      return {
        key,
        epoch: accepted?.epoch ?? Epochs.none,
        revision: accepted?.entry.revision ?? 0,
        digest: accepted?.entry.digest ?? '',
        decidedRevision: 0,
        decidedDigest: '',
        owner: '',
      };
    });
  }
}
