import type { BackEndControl } from '../shared/back-end/protocol';
import { nativeConfigurationFormat, type ConfigurationFormat } from '../shared/configuration/configurationFormat';
import type { NamedKey } from '../shared/directory/hashChain';
import { ShardCatalog } from '../shared/directory/shardCatalog';
import type { FillReport, FillGrantAnswer } from '../shared/directory/shardDirectory';
import { Clocks } from '../shared/effects/clock/clock';
import { SchedulerMessages } from '../shared/scheduler/schedulerMessages';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Effects } from '../shared/effects/effects';
import { FleetName } from '../shared/fleet/fleetName';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import type { Listener, Message } from '../shared/effects/transport/transport';
import { Freshness } from '../shared/freshness/freshness';
import { Logs, type Log } from '../shared/log/log';
import { StallMonitor } from '../shared/log/stallMonitor';
import { GossipStore } from '../shared/gossip/gossipStore';
import { GossipKeys } from '../shared/gossip/entryTypes';
import { GossipExchange } from '../shared/gossip/gossipExchange';
import { HolderHeartbeats } from '../shared/gossip/holderHeartbeats';
import { IntervalScaling } from '../shared/flow-control/intervalScaling';
import { SettingsChanges } from '../shared/settings/settingsChange';
import { ControlLink } from './control-link/controlLink';
import { EngineListDefaults, EngineListReader, type EngineListSettings } from './engine-list/engineListReader';
import type { EngineLister } from './engine-list/engineLister';
import { Membership } from './membership/membership';
import { RequestScheduler } from './scheduler/requestScheduler';
import { AgentStatusPages } from './pages/agentStatusPages';
import { AttachedProxies } from './proxies/attachedProxies';
import { LoadTotals } from './proxies/loadTotals';
import { LeaseHolder } from './leases/leaseHolder';
import { EventReaderDefaults } from './engine-control/eventReader';
import { LongPollControllerDefaults } from './engine-control/longPollEngineController';
import { LeaseManager } from './leases/leaseManager';

/** Settings of one agent. */
export type AgentSettings = Readonly<{
  name: string;
  zone: string;
  address: string;
  proxyAddress: string;
  pagesAddress: string;
  seeds: readonly string[];
  /** The fleet that the agent must belong to; empty: the one that its seeds agree on. */
  fleet: string;
  /** The address that the agent listens on, if others reach it by another one; empty: `address`. */
  listenAddress: string;
  readMicroseconds: number;
  readAskMicroseconds: number;
  /** State that other agents read from the control nodes within this time is not read again; 0: each agent reads itself. */
  sharedReadMicroseconds: number;
  /** No seed address is ever used by another fleet, so one seed that answers is enough to find the fleet. */
  isOnlyFleet: boolean;
  ownReadMicroseconds: number;
  newsMicroseconds: number;
  newsAskMicroseconds: number;
  /** The interval at which an agent probes the agents that it watches. */
  watchMicroseconds: number;
  /** One of this many gossip exchanges goes to an agent of any zone, the others stay in the agent's own zone. */
  farEvery: number;
  tendMicroseconds: number;
  tendAskMicroseconds: number;
  ballotMicroseconds: number;
  leaseMicroseconds: number;
  colleagues: number;
  watchers: number;
  goneMicroseconds: number;
  forgetMicroseconds: number;
  vacantAfterMicroseconds: number;
  rankMicroseconds: number;
  settleMicroseconds: number;
  giveBackMicroseconds: number;
  /** The interval of the heartbeats of a lease holder; 0: one with each lease request. */
  heartbeatMicroseconds: number;
  /** `kept`: operators maintain the list of engines in the control nodes. `listed`: it is read from an external service. */
  engineList: 'kept' | 'listed';
  /** Address of the external list service. */
  listAddress: string;
  /** How many calls per second the list service accepts from all agents together. */
  listCallsPerSecond: number;
  listMicroseconds: number;
  listAskMicroseconds: number;
  /** The largest lag of the external list. */
  listLagMicroseconds: number;
  /** After its lease began, an engine controller sends no directive for this time; long-poll engines only. */
  directiveWaitMicroseconds: number;
  /** Engines must run new weights within this time after the change was accepted; long-poll engines only. */
  weightsWithinMicroseconds: number;
  /** The interval of status requests to an engine without other events; long-poll engines only. */
  statusMicroseconds: number;
  /** The smallest cached prompt part that is announced to the fleet, where cache holders report sizes. */
  leastPart: number;
}>;

