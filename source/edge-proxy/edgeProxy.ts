import { ownWords } from '../shared/back-end/ownWords';
import type { BackEndSender } from '../shared/back-end/protocol';
import type { BackEndWords } from '../shared/back-end/words';
import { ownDialect, type Dialect } from '../shared/blueprint/dialect';
import type { NamedKey } from '../shared/directory/hashChain';
import { ShardBook } from '../shared/directory/shardBook';
import type { GrantAnswer } from '../shared/directory/shardDirectory';
import { Clocks } from '../shared/effects/clock/clock';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Effects } from '../shared/effects/effects';
import type { Message } from '../shared/effects/transport/transport';
import { FleetName } from '../shared/fleet/fleetName';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import { Freshness } from '../shared/freshness/freshness';
import { Logs, type Log } from '../shared/log/log';
import { StandstillWatch } from '../shared/log/standstillWatch';
import { Metrics } from '../shared/metrics/metrics';
import { SettingsChanges } from '../shared/settings/settingsChange';
import { FactBook, type FactVersion } from '../shared/news/facts';
import type { LoadFact } from '../shared/news/factTypes';
import { NewsExchange } from '../shared/news/newsExchange';
import { Pulses } from '../shared/news/pulses';
import { FleetPace } from '../shared/pace/fleetPace';
import type { Refusal } from '../shared/verdict/verdict';
import { WeightsClocks } from '../shared/weights/weightsClocks';
import { DemandSettings, DemandView } from './demand/demandView';
import { FeedWatch } from './feeding/feedWatch';
import { Feeders } from './feeding/feeders';
import { NotePost } from './feeding/notePost';
import { ProxyFacts } from './feeding/proxyFacts';
import { ReceivedLoads } from './feeding/receivedLoads';
import { SeedContacts } from './feeding/seedContacts';
import { StalenessGuard } from './identification/stalenessGuard';
import { IdentificationPolicies, RequestIdentifier } from './identification/requestIdentifier';
import { FetchPlanner } from './fetch/fetchPlanner';
import { LinkSpeeds } from './fetch/linkSpeeds';
import { MoveSettings, PartMoves } from './fetch/partMoves';
import { PartsPlanner } from './fetch/partsPlanner';
import { TakeDesk } from './holding/takeDesk';
import { TakePolicies } from './holding/takePolicy';
import { OutlierDetector } from './outliers/outlierDetector';
import { OutlierSettings } from './outliers/outlierSettings';
import type { ResponseSink, ProxyRequest } from './pipeline/request';
import { RequestTrace } from './pipeline/requestTrace';
import { RequestLimits } from './pipeline/requestLimits';
import { Pipeline } from './pipeline/pipeline';
import { PlacementCostSettings } from './placement/placementCosts';
import { EngineView } from './placement/engineView';
import { EngineWork } from './placement/engineWork';
import { PlacementPolicies } from './placement/placementPolicies';
import { SchedulerClient } from './placement/schedulerClient';
import { ReservedEngines, ReservedEngineSettings } from './placement/reservedEngines';
import { placementNamed, type PlacementName } from './placement/placements';
import { PrefillSpeeds } from './placement/prefillSpeeds';
import { CostPlacer } from './placement/costPlacer';
import { RetryBudget, type BudgetSettings } from './sends/retryBudget';
import { SendPolicy } from './sends/sendPolicy';

