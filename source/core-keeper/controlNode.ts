import Emittery from 'emittery';
import {
  nativeConfigurationFormat,
  cachingConfigurationFormat,
  type ConfigurationFormat,
} from '../shared/configuration/configurationFormat';
import { DocumentKeys, type ControlNodeMember, type DocumentKey } from '../shared/configuration/types';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Disk } from '../shared/effects/disk/disk';
import type { Effects } from '../shared/effects/effects';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import type { Listener } from '../shared/effects/transport/transport';
import { RateLimitedLogs } from '../shared/log/rateLimitedLog';
import { Logs, type Log } from '../shared/log/log';
import { Metrics } from '../shared/metrics/metrics';
import type { KeyStatement } from '../shared/register/types';
import { LeaseVoter } from './leases/leaseVoter';
import { WriteAheadLog, type LogOpenOutcome } from './write-ahead-log/writeAheadLog';
import { ReplicaStates, type MembershipStatus } from './write-ahead-log/replicaState';
import type { ControlNodeSettings } from './controlNodeSettings';
import { AgentContacts } from './operators/agentContacts';
import { Acceptor } from './register/acceptor';
import { ChangeFetcher } from './register/changeFetcher';
import { ChangeRouter } from './register/changeRouter';
import { EntryTransfer } from './register/entryTransfer';
import { Heartbeats } from './register/heartbeats';
import { RecentEntries } from './register/recentEntries';
import { ReplicaReport, type KeyLeader, type ReplicaStatus } from './register/replicaReport';
import { Elections } from './register/elections';
import { MessageHandler } from './messages/messageHandler';
import { ReplicaCore } from './register/replicaCore';
import type { ChangeRequest, ChangeOutcome } from './register/messages';
import { Leadership } from './register/leadership';
import { QuorumReader, type ReadOutcome } from './register/quorumReader';
import { QuorumWatch } from './register/quorumWatch';
import { RegisterMetrics } from './register/registerMetrics';
import { WeightsAges } from './register/weightsAges';
import { WaitingChanges } from './register/waitingChanges';
import { LeaderTracker } from './membership/leaderTracker';
import { MemberChanges } from './membership/memberChanges';
import { MemberFailureDetector } from './membership/memberFailureDetector';
import { MemberRemoval, FleetMembership } from './membership/fleetMembership';

/** A leader steps down after this many leader timeouts without heartbeat responses from a majority. */
const quorumTimeoutMultiplier = 2;

/** How often the leader of the member list checks whether a new member has caught up. */
const memberChangePeriodMicroseconds = 150_000;

/** A control node: a replica of the control state, with its elections, its membership and its message handling. */
export class ControlNode {
  public readonly events = new Emittery<{ standing: MembershipStatus; broken: string }>();
  public readonly core: ReplicaCore;
  public readonly duties: LeaseVoter;
  public readonly metrics = new Metrics();
  private readonly registerMetrics = new RegisterMetrics(this.metrics);
  private readonly effects: Effects;
  private readonly writeAheadLog: WriteAheadLog;
  private readonly acceptor: Acceptor;
  private readonly entryTransfer: EntryTransfer;
  private readonly standing: FleetMembership;
  private readonly leaderships: ReadonlyMap<DocumentKey, Leadership>;
  private readonly leaderWatch: LeaderTracker;
  private readonly quorumReader: QuorumReader;
  private readonly weightsAges: WeightsAges;
  private readonly memberWatch: MemberFailureDetector;
  private readonly quorumWatch: QuorumWatch;
  private readonly memberChanges: MemberChanges;
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private readonly noticeLog: Log;
  private listener: Listener | undefined;
  private readonly startedMicroseconds: number;
  private readonly agentContacts: AgentContacts;
  private readonly changeRouter: ChangeRouter;
  private readonly waitingChanges = new WaitingChanges();
  private readonly recentEntries = new RecentEntries();
  private readonly heartbeats: Heartbeats;
  private readonly vacancies: Elections;
  private readonly replicaReport: ReplicaReport;
  private readonly messageHandler: MessageHandler;