export const AgentDefaults = {
  fleet: '',
  listenAddress: '',
  readMicroseconds: 200_000,
  readAskMicroseconds: 300_000,
  sharedReadMicroseconds: 0,
  isOnlyFleet: false,
  ownReadMicroseconds: 1_000_000,
  newsMicroseconds: 120_000,
  newsAskMicroseconds: 400_000,
  watchMicroseconds: 480_000,
  farEvery: 1,
  tendMicroseconds: 150_000,
  tendAskMicroseconds: 1_000_000,
  ballotMicroseconds: 400_000,
  leaseMicroseconds: 2_500_000,
  colleagues: 4,
  watchers: 3,
  goneMicroseconds: 2_000_000,
  forgetMicroseconds: 120_000_000,
  vacantAfterMicroseconds: 1_500_000,
  rankMicroseconds: 250_000,
  settleMicroseconds: 1_200_000,
  giveBackMicroseconds: 10_000_000,
  heartbeatMicroseconds: 0,
  engineList: 'kept',
  listAddress: '',
  listCallsPerSecond: Infinity,
  listMicroseconds: 500_000,
  listAskMicroseconds: EngineListDefaults.askMicroseconds,
  listLagMicroseconds: EngineListDefaults.lagMicroseconds,
  directiveWaitMicroseconds: LongPollControllerDefaults.directiveWaitMicroseconds,
  weightsWithinMicroseconds: LongPollControllerDefaults.weightsWithinMicroseconds,
  statusMicroseconds: LongPollControllerDefaults.statusMicroseconds,
  leastPart: LongPollControllerDefaults.leastPart,
} as const;

/**
 * Settings that may change while an agent runs. The lease time and what depends on it are excluded because the next engine
 * controller relies on how long its predecessor holds the lease.
 */
const changeableSettings = [
  'seeds',
  'weightsWithinMicroseconds',
  'listAddress',
  'listCallsPerSecond',
  'listLagMicroseconds',
] as const satisfies readonly (keyof AgentSettings)[];

/** The largest factors by which these intervals are extended in a large fleet. */
const maxGossipFactor = 2.5;
const maxProbeFactor = 2;
const maxReadFactor = 1.75;
const maxLeaseRequestFactor = 2;

/** After a document or an engine's status changes here, gossip is as frequent as in a small fleet for this time. */
const urgentMicroseconds = 1_000_000;

/** A proxy without a request for this time is considered stopped. */
const proxyStoppedMicroseconds = 400_000;

/**
 * One agent: reads the control state, exchanges gossip with other agents, holds leases, and supplies the proxies of its own
 * machine and of machines without an agent.
 */
export class EdgeAgent {
  public readonly facts = new GossipStore();
  public readonly shards = new ShardCatalog();
  public readonly freshness: Freshness;
  public readonly pulses: HolderHeartbeats;
  public readonly controlLink: ControlLink;
  public readonly membership: Membership;
  public readonly leaseManager: LeaseManager;
  private readonly exchange: GossipExchange;
  private readonly leaseHolder: LeaseHolder;
  private readonly requestScheduler: RequestScheduler;
  private readonly proxies: AttachedProxies;
  private readonly loadTotals: LoadTotals;
  private readonly engineList: EngineListReader | undefined;
  private readonly notice = Logs.channel('agent:notice');
  private readonly standstills: StallMonitor;
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private readonly effects: Effects;
  private readonly fleet: FleetName;
  private listener: Listener | undefined;
  private exchangeCount = 0;
  private urgentRevisionMark = '';
  private urgentUntil = -Infinity;