export type ProxySettings = Readonly<{
  name: string;
  /** Address of the agent on this machine, if there is one; other agents are found through the seeds and gossip. */
  agentAddress: string;
  /** Addresses that a proxy asks while no agent answers it. */
  seeds: readonly string[];
  /** No address in this network ever belongs to another fleet, so the answer of one seed is enough to find the fleet. */
  isOnlyFleet: boolean;
  /** `listed`: a system outside the fleet maintains the list of engines, and no request is refused because of its age. */
  engineList?: 'kept' | 'listed';
  freshMicroseconds: number;
  /** If the blueprint is older than this, no request is refused for a key or path that it does not contain. */
  denialMicroseconds: number;
  feedMicroseconds: number;
  feedAskMicroseconds: number;
  notesMicroseconds: number;
  grantMicroseconds: number;
  placement: PlacementName;
  imports: boolean;
  prefillMicrosecondsPerBlock: number;
  importFixedMicroseconds: number;
  importMicrosecondsPerBlock: number;
  importMargin: number;
  retryAllowanceMicroseconds: number;
  retryLeastDaemons: number;
  retryPerMille: number;
  retryFleetAllowance: number;
  mostSends: number;
  retryAfterSeconds: number;
  zone: string;
  /** Retry-after time of a request that was refused because the engines are full. */
  busySeconds: number;
  /** Whether a send that never reached its engine is not counted as a send. */
  unsentIsFree: boolean;
  /** Whether responses that still run on expired weights are cut off. */
  cutsOldWeights: boolean;
  /**
   * An engine that its engine controller has not reached for so long may be frozen, and requests that wait there under an outdated
   * configuration are cut off.
   */
  silentMicroseconds: number;
  /** Time after the naming of new weights from which no request is sent to an engine with the previous ones. */
  weightsCutMicroseconds: number;
  /** Requests admitted to an engine, including those in its own queue, in per mille of its capacity. */
  roomPerMille: number;
  workPlacement: PlacementCostSettings;
  lanes: ReservedEngineSettings;
  /** How long a request waits for the answer of the scheduler before its proxy places it alone. */
  deskMicroseconds: number;
  moves: MoveSettings;
  /** When an engine is ejected because its responses fail. */
  outliers: OutlierSettings;
  /** How long a prefilled part counts as cached before the events of its holder confirm it. */
  recentMicroseconds: number;
  /** How the demand for shared prefixes is counted, published and used. */
  demand: DemandSettings;
}>;

/** If the knowledge of the selected agent about the control state is older than this, another agent is asked as well. */
const staleMicroseconds = 1_200_000;

/** Kinds of facts that a proxy does not need: it receives the loads of other proxies as sums. */
const omittedKinds = ['load', 'steward'] as const;

/** An answer of an agent is still accepted up to this multiple of the limit after which the agent counts as silent. */
const lateAnswerFactor = 3;

/** After a slow round the next one starts later by the duration of that round, up to this limit. */
const maxBusyPauseMicroseconds = 400_000;

/** Largest factor by which the interval between two rounds grows in a large fleet. */
const maxIntervalFactor = 3;

export const ProxyDefaults = {
  seeds: [],
  isOnlyFleet: false,
  freshMicroseconds: 1_500_000,
  denialMicroseconds: Infinity,
  feedMicroseconds: 60_000,
  feedAskMicroseconds: 500_000,
  notesMicroseconds: 15_000,
  grantMicroseconds: 250_000,
  placement: 'prefix',
  imports: true,
  prefillMicrosecondsPerBlock: 10_000,
  importFixedMicroseconds: 3000,
  importMicrosecondsPerBlock: 1500,
  importMargin: 1.5,
  retryAllowanceMicroseconds: 10_000_000,
  retryLeastDaemons: 9,
  retryPerMille: 200,
  retryFleetAllowance: 18,
  mostSends: 4,
  retryAfterSeconds: 2,
  zone: '',
  busySeconds: 1,
  unsentIsFree: false,
  cutsOldWeights: true,
  silentMicroseconds: 900_000,
  weightsCutMicroseconds: WeightsClocks.cutMicroseconds,
  roomPerMille: 1000,
  workPlacement: PlacementCostSettings.usual,
  lanes: ReservedEngineSettings.usual,
  deskMicroseconds: 60_000,
  moves: MoveSettings.usual,
  outliers: OutlierSettings.usual,
  recentMicroseconds: 3_000_000,
  demand: DemandSettings.usual,
} as const;

/**
 * Settings that may change while a proxy runs: those that follow from the bounds that operators promise. Others may not, because
 * addresses, names and zones are what other processes know this proxy by, and the rest is read only at the start.
 */
const reloadable = [
  'freshMicroseconds',
  'denialMicroseconds',
  'weightsCutMicroseconds',
  'retryPerMille',
  'retryFleetAllowance',
  'retryAllowanceMicroseconds',
  'seeds',
] as const satisfies readonly (keyof ProxySettings)[];