  public constructor(
    baseEffects: Effects,
    disk: Disk,
    private readonly settings: ControlNodeSettings,
    uncachedDialect: ConfigurationFormat = nativeConfigurationFormat,
  ) {
    const dialect = cachingConfigurationFormat(uncachedDialect);
    const { clock, random } = baseEffects;
    this.startedMicroseconds = clock.nowMicroseconds();
    const transport = new FleetTransport(baseEffects.transport, () => this.standing.fleet());
    this.effects = { ...baseEffects, transport };
    this.log = Logs.channel(`keeper:${settings.name}`);
    this.noticeLog = Logs.channel(`keeper:${settings.name}:notice`);
    this.writeAheadLog = new WriteAheadLog(disk, clock, this.noticeLog, settings.rewriteBytes);
    this.core = new ReplicaCore(settings.name, this.writeAheadLog, clock);
    this.acceptor = new Acceptor(this.core);
    this.entryTransfer = new EntryTransfer(this.core, this.acceptor, transport, settings.askMicroseconds);
    this.duties = new LeaseVoter(this.core, clock);
    this.weightsAges = new WeightsAges(clock, dialect);
    this.memberWatch = new MemberFailureDetector(this.core, clock, settings.memberSilentMicroseconds);
    this.leaderWatch = new LeaderTracker(clock, settings.ownerSilentMicroseconds);
    this.quorumWatch = new QuorumWatch(
      this.core,
      clock,
      settings.ownerSilentMicroseconds * quorumTimeoutMultiplier,
      RateLimitedLogs.of(this.noticeLog, clock),
    );
    this.memberChanges = new MemberChanges(
      this.core,
      clock,
      transport,
      this.memberWatch,
      {
        leadership: () => this.leadership('core-members'),
        keyStatements: () => this.replicaReport.keyStatements(),
        read: (key) => this.read(key),
        change: (order) => this.change(order),
      },
      settings,
    );
    this.standing = new FleetMembership(
      this.core,
      transport,
      random,
      {
        seeds: settings.seeds,
        member: settings.member,
        replaces: settings.replaces,
        askMicroseconds: settings.askMicroseconds,
        founders: settings.founders,
        isFirstStart: settings.isFirstStart,
        joins: settings.joins,
        isOnlyFleet: settings.isOnlyFleet,
        majorityFoundingDelayMicroseconds: settings.majorityFoundingDelayMicroseconds,
      },
      this.noticeLog,
      () => this.duties.delayGrants(settings.leaseMicroseconds),
    );
    this.agentContacts = new AgentContacts(clock);
    this.changeRouter = new ChangeRouter(
      {
        leadership: (key) => this.leadership(key),
        leaderAddress: (key) => this.leaderAddress(key),
        votingMembers: () => this.standing.followedMembers(),
      },
      transport,
      clock,
      random,
      settings,
      this.waitingChanges,
    );
    this.quorumReader = new QuorumReader(
      {
        fleet: () => this.standing.fleet(),
        members: () => this.membersToQuery(),
        ownAnswer: () => (this.core.votes() ? this.replicaReport.statementsAnswer() : undefined),
        heldText: (key, digest) => this.replicaReport.heldText(key, digest),
      },
      transport,
      clock,
      settings,
    );
    const leadershipSettings = {
      askMicroseconds: settings.askMicroseconds,
      changeMicroseconds: settings.changeMicroseconds,
      firstMembersText: () => this.firstMembersText(),
      dialect,
      learnMembers: (address: string) => this.entryTransfer.fetchMembers(address),
      metrics: this.registerMetrics,
    };
    this.leaderships = new Map(
      DocumentKeys.map((key) => [
        key,
        new Leadership(
          key,
          this.core,
          this.acceptor,
          transport,
          clock,
          random,
          leadershipSettings,
          RateLimitedLogs.of(this.noticeLog, clock),
        ),
      ]),
    );
    const fetcher = new ChangeFetcher(
      {
        fleet: () => this.core.state.fleet,
        ledKeys: () => this.heartbeats.ledKeys(),
        changeAsLeader: (order) => this.changeRouter.changeAsLeader(order),
      },
      transport,
      settings.askMicroseconds,
    );
    this.heartbeats = new Heartbeats(
      {
        core: this.core,
        leaderships: this.leaderships,
        leaders: this.leaderWatch,
        members: this.memberWatch,
        quorum: this.quorumWatch,
        entries: this.entryTransfer,
        waiting: this.waitingChanges,
        fetcher,
      },
      transport,
      settings,
    );
    this.replicaReport = new ReplicaReport({
      core: this.core,
      clock,
      leadership: (key) => this.leadership(key),
      leaders: this.leaderWatch,
      heartbeats: this.heartbeats,
      quorum: this.quorumWatch,
      ages: this.weightsAges,
    });
    this.vacancies = new Elections({
      core: this.core,
      clock,
      random,
      leadership: (key) => this.leadership(key),
      leaders: this.leaderWatch,
      heartbeats: this.heartbeats,
      ownerSilentMicroseconds: settings.ownerSilentMicroseconds,
    });
    this.messageHandler = new MessageHandler(
      {
        core: this.core,
        acceptor: this.acceptor,
        agentContacts: this.agentContacts,
        changeRouter: this.changeRouter,
        duties: this.duties,
        entryTransfer: this.entryTransfer,
        heartbeats: this.heartbeats,
        leaderWatch: this.leaderWatch,
        leadership: (key) => this.leadership(key),
        memberChanges: this.memberChanges,
        recentEntries: this.recentEntries,
        replicaReport: this.replicaReport,
        standing: this.standing,
        waitingChanges: this.waitingChanges,
        memberWatch: this.memberWatch,
      },
      this.startedMicroseconds,
      this.metrics,
      RateLimitedLogs.of(this.noticeLog, clock),
    );
    const logFailure = (error: unknown): void => this.log(`A periodic task failed: ${Logs.errorMessage(error)}.`);
    this.tickers = [
      new Ticker(
        clock,
        () => (this.core.votes() ? 1_000_000 : this.standing.followedMembers().length > 0 ? 400_000 : 150_000),
        () => this.advanceMembership(),
        logFailure,
      ),
      new Ticker(
        clock,
        () => settings.heartbeatMicroseconds,
        () => this.sendHeartbeats(),
        logFailure,
      ),
      new Ticker(
        clock,
        () => memberChangePeriodMicroseconds,
        () => this.memberChanges.step(),
        logFailure,
      ),
      new Ticker(
        clock,
        () => 100_000 + Math.floor(random.fraction() * 100_000),
        () => this.vacancies.campaignForVacantKeys(),
        logFailure,
      ),
    ];
  }