  public constructor(
    given: Effects,
    backEnd: BackEndControl,
    private settings: AgentSettings,
    lister?: EngineLister,
    dialect: ConfigurationFormat = nativeConfigurationFormat,
  ) {
    const { clock, random } = given;
    this.fleet = new FleetName(settings.fleet);
    const effects = { ...given, transport: new FleetTransport(given.transport, () => this.fleet.name) };
    this.effects = effects;
    this.log = Logs.channel(`agent:${settings.name}`);
    this.standstills = new StallMonitor(clock, this.notice);
    this.freshness = new Freshness(clock, dialect, settings.engineList);
    this.pulses = new HolderHeartbeats(clock);
    this.controlLink = new ControlLink(
      effects,
      this.fleet,
      this.freshness,
      {
        seeds: settings.seeds,
        askMicroseconds: settings.readAskMicroseconds,
        sharedReadMicroseconds: () => settings.sharedReadMicroseconds * this.intervalFactor(maxReadFactor),
        ownReadMicroseconds: () => settings.ownReadMicroseconds * this.intervalFactor(maxReadFactor),
        readsEngines: settings.engineList === 'kept',
        isOnlyFleet: settings.isOnlyFleet,
      },
      () => this.facts.get(GossipKeys.member(settings.name)) ?? null,
    );
    const self = {
      name: settings.name,
      zone: settings.zone,
      address: settings.address,
      proxyAddress: settings.proxyAddress,
      pagesAddress: settings.pagesAddress,
      boot: random.name(),
    };
    this.requestScheduler = new RequestScheduler(clock);
    this.membership = new Membership(self, this.facts, clock, settings, this.log);
    this.loadTotals = new LoadTotals(this.facts, clock, random);
    this.proxies = new AttachedProxies(this.facts, clock, settings, (agent) => this.membership.isPresent(agent));
    this.exchange = new GossipExchange(
      {
        fleet: this.fleet,
        facts: this.facts,
        shards: this.shards,
        freshness: this.freshness,
        pulses: this.pulses,
      },
      effects,
    );
    this.leaseHolder = new LeaseHolder(
      settings.name,
      this.controlLink,
      effects,
      { leaseMicroseconds: settings.leaseMicroseconds, askMicroseconds: settings.readAskMicroseconds },
      this.notice,
    );
    this.leaseManager = new LeaseManager(
      settings.name,
      this.leaseHolder,
      this.membership,
      this.facts,
      this.shards,
      this.freshness,
      this.pulses,
      backEnd,
      effects,
      {
        ...settings,
        askMicroseconds: settings.tendAskMicroseconds,
        readsList: settings.engineList === 'listed',
        longPoll: {
          ...LongPollControllerDefaults,
          askMicroseconds: settings.tendAskMicroseconds,
          events: EventReaderDefaults,
          directiveWaitMicroseconds: settings.directiveWaitMicroseconds,
          weightsWithinMicroseconds: settings.weightsWithinMicroseconds,
          statusMicroseconds: settings.statusMicroseconds,
          leastPart: settings.leastPart,
          publishAheadMicroseconds: () =>
            LongPollControllerDefaults.publishAheadMicroseconds() * this.proxyIntervalFactor(maxGossipFactor),
        },
      },
      this.log,
    );
    this.engineList =
      lister === undefined || settings.engineList === 'kept'
        ? undefined
        : new EngineListReader(
            lister,
            this.freshness,
            () => this.leaseManager.listTerm(),
            clock,
            random,
            this.engineListSettings(),
            () => this.membership.present().length,
            this.notice,
          );
    const { engineList } = this;
    const onFailure = (error: unknown): void => this.log(`A periodic task failed: ${Logs.errorMessage(error)}.`);
    const tickers: readonly (readonly [() => number, () => Promise<void>])[] = [
      [() => this.standstills.scheduled(settings.readMicroseconds), () => this.read()],
      [() => this.gossipIntervalMicroseconds(), () => this.gossip()],
      [() => settings.watchMicroseconds * this.intervalFactor(maxProbeFactor), () => this.probeMembers()],
      [
        () => settings.ballotMicroseconds * this.intervalFactor(maxLeaseRequestFactor),
        () => this.leaseManager.renewLeases(),
      ],
      [() => settings.tendMicroseconds, () => this.leaseManager.reconcile()],
    ];
    // The interval is short while no list is known because requests wait for it; later only the age of the list is checked.
    const listInterval = (): number =>
      this.leaseManager.listTerm() === undefined && this.freshness.engines === undefined
        ? settings.tendMicroseconds
        : settings.listMicroseconds;
    this.tickers = [
      ...tickers.map(([interval, task]) => new Ticker(clock, interval, task, onFailure)),
      ...(engineList === undefined ? [] : [new Ticker(clock, listInterval, () => engineList.read(), onFailure)]),
    ];
  }