/** The protocols of a proxy; the native ones by default. */
export type ProxyWords = Readonly<{ backEnds: BackEndWords; dialect: Dialect }>;

/** The data plane: accepts requests while its configuration is known to be current, places them, and sends each at most once. */
export class EdgeProxy {
  public readonly freshness: Freshness;
  public readonly metrics = new Metrics();
  public readonly identifier: RequestIdentifier;
  private readonly effects: Effects;
  private readonly fleet = new FleetName();
  private readonly facts = new FactBook();
  private readonly shards = new ShardBook();
  private readonly fence: StalenessGuard;
  private readonly pulses: Pulses;
  private readonly view: EngineView;
  private readonly demand: DemandView;
  private readonly desk: TakeDesk;
  private readonly sends: SendPolicy;
  private readonly pipeline: Pipeline;
  private readonly exchange: NewsExchange;
  private readonly lanes: ReservedEngines;
  private readonly speeds: LinkSpeeds;
  private readonly readSpeeds: PrefillSpeeds;
  private readonly feeders: Feeders;
  private readonly feedWatch: FeedWatch;
  private readonly standstills: StandstillWatch;
  private readonly seedContacts: SeedContacts;
  private readonly own: ProxyFacts;
  private readonly receivedLoads: ReceivedLoads;
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private readonly notice = Logs.part('proxy:notice');
  private readonly notes: NotePost;
  private updateTookMicroseconds = 0;
  /** Addresses of the agents whose answers are awaited. */
  private readonly pendingAgents = new Set<string>();