  /** Replays the log, then starts to listen; returns the fault where the log cannot be read. */
  public async start(): Promise<
    Readonly<{ kind: 'started'; address: string }> | Exclude<LogOpenOutcome, Readonly<{ kind: 'opened' }>>
  > {
    const opened = await this.writeAheadLog.open();
    if (opened.kind !== 'opened') return opened;
    this.writeAheadLog.notifications.on('broken', (text) => void this.events.emit('broken', text));
    this.writeAheadLog.notifications.on('synced', (events) => {
      this.recentEntries.recordWritten(events);
      for (const event of events) {
        if (event.kind === 'accepted' && event.key === 'blueprint') this.weightsAges.accepted(event.entry);
        // Entries that arrive with the state of other replicas do not pass through this node's own accept step.
        if (event.kind === 'joined') this.restoreWeightsAges();
      }
    });
    this.restoreWeightsAges();
    if (opened.fresh && this.settings.isFirstStart)
      void this.writeAheadLog.write([{ kind: 'firstStarted', seeds: this.settings.seeds }]);
    if (!opened.fresh) this.duties.delayGrants(this.settings.leaseMicroseconds);
    this.listener = await this.effects.transport.listen(
      this.settings.listenAddress || this.settings.member.address,
      async (message) => this.messageHandler.handle(message),
    );
    for (const ticker of this.tickers) ticker.start();
    return { kind: 'started', address: this.listener.address };
  }

