import Emittery from 'emittery';
import { ownDialect, rememberingDialect, type Dialect } from '../shared/blueprint/dialect';
import { DocumentKeys, type CoreMember, type DocumentKey } from '../shared/blueprint/types';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Disk } from '../shared/effects/disk/disk';
import type { Effects } from '../shared/effects/effects';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import type { Listener } from '../shared/effects/transport/transport';
import { LimitedLogs } from '../shared/log/limitedLog';
import { Logs, type Log } from '../shared/log/log';
import { Metrics } from '../shared/metrics/metrics';
import type { KeyWord } from '../shared/register/types';
import { DutyVoter } from './duties/dutyVoter';
import { Ledger, type LedgerOpened } from './ledger/ledger';
import { KeeperStates, type Standing } from './ledger/keeperState';
import type { KeeperSettings } from './controlSettings';
import { AgentContacts } from './operators/agentContacts';
import { Acceptor } from './register/acceptor';
import { ChangeFetcher } from './register/changeFetcher';
import { ChangeRouter } from './register/changeRouter';
import { EntryTransfer } from './register/entryTransfer';
import { Heartbeats } from './register/heartbeats';
import { RecentEntries } from './register/recentEntries';
import { ReplicaReport, type KeyLeader, type ReplicaStatus } from './register/replicaReport';
import { Vacancies } from './register/vacancies';
import { MessageHandler } from './messages/messageHandler';
import { KeeperCore } from './register/keeperCore';
import type { ChangeOrder, ChangeOutcome } from './register/messages';
import { Ownership } from './register/ownership';
import { QuorumReader, type ReadOutcome } from './register/quorumReader';
import { QuorumWatch } from './register/quorumWatch';
import { RegisterMetrics } from './register/registerMetrics';
import { WeightsAges } from './register/weightsAges';
import { WaitingChanges } from './register/waitingChanges';
import { LeaderWatch } from './standing/leaderWatch';
import { MemberChanges } from './standing/memberChanges';
import { MemberWatch } from './standing/memberWatch';
import { Replaced, StandingKeeper } from './standing/standing';

/** A leader steps down once no majority has answered it for so many times the silence after which others look for one. */
const quorumSilences = 2;

/** How often whoever leads the list of members looks whether a newcomer has caught up. */
const memberStepMicroseconds = 150_000;

export class CoreKeeper {
  public readonly news = new Emittery<{ standing: Standing; broken: string }>();
  public readonly core: KeeperCore;
  public readonly duties: DutyVoter;
  public readonly metrics = new Metrics();
  private readonly registerMetrics = new RegisterMetrics(this.metrics);
  private readonly effects: Effects;
  private readonly ledger: Ledger;
  private readonly acceptor: Acceptor;
  private readonly entries: EntryTransfer;
  private readonly standing: StandingKeeper;
  private readonly ownerships: ReadonlyMap<DocumentKey, Ownership>;
  private readonly leaders: LeaderWatch;
  private readonly reader: QuorumReader;
  private readonly ages: WeightsAges;
  private readonly watch: MemberWatch;
  private readonly quorum: QuorumWatch;
  private readonly members: MemberChanges;
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private readonly notice: Log;
  private listener: Listener | undefined;
  private readonly startedMicroseconds: number;
  private readonly agentContacts: AgentContacts;
  private readonly changeRouter: ChangeRouter;
  private readonly waitingChanges = new WaitingChanges();
  private readonly recent = new RecentEntries();
  private readonly heartbeats: Heartbeats;
  private readonly vacancies: Vacancies;
  private readonly report: ReplicaReport;
  private readonly handler: MessageHandler;