  public constructor(
    effects: Effects,
    sender: BackEndSender,
    private settings: ProxySettings,
    { backEnds, dialect }: ProxyWords = { backEnds: ownWords, dialect: ownDialect },
  ) {
    const { clock, random } = effects;
    this.effects = { ...effects, transport: new FleetTransport(effects.transport, () => this.fleet.name) };
    this.log = Logs.part(`proxy:${settings.name}`);
    this.freshness = new Freshness(clock, dialect, settings.engineList);
    this.pulses = new Pulses(clock);
    this.fence = new StalenessGuard(
      this.freshness,
      clock,
      settings.freshMicroseconds,
      settings.weightsCutMicroseconds,
      settings.denialMicroseconds,
    );
    this.identifier = new RequestIdentifier(this.fence, settings.retryAfterSeconds);
    this.receivedLoads = new ReceivedLoads(settings.name);
    this.view = new EngineView(
      settings.name,
      this.freshness,
      this.facts,
      this.fence,
      clock,
      new EngineWork(clock, settings),
      settings.roomPerMille,
      new OutlierDetector(settings.name, clock, settings.outliers, Logs.part(`proxy:${settings.name}:outliers`)),
      () => this.receivedLoads.others,
    );
    this.demand = new DemandView(this.facts, clock, settings.demand);
    const readSpeeds = new PrefillSpeeds();
    // The initial value is 1000 because these are ratios of the measured import time to the expected one, in per mille.
    const moves = new PartMoves(this.view, new LinkSpeeds(1000, 4096), settings.moves);
    this.readSpeeds = readSpeeds;
    this.lanes = new ReservedEngines(clock, settings.lanes);
    const desk = new SchedulerClient(
      this.effects.transport,
      clock,
      () => this.view.others.listHolder()?.address,
      settings.deskMicroseconds,
      this.metrics,
      Logs.part('desk'),
    );
    this.speeds = new LinkSpeeds(settings.importMicrosecondsPerBlock, 4096);
    this.feedWatch = new FeedWatch(clock, this.metrics, this.notice);
    this.standstills = new StandstillWatch(clock, this.notice);
    this.exchange = new NewsExchange(
      {
        fleet: this.fleet,
        facts: this.facts,
        shards: this.shards,
        freshness: this.freshness,
        pulses: this.pulses,
      },
      this.effects,
      (document) => this.feedWatch.received(document),
    );
    this.feeders = new Feeders(settings, clock, () => this.view.others.agents());
    this.seedContacts = new SeedContacts(clock, this.fleet, settings);
    this.own = new ProxyFacts(
      settings.name,
      this.facts,
      clock,
      () => this.view.proxies(),
      () => this.feeders.agent,
    );
    this.notes = new NotePost(clock, this.effects.transport, () => this.feeders.address, settings);
    this.desk = new TakeDesk(
      clock,
      this.view,
      () => this.freshness.blueprint?.classes ?? {},
      (service, className) => `${service}/${className}`,
      this.metrics,
    );
    const planner = new FetchPlanner(
      this.view,
      this.shards,
      this.pulses,
      this.speeds,
      { grant: (engine, fill, epoch, keys) => this.grant(engine, fill, epoch, keys) },
      { ...settings, margin: settings.importMargin },
      this.metrics,
      new PartsPlanner(this.view, this.shards, moves, readSpeeds, this.metrics, this.demand),
    );
    this.sends = new SendPolicy({
      sender,
      words: backEnds,
      moves,
      readSpeeds,
      desk,
      cutsOldWeights: settings.cutsOldWeights,
      silentMicroseconds: settings.silentMicroseconds,
      urgencyOf: ({ resolved }) => this.freshness.blueprint?.classes[resolved?.mapping.class ?? '']?.rank,
      busySeconds: settings.busySeconds,
      unsentIsFree: settings.unsentIsFree,
      fence: this.fence,
      identifier: this.identifier,
      view: this.view,
      speeds: this.speeds,
      clock,
      metrics: this.metrics,
      log: this.log,
      logRead: Logs.isOn('reads') ? Logs.part('reads') : undefined,
      budgetOf: (service) => this.budgetOf(service),
      holdingLeft: ({ order, resolved }) =>
        this.desk.holdingLeft(resolved?.mapping.class ?? '', {
          arrivedMicroseconds: order.arrivedMicroseconds,
          limitMicroseconds: RequestLimits.of(order, resolved?.mapping),
        }),
      tell: (notes) => this.notes.tell(notes),
      mostSends: settings.mostSends,
      stillGood: (fetch) => planner.stillGood(fetch),
      seenAgeMicroseconds: (engine) => this.pulses.ageMicroseconds(engine),
    });
    const traceLog = Logs.isOn('requests') ? Logs.part('requests') : undefined;
    this.pipeline = new Pipeline(
      [
        IdentificationPolicies.identifyTenant(this.identifier),
        IdentificationPolicies.resolveMapping(this.identifier),
        TakePolicies.take(this.desk, this.identifier, (service) => this.budgetOf(service)),
        PlacementPolicies.computeKeys((prefix) => this.demand.saw(prefix)),
        PlacementPolicies.place({
          view: this.view,
          shards: this.shards,
          placement: placementNamed(settings.placement),
          random,
          metrics: this.metrics,
          byWork: new CostPlacer(
            this.view,
            moves,
            readSpeeds,
            random,
            settings.zone,
            this.lanes,
            desk,
            settings.workPlacement,
            this.demand,
            this.metrics,
            sender.hasIdle,
          ),
        }),
        planner.policy(),
        this.sends,
      ],
      { resolve: 'resolveMapping', queue: 'take', placeAgain: 'place' },
      this.log,
      (start) => (traceLog === undefined ? undefined : new RequestTrace(clock, traceLog, start)),
    );
    const failed = (error: unknown): void => this.log(`A periodic task failed: ${Logs.text(error)}.`);
    this.tickers = [
      new Ticker(
        clock,
        () => this.standstills.planned(this.updateInterval()),
        () => this.update(),
        failed,
      ),
      new Ticker(
        clock,
        () => 1_000_000,
        () => Promise.resolve(this.speeds.fade()),
        failed,
      ),
    ];
    this.metrics.watch(() => [
      ['postdrum_running_sends', {}, this.sends.count],
      ['postdrum_held_orders', {}, this.desk.heldCount()],
      ['postdrum_wanted_prefixes', {}, this.demand.wanted().length],
      ...this.view.outliers
        .countsByState()
        .map(([state, count]) => ['postdrum_outlier_engines', { state }, count] as const),
      ...(Number.isFinite(this.freshness.ageMicroseconds())
        ? [['postdrum_freshness_age_microseconds', {}, this.freshness.ageMicroseconds()] as const]
        : []),
      ['postdrum_key_revision', { key: 'blueprint' }, this.freshness.revision('blueprint')],
      ...this.shards
        .all()
        .map((shard) => ['postdrum_directory_blocks', { holder: shard.present.holder }, shard.size] as const),
    ]);
  }