  private restoreWeightsAges(): void {
    const blueprint = ReplicaStates.acceptorState(this.core.state, 'blueprint').accepted;
    if (blueprint !== null) this.weightsAges.restored(blueprint.entry);
  }

  /** Replaces the addresses of the first contacts. */
  public setSeeds(seeds: readonly string[]): void {
    this.standing.setSeeds(seeds);
  }

  /** A planned stop. Announces it, so that the others can take over this node's keys without waiting for the leader timeout. */
  public async leave(): Promise<void> {
    await this.memberChanges.handOver(() => this.advanceMembership());
    for (const ticker of this.tickers) ticker.stop();
    const message = { kind: 'ownerLeaves', owner: this.settings.name };
    await Promise.all(
      this.core
        .others()
        .map(([, { address }]) => this.effects.transport.ask(address, message, this.settings.askMicroseconds)),
    );
    await this.stop();
  }

  /** Stops without a handover. */
  public async stop(): Promise<void> {
    for (const ticker of this.tickers) ticker.stop();
    await this.listener?.close();
    await this.writeAheadLog.close();
  }

  /** The current value of a key (a linearizable read), or `noMajority` if no majority responds within the limit. */
  public async read(key: DocumentKey, limitMicroseconds = this.settings.changeMicroseconds): Promise<ReadOutcome> {
    const startMicroseconds = this.effects.clock.nowMicroseconds();
    const outcome = await this.quorumReader.read(key, limitMicroseconds);
    this.registerMetrics.countRead(key, outcome.kind, this.effects.clock.nowMicroseconds() - startMicroseconds);
    return outcome;
  }

  /** Has the leader of the key apply a change. The change id makes repeated and forwarded attempts idempotent. */
  public change(request: ChangeRequest): Promise<ChangeOutcome> {
    return this.changeRouter.change(request);
  }

  /** Agents that have recently contacted this node. */
  public agents(): readonly unknown[] {
    return this.agentContacts.recent();
  }

  /** An agent's status page. Undefined: this node does not know the agent, or the agent does not respond. */
  public async agentStatus(name: string): Promise<unknown> {
    const address = this.agentContacts.address(name);
    if (address === undefined) return undefined;
    const answer = await this.effects.transport.ask(address, { kind: 'status' }, this.settings.askMicroseconds);
    return answer.kind === 'answered' && answer.message.kind === 'status' ? answer.message['status'] : undefined;
  }

  /** The known leader of each key. */
  public keyLeaders(): Readonly<Record<string, KeyLeader>> {
    return this.replicaReport.keyLeaders();
  }

  public replicaStatus(): ReplicaStatus {
    return this.replicaReport.replicaStatus();
  }

  /** What this replica has accepted and knows to be decided, per key. */
  public words(): readonly KeyStatement[] {
    return this.replicaReport.keyStatements();
  }

  private membersToQuery(): readonly ControlNodeMember[] {
    return this.core.votes() ? this.core.others().map(([, member]) => member) : this.standing.followedMembers();
  }

  private leadership(key: DocumentKey): Leadership {
    const leadership = this.leaderships.get(key);
    if (leadership === undefined) throw new Error(`unknown key ${String(key)}`);
    return leadership;
  }

  private leaderAddress(key: DocumentKey): string | undefined {
    const leader = this.leaderWatch.leader(key);
    return leader === undefined ? undefined : this.core.members().members[leader.leader]?.address;
  }

  private firstMembersText(): string {
    const initialMembers = this.core.state.firstMembers;
    return JSON.stringify({
      members: Object.fromEntries(Object.entries(initialMembers).sort(([left], [right]) => (left < right ? -1 : 1))),
    });
  }

  private async advanceMembership(): Promise<void> {
    const before = this.core.state.standing;
    await this.standing.step();
    if (MemberRemoval.isRemoved(this.core)) await this.writeAheadLog.write([{ kind: 'replaced' }]);
    if (before !== this.core.state.standing) await this.events.emit('standing', this.core.state.standing);
  }

  private sendHeartbeats(): Promise<void> {
    this.heartbeats.send();
    return Promise.resolve();
  }
}