  public constructor(
    given: Effects,
    disk: Disk,
    private readonly settings: KeeperSettings,
    givenDialect: Dialect = ownDialect,
  ) {
    const dialect = rememberingDialect(givenDialect);
    const { clock, random } = given;
    this.startedMicroseconds = clock.nowMicroseconds();
    const transport = new FleetTransport(given.transport, () => this.standing.fleet());
    this.effects = { ...given, transport };
    this.log = Logs.part(`keeper:${settings.name}`);
    this.notice = Logs.part(`keeper:${settings.name}:notice`);
    this.ledger = new Ledger(disk, clock, this.notice, settings.rewriteBytes);
    this.core = new KeeperCore(settings.name, this.ledger, clock);
    this.acceptor = new Acceptor(this.core);
    this.entries = new EntryTransfer(this.core, this.acceptor, transport, settings.askMicroseconds);
    this.duties = new DutyVoter(this.core, clock);
    this.ages = new WeightsAges(clock, dialect);
    this.watch = new MemberWatch(this.core, clock, settings.memberSilentMicroseconds);
    this.leaders = new LeaderWatch(clock, settings.ownerSilentMicroseconds);
    this.quorum = new QuorumWatch(
      this.core,
      clock,
      settings.ownerSilentMicroseconds * quorumSilences,
      LimitedLogs.of(this.notice, clock),
    );
    this.members = new MemberChanges(
      this.core,
      clock,
      transport,
      this.watch,
      {
        leadership: () => this.ownership('core-members'),
        words: () => this.report.words(),
        read: (key) => this.read(key),
        change: (order) => this.change(order),
      },
      settings,
    );
    this.standing = new StandingKeeper(
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
        foundingPatienceMicroseconds: settings.foundingPatienceMicroseconds,
      },
      this.notice,
      () => this.duties.waitOneLease(settings.leaseMicroseconds),
    );
    this.agentContacts = new AgentContacts(clock);
    this.changeRouter = new ChangeRouter(
      {
        leadership: (key) => this.ownership(key),
        leaderAddress: (key) => this.ownerAddress(key),
        ledMembers: () => this.standing.ledMembers(),
      },
      transport,
      clock,
      random,
      settings,
      this.waitingChanges,
    );
    this.reader = new QuorumReader(
      {
        fleet: () => this.standing.fleet(),
        members: () => this.membersToAsk(),
        ownAnswer: () => (this.core.votes() ? this.report.wordsAnswer() : undefined),
        heldText: (key, digest) => this.report.heldText(key, digest),
      },
      transport,
      clock,
      settings,
    );
    const ownershipSettings = {
      askMicroseconds: settings.askMicroseconds,
      changeMicroseconds: settings.changeMicroseconds,
      firstMembersText: () => this.firstMembersText(),
      dialect,
      learnMembers: (address: string) => this.entries.takeMembers(address),
      metrics: this.registerMetrics,
    };
    this.ownerships = new Map(
      DocumentKeys.map((key) => [
        key,
        new Ownership(
          key,
          this.core,
          this.acceptor,
          transport,
          clock,
          random,
          ownershipSettings,
          LimitedLogs.of(this.notice, clock),
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
        leaderships: this.ownerships,
        leaders: this.leaders,
        members: this.watch,
        quorum: this.quorum,
        entries: this.entries,
        waiting: this.waitingChanges,
        fetcher,
      },
      transport,
      settings,
    );
    this.report = new ReplicaReport({
      core: this.core,
      clock,
      leadership: (key) => this.ownership(key),
      leaders: this.leaders,
      heartbeats: this.heartbeats,
      quorum: this.quorum,
      ages: this.ages,
    });
    this.vacancies = new Vacancies({
      core: this.core,
      clock,
      random,
      leadership: (key) => this.ownership(key),
      leaders: this.leaders,
      heartbeats: this.heartbeats,
      ownerSilentMicroseconds: settings.ownerSilentMicroseconds,
    });
    this.handler = new MessageHandler(
      {
        core: this.core,
        acceptor: this.acceptor,
        agentContacts: this.agentContacts,
        changeRouter: this.changeRouter,
        duties: this.duties,
        entries: this.entries,
        heartbeats: this.heartbeats,
        leaders: this.leaders,
        leadership: (key) => this.ownership(key),
        members: this.members,
        recent: this.recent,
        report: this.report,
        standing: this.standing,
        waitingChanges: this.waitingChanges,
        watch: this.watch,
      },
      this.startedMicroseconds,
      this.metrics,
      LimitedLogs.of(this.notice, clock),
    );
    const failed = (error: unknown): void => this.log(`A step failed: ${Logs.text(error)}.`);
    this.tickers = [
      new Ticker(
        clock,
        () => (this.core.votes() ? 1_000_000 : this.standing.ledMembers().length > 0 ? 400_000 : 150_000),
        () => this.standingStep(),
        failed,
      ),
      new Ticker(
        clock,
        () => settings.heartbeatMicroseconds,
        () => this.beat(),
        failed,
      ),
      new Ticker(
        clock,
        () => memberStepMicroseconds,
        () => this.members.step(),
        failed,
      ),
      new Ticker(
        clock,
        () => 100_000 + Math.floor(random.fraction() * 100_000),
        () => this.vacancies.fill(),
        failed,
      ),
    ];
  }

  public async start(): Promise<
    Readonly<{ kind: 'started'; address: string }> | Exclude<LedgerOpened, Readonly<{ kind: 'opened' }>>
  > {
    const opened = await this.ledger.open();
    if (opened.kind !== 'opened') return opened;
    this.ledger.news.on('broken', (text) => void this.news.emit('broken', text));
    this.ledger.news.on('synced', (events) => {
      this.recent.written(events);
      for (const event of events) {
        if (event.kind === 'accepted' && event.key === 'blueprint') this.ages.accepted(event.entry);
        // Why here too: what came with the state of others was accepted by none of this node's own steps.
        if (event.kind === 'joined') this.restoreAges();
      }
    });
    this.restoreAges();
    if (opened.fresh && this.settings.isFirstStart)
      void this.ledger.write([{ kind: 'firstStarted', seeds: this.settings.seeds }]);
    if (!opened.fresh) this.duties.waitOneLease(this.settings.leaseMicroseconds);
    this.listener = await this.effects.transport.listen(
      this.settings.listenAddress || this.settings.member.address,
      async (message) => this.handler.handle(message),
    );
    for (const ticker of this.tickers) ticker.start();
    return { kind: 'started', address: this.listener.address };
  }

  private restoreAges(): void {
    const blueprint = KeeperStates.cell(this.core.state, 'blueprint').accepted;
    if (blueprint !== null) this.ages.restored(blueprint.entry);
  }

  public seedsAre(seeds: readonly string[]): void {
    this.standing.seedsAre(seeds);
  }

  /** A planned stop: says that it leaves, so that others need not find out before they take its keys over. */
  public async leave(): Promise<void> {
    await this.members.handOver(() => this.standingStep());
    for (const ticker of this.tickers) ticker.stop();
    const message = { kind: 'ownerLeaves', owner: this.settings.name };
    await Promise.all(
      this.core
        .others()
        .map(([, { address }]) => this.effects.transport.ask(address, message, this.settings.askMicroseconds)),
    );
    await this.stop();
  }

  public async stop(): Promise<void> {
    for (const ticker of this.tickers) ticker.stop();
    await this.listener?.close();
    await this.ledger.close();
  }

  /** The value of a key as of now, or that no majority answers within the limit. */
  public async read(key: DocumentKey, limitMicroseconds = this.settings.changeMicroseconds): Promise<ReadOutcome> {
    const beganMicroseconds = this.effects.clock.nowMicroseconds();
    const outcome = await this.reader.read(key, limitMicroseconds);
    this.registerMetrics.read(key, outcome.kind, this.effects.clock.nowMicroseconds() - beganMicroseconds);
    return outcome;
  }

  /** A change by whoever leads the key; the change id keeps one outcome, however often it is passed on. */
  public change(order: ChangeOrder): Promise<ChangeOutcome> {
    return this.changeRouter.change(order);
  }

  /** Agents that named this keeper as a seed not long ago. */
  public agents(): readonly unknown[] {
    return this.agentContacts.recent();
  }

  /** What an agent says of itself and the fleet. Undefined: this keeper does not know it, or it does not answer. */
  public async agentStatus(name: string): Promise<unknown> {
    const address = this.agentContacts.address(name);
    if (address === undefined) return undefined;
    const answer = await this.effects.transport.ask(address, { kind: 'status' }, this.settings.askMicroseconds);
    return answer.kind === 'answered' && answer.message.kind === 'status' ? answer.message['status'] : undefined;
  }

  public owners(): Readonly<Record<string, KeyLeader>> {
    return this.report.owners();
  }

  public replicaStatus(): ReplicaStatus {
    return this.report.replicaStatus();
  }

  public words(): readonly KeyWord[] {
    return this.report.words();
  }

  private membersToAsk(): readonly CoreMember[] {
    return this.core.votes() ? this.core.others().map(([, member]) => member) : this.standing.ledMembers();
  }

  private ownership(key: DocumentKey): Ownership {
    const ownership = this.ownerships.get(key);
    if (ownership === undefined) throw new Error(`no such key ${String(key)}`);
    return ownership;
  }

  private ownerAddress(key: DocumentKey): string | undefined {
    const leader = this.leaders.leader(key);
    return leader === undefined ? undefined : this.core.members().members[leader.leader]?.address;
  }

  private firstMembersText(): string {
    const members = this.core.state.firstMembers;
    return JSON.stringify({
      members: Object.fromEntries(Object.entries(members).sort(([left], [right]) => (left < right ? -1 : 1))),
    });
  }

  private async standingStep(): Promise<void> {
    const before = this.core.state.standing;
    await this.standing.step();
    if (Replaced.isOut(this.core)) await this.ledger.write([{ kind: 'replaced' }]);
    if (before !== this.core.state.standing) await this.news.emit('standing', this.core.state.standing);
  }

  private beat(): Promise<void> {
    this.heartbeats.send();
    return Promise.resolve();
  }
}