  public fresh(): boolean {
    return this.fence.isFresh();
  }

  /** Whether the proxy can serve clients: its configuration is current, and each service with mappings has a usable engine. */
  public ready(): boolean {
    const blueprint = this.freshness.blueprint;
    if (blueprint === undefined || !this.fence.isFresh()) return false;
    const services = new Set(Object.values(blueprint.mappings).map(({ service }) => service));
    return [...services].some((service) => this.view.candidates(service).length > 0);
  }

  /** The largest number of daemons known to have belonged to the fleet recently, this one included. */
  public daemons(): number {
    return this.view.others.everSeen();
  }

  /** Number of known entries of the cache directory. */
  public indexSize(): number {
    return this.shards.size;
  }

  /** Counters that must be zero once all requests have ended. */
  public remains(): Readonly<Record<string, number>> {
    return {
      'running sends': this.sends.count,
      'held orders': this.desk.heldCount(),
      'places taken': this.desk.runningCount(),
      'sends counted at engines': Object.keys(this.view.loads()).length,
      'unsent notes': this.notes.waiting,
    };
  }

  public start(): void {
    for (const ticker of this.tickers) ticker.start();
  }

  public stop(): void {
    for (const ticker of this.tickers) ticker.stop();
    this.notes.stop();
  }

  /** Applies changed settings: those that may change at runtime take effect at once, the rest after a restart. */
  public settingsAre(changed: ProxySettings): void {
    const change = SettingsChanges.of(this.settings, changed, reloadable);
    this.settings = change.settings;
    this.fence.setBounds(
      this.settings.freshMicroseconds,
      this.settings.weightsCutMicroseconds,
      this.settings.denialMicroseconds,
    );
    for (const budget of this.budgets.values()) budget.settingsAre(this.budgetSettings());
    this.seedContacts.seedsAre(this.settings.seeds);
    const sentence = SettingsChanges.sentence(change);
    if (sentence !== undefined) this.notice(sentence);
  }

  public async handle(order: ProxyRequest, answer: ResponseSink): Promise<void> {
    this.metrics.count('postdrum_orders_total');
    const refusal: Refusal | undefined = await this.pipeline.run({
      order,
      answer,
      sends: 0,
      rounds: 0,
      keepsQueuePosition: false,
      owesRetryBudget: false,
      mayHaveRun: false,
      avoidedEngines: [],
    });
    if (refusal !== undefined)
      this.metrics.count('postdrum_refusals_total', { code: refusal.code, verdict: refusal.verdict });
  }

  /**
   * Runs one round of gossip with the selected agent. While that one does not answer, another is asked under the same rules: its
   * information has an age, and the staleness guard has the same limits. So an agent and its proxy may be stopped in any order.
   */
  private async update(): Promise<void> {
    this.standstills.began();
    this.own.sayLoad({
      engines: this.view.loads(),
      ...this.desk.loads(),
      work: this.view.work.sums(),
      mix: this.lanes.mixes(),
      ...this.view.outliers.telling(),
    });
    this.own.sayDemand(this.demand.telling().demand);
    const subscription = { proxy: this.settings.name, facts: this.own.own(), omits: omittedKinds };
    const isStale = this.freshness.ageMicroseconds() > staleMicroseconds;
    const seed = this.feeders.isLost ? this.seedContacts.next() : undefined;
    const asked = this.effects.clock.nowMicroseconds();
    await Promise.all([
      ...this.feeders.targets(isStale).map((address) => this.updateFrom(address, subscription)),
      ...(seed === undefined ? [] : [this.askSeed(seed)]),
    ]);
    const applied = this.freshness.revision('blueprint');
    this.updateTookMicroseconds = this.effects.clock.nowMicroseconds() - asked;
    this.feedWatch.looked(this.freshness.ageMicroseconds(), applied);
    this.feedWatch.applies(applied, this.freshness.wanted().find(({ key }) => key === 'blueprint')?.revision);
    const listed = this.freshness.engines?.engines;
    if (listed !== undefined) {
      const holders = [...Object.keys(listed), ...Object.keys(this.freshness.blueprint?.stores ?? {})];
      this.shards.keepOnly(holders);
      this.view.work.keepOnly(holders);
      this.readSpeeds.keepOnly(holders);
      this.view.outliers.keepOnly(holders);
    }
    this.view.detectOutliers();
    this.sends.recheck();
    this.desk.recheck();
    this.desk.serveAll();
  }