  /** Starts listening and the periodic tasks. Returns the address that the agent listens on. */
  public async start(): Promise<string> {
    this.listener = await this.effects.transport.listen(
      this.settings.listenAddress || this.settings.address,
      (message) => this.handle(message),
    );
    for (const ticker of this.tickers) ticker.start(Math.floor(this.effects.random.fraction() * 50_000));
    return this.listener.address;
  }

  /** Applies changed settings: those that may change while the agent runs at once, the others after a restart. */
  public updateSettings(given: AgentSettings): void {
    const change = SettingsChanges.apply(this.settings, given, changeableSettings);
    this.settings = change.settings;
    this.controlLink.setSeeds(this.settings.seeds);
    this.leaseManager.setWeightsLimit(this.settings.weightsWithinMicroseconds);
    this.engineList?.updateSettings(this.engineListSettings());
    const sentence = SettingsChanges.describe(change);
    if (sentence !== undefined) this.notice(sentence);
  }

  /** The first half of a planned stop: hands the leases over to other agents; proxies still get their updates. */
  public handOverLeases(): Promise<void> {
    return this.leaseManager.resign();
  }

  /** Resolves when the proxy of this machine has stopped requesting updates, at the latest after the limit. */
  public async waitForProxy(limitMicroseconds: number): Promise<void> {
    const { clock } = this.effects;
    const until = clock.nowMicroseconds() + limitMicroseconds;
    while (
      clock.nowMicroseconds() < until &&
      clock.nowMicroseconds() - this.proxies.lastRequestMicroseconds(this.settings.name) < proxyStoppedMicroseconds
    )
      await Clocks.wait(clock, proxyStoppedMicroseconds / 4);
  }

  /** A planned stop: announces that the agent leaves, so that the others need not detect it. */
  public async leave(): Promise<void> {
    await this.leaseManager.resign();
    this.membership.leave();
    await Promise.all(
      this.membership.gossipPeers().map(({ address }) => this.exchange.ask(address, this.settings.newsAskMicroseconds)),
    );
    await this.stop();
  }

  public async stop(): Promise<void> {
    for (const ticker of this.tickers) ticker.stop();
    await this.listener?.close();
  }

  private engineListSettings(): EngineListSettings {
    const { listAddress, listCallsPerSecond, listAskMicroseconds, listLagMicroseconds } = this.settings;
    return {
      ...EngineListDefaults,
      address: listAddress,
      callsPerSecond: listCallsPerSecond,
      askMicroseconds: listAskMicroseconds,
      lagMicroseconds: listLagMicroseconds,
    };
  }

  private read(): Promise<void> {
    this.standstills.started();
    return this.controlLink.read();
  }

  private async gossip(): Promise<void> {
    this.membership.refuteSuspicion();
    this.membership.tick();
    this.requestScheduler.retainEngines(Object.keys(this.freshness.engines?.engines ?? {}));
    const colleagues = this.membership.gossipPeers();
    // A seed is asked until another agent is known, and once in 25 exchanges after that, so that two partitions find each
    // other again.
    const asksSeed = colleagues.length === 0 || this.exchangeCount % 25 === 24;
    const otherSeeds = this.settings.seeds.filter((seed) => seed !== this.settings.address);
    const farEvery = this.farEvery();
    const isAnyZone = this.exchangeCount % farEvery === 0;
    const zonePeers = isAnyZone ? [] : this.membership.zonePeers();
    const peers = zonePeers.length > 0 ? zonePeers : colleagues;
    const address = asksSeed
      ? otherSeeds[Math.floor(this.exchangeCount / 25 + this.exchangeCount) % Math.max(1, otherSeeds.length)]
      : peers[Math.floor(this.exchangeCount / (isAnyZone ? farEvery : 1)) % peers.length]?.address;
    this.exchangeCount += 1;
    // A seed gets this agent's own entry in full: a control node asked as a seed stores no versions, and tells the agents
    // that ask it about each other.
    const extra = asksSeed ? { own: this.facts.get(GossipKeys.member(this.settings.name)) ?? null } : {};
    if (address !== undefined) await this.exchange.ask(address, this.settings.newsAskMicroseconds, extra);
  }