  /**
   * The interval between two rounds. It is longer in a large fleet because each round receives what all others published since, a
   * proxy has a smaller share of the requests there, and information about other proxies takes longer than this to arrive anyway.
   */
  private updateInterval(): number {
    const usual = this.settings.feedMicroseconds * FleetPace.of(this.view.proxies(), maxIntervalFactor);
    return Math.max(usual, Math.min(this.updateTookMicroseconds, maxBusyPauseMicroseconds));
  }

  private async updateFrom(address: string, extra: Readonly<Record<string, unknown>>): Promise<void> {
    // A pending answer is as good as the answer to a new request, and arrives sooner.
    if (this.pendingAgents.has(address)) return;
    const { clock } = this.effects;
    const { feedAskMicroseconds } = this.settings;
    const asked = clock.nowMicroseconds();
    let isAnswered = false;
    const learn = (message: Message): void => {
      isAnswered = true;
      this.feedWatch.asked(address, true, clock.nowMicroseconds() - asked);
      this.feeders.heard(address);
      this.learn(address, message, asked);
    };
    const request = { ...extra, loads: this.receivedLoads.position(address) };
    this.pendingAgents.add(address);
    // The proxy only follows the agent: its own facts are few, and it asks many times a second.
    const exchanged = this.exchange
      .ask(address, feedAskMicroseconds, request, learn, 'following', feedAskMicroseconds * lateAnswerFactor)
      .catch((error: unknown) => this.log(`The answer of the agent at ${address} cannot be read: ${Logs.text(error)}.`))
      .finally(() => this.pendingAgents.delete(address));
    await Promise.race([exchanged, Clocks.wait(clock, feedAskMicroseconds)]);
    if (isAnswered) return;
    this.feedWatch.asked(address, false, clock.nowMicroseconds() - asked);
    this.feeders.unheard(address);
  }

  private learn(address: string, message: Message, askedMicroseconds: number): void {
    const fleet = String(message['fleet'] ?? '');
    // The fleet is learned only from the local agent: other addresses may belong to another fleet by now.
    if (address === this.settings.agentAddress) this.fleet.learn(fleet);
    if (fleet === '' || fleet !== this.fleet.name) return;
    const ownLoad = (version: FactVersion): LoadFact | undefined => this.own.loadSaidAs(version);
    this.receivedLoads.take(address, message['loads'], ownLoad, askedMicroseconds);
  }

  /** Asks a seed, which answers with the name of the fleet and the agents that have contacted it recently. */
  private async askSeed(seed: string): Promise<void> {
    const learn = (message: Message): void => this.seedContacts.heard(seed, String(message['fleet'] ?? ''));
    await this.exchange.ask(seed, this.settings.feedAskMicroseconds, {}, learn, 'following');
  }

  private async grant(engine: string, fill: string, epoch: number, keys: readonly NamedKey[]): Promise<GrantAnswer> {
    const answer = await this.effects.transport.ask(
      this.feeders.address,
      { kind: 'grant', engine, fill, epoch, keys },
      this.settings.grantMicroseconds,
    );
    return answer.kind === 'answered' && answer.message.kind === 'grantAnswer'
      ? (answer.message['answer'] as GrantAnswer)
      : { kind: 'refused', reason: 'notSteward' };
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const created = new RetryBudget(this.effects.clock, () => this.view.others.everSeen(), this.budgetSettings());
    this.budgets.set(service, created);
    return created;
  }

  private budgetSettings(): BudgetSettings {
    const { retryPerMille, retryFleetAllowance, retryAllowanceMicroseconds, retryLeastDaemons } = this.settings;
    return {
      perMille: retryPerMille,
      fleetAllowance: retryFleetAllowance,
      allowanceMicroseconds: retryAllowanceMicroseconds,
      leastDaemons: retryLeastDaemons,
    };
  }
}