  /** How much longer an interval is in a fleet of this size, at most `max`. */
  private intervalFactor(max: number): number {
    return IntervalScaling.of(this.membership.present().length, max);
  }

  /**
   * As `intervalFactor`, for information that proxies need: there are more proxies than agents, and each asks less often
   * the more of them there are.
   */
  private proxyIntervalFactor(max: number): number {
    return Math.max(this.intervalFactor(max), IntervalScaling.of(this.facts.countOf('load'), max));
  }

  /**
   * The time until the next gossip exchange. It is shorter after a change because documents and the status of engines must
   * reach every process within a bound that does not grow with the fleet; loads and heartbeats, which change all the time,
   * may be later.
   */
  private gossipIntervalMicroseconds(): number {
    const { newsMicroseconds } = this.settings;
    const now = this.effects.clock.nowMicroseconds();
    const revisions = (['blueprint', 'engines', 'core-members'] as const).map((key) => this.freshness.revision(key));
    const revisionMark = [...revisions, this.facts.changesOf('engine')].join('/');
    if (revisionMark !== this.urgentRevisionMark) this.urgentUntil = now + urgentMicroseconds;
    this.urgentRevisionMark = revisionMark;
    return now < this.urgentUntil ? newsMicroseconds : newsMicroseconds * this.intervalFactor(maxGossipFactor);
  }

  /**
   * One of this many gossip exchanges goes to an agent of any zone. Such exchanges are rare because links between zones
   * have high latency and are billed, and one exchange transfers what the whole other zone knows. The number grows with the
   * agents of the zone, so that a zone as a whole contacts other zones about equally often at any size.
   */
  private farEvery(): number {
    const { farEvery } = this.settings;
    return farEvery === 1
      ? 1
      : Math.max(farEvery, Math.ceil(this.membership.zoneSize() / 2 / this.intervalFactor(maxGossipFactor)));
  }

  /** Probes the agents that this one watches; an agent is suspected only after probes by other agents failed too. */
  private async probeMembers(): Promise<void> {
    this.proxies.updatePresence();
    await Promise.all(
      this.membership.probeTargets().map(async ({ name, address }) => {
        const answer = await this.effects.transport.ask(address, { kind: 'ping' }, this.settings.newsAskMicroseconds);
        if (answer.kind === 'answered') return this.membership.recordAnswer(name);
        if (!this.membership.recordFailedProbe(name)) return;
        const proberAgents = this.membership
          .gossipPeers()
          .filter((helper) => helper.name !== name)
          .slice(0, 2);
        const probes = await Promise.all(
          proberAgents.map((helper) =>
            this.effects.transport.ask(
              helper.address,
              { kind: 'probe', address },
              this.settings.newsAskMicroseconds * 2,
            ),
          ),
        );
        if (probes.some((item) => item.kind === 'answered' && item.message['reached'] === true))
          this.membership.recordAnswer(name);
        else this.membership.suspect(name);
      }),
    );
  }

  private async handle(message: Message): Promise<Message> {
    switch (message.kind) {
      case 'news':
        return this.answerGossip(message);
      case 'newsMore':
        return this.exchange.answerPush(message);
      case 'bodyPart':
        return this.exchange.part(message);
      case 'words':
        // An agent that is asked as a seed only tells which fleet it belongs to; it has no statements of a control node.
        return { kind: 'noVote' };
      case 'ping':
        return { kind: 'pong' };
      case 'status':
        // Control nodes show the status of agents that have no pages of their own.
        return { kind: 'status', status: AgentStatusPages.status(this.settings.name, this) };
      case 'probe': {
        const answer = await this.effects.transport.ask(
          String(message['address']),
          { kind: 'ping' },
          this.settings.newsAskMicroseconds,
        );
        return { kind: 'probed', reached: answer.kind === 'answered' };
      }
      case 'reserve': {
        // Only the lease holder schedules requests: two schedulers would not know of each other's reservations.
        const order = message['order'];
        return this.leaseManager.listTerm() === undefined || !SchedulerMessages.isRequest(order)
          ? { kind: 'noDesk' }
          : { kind: 'reserved', word: this.requestScheduler.reserve(order) };
      }
      case 'awaitRead':
        // Without the lease nobody reports completed prefills here, so the wait would be in vain.
        if (this.leaseManager.listTerm() !== undefined) await this.requestScheduler.read(String(message['prefix']));
        return { kind: 'heard' };
      case 'readDone':
        this.requestScheduler.done(String(message['engine']), String(message['order']), message['good'] === true);
        return { kind: 'heard' };
      case 'grant':
        return { kind: 'grantAnswer', answer: await this.grant(message) };
      case 'notes': {
        const missed = await this.deliverNotes(message['notes'] as readonly FillReport[], message['passed'] === true);
        return { kind: 'heard', missed };
      }
      default:
        throw new Error(`unknown message ${message.kind}`);
    }
  }

  private answerGossip(message: Message): Message {
    const { proxy, facts, loads } = message;
    if (typeof proxy !== 'string') return this.exchange.answer(message);
    this.proxies.recordRequest(proxy, facts);
    const answer = this.exchange.answer(message);
    return loads === undefined ? answer : { ...answer, loads: this.loadTotals.update(proxy, loads) };
  }

  private async grant(message: Message): Promise<FillGrantAnswer> {
    const engine = String(message['engine']);
    const controller = this.leaseManager.controller(engine);
    if (controller !== undefined)
      return controller.grant(
        String(message['fill']),
        Number(message['epoch']),
        message['keys'] as readonly NamedKey[],
      );
    const holder = this.leaseManager.holderOf(engine);
    // A message is forwarded only once, so that two agents that each take the other for the controller do not loop.
    if (message['passed'] === true || holder === undefined || holder.holder === this.settings.name)
      return { kind: 'refused', reason: 'notSteward' };
    const address = this.membership.member(holder.holder)?.address;
    if (address === undefined) return { kind: 'refused', reason: 'notSteward' };
    const answer = await this.effects.transport.ask(
      address,
      { ...message, passed: true },
      this.settings.newsAskMicroseconds,
    );
    return answer.kind === 'answered' && answer.message.kind === 'grantAnswer'
      ? (answer.message['answer'] as FillGrantAnswer)
      : { kind: 'refused', reason: 'notSteward' };
  }

  /** Delivers notes to the controllers of their engines. Returns the indexes of those that reached none. */
  private async deliverNotes(notes: readonly FillReport[], passed: boolean): Promise<readonly number[]> {
    const remote = new Map<string, number[]>();
    const missed: number[] = [];
    for (const [index, note] of notes.entries()) {
      const controller = this.leaseManager.controller(note.holder);
      if (controller !== undefined) {
        controller.recordNote(note);
        continue;
      }
      const address = this.membership.member(this.leaseManager.holderOf(note.holder)?.holder ?? '')?.address;
      if (passed || address === undefined || address === this.settings.address) missed.push(index);
      else remote.set(address, [...(remote.get(address) ?? []), index]);
    }
    await Promise.all(
      [...remote].map(async ([address, indexes]) => {
        const message = { kind: 'notes', notes: indexes.flatMap((position) => notes[position] ?? []), passed: true };
        const answer = await this.effects.transport.ask(address, message, this.settings.newsAskMicroseconds);
        const isDelivered = answer.kind === 'answered' && answer.message.kind === 'heard';
        const undelivered = isDelivered
          ? ((answer.message['missed'] as readonly number[] | undefined) ?? [])
          : indexes.keys();
        for (const position of undelivered) missed.push(indexes[position] ?? -1);
      }),
    );
    return missed;
  }
}
