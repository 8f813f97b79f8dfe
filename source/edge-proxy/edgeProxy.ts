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
  /** Where the agent of this machine listens, if there is one; other agents are found through the seeds and the news. */
  agentAddress: string;
  /** First contacts for a proxy that no agent feeds. */
  seeds: readonly string[];
  /** No address here ever belongs to another fleet, so one seed that answers is enough to find the fleet. */
  isOnlyFleet: boolean;
  /** `listed`: something outside the fleet keeps the list of engines, and its age makes nobody refuse. */
  engineList?: 'kept' | 'listed';
  freshMicroseconds: number;
  /** Beyond this age of the blueprint no order is refused for a key or path that it does not name. */
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
  /** When an order that engines had no room for should be asked again. */
  busySeconds: number;
  /** Whether a send that never reached its engine counts as none. */
  unsentIsFree: boolean;
  /** Whether answers still running on weights whose time is over are cut. */
  cutsOldWeights: boolean;
  /** An engine its steward has not seen for so long may be frozen, and what waits there under a setup that is gone is cut. */
  silentMicroseconds: number;
  /** After so long from being named no order goes to an engine on the weights before. */
  weightsCutMicroseconds: number;
  /** Places of an engine that are given away, its own waiting ones included, in per mille of its places. */
  roomPerMille: number;
  workPlacement: PlacementCostSettings;
  lanes: ReservedEngineSettings;
  /** How long an order waits for the desk's word before its proxy places it alone. */
  deskMicroseconds: number;
  moves: MoveSettings;
  /** When an engine is left out because its answers fail. */
  outliers: OutlierSettings;
  /** How long a part that was read counts as kept before the holder's events say so. */
  recentMicroseconds: number;
  /** How the fleet agrees which prefixes are most in demand, and what it does about them. */
  demand: DemandSettings;
}>;

/** Starting value, ours: when what the feeding agent knows of the core is older than this, another is asked beside it. */
const staleMicroseconds = 1_200_000;

/** Kinds of facts that a proxy has no use for: of other proxies' loads it is told the sums. */
const omittedKinds = ['load', 'steward'] as const;

/** An answer of an agent is taken up to so many times the limit after which the agent counts as silent. */
const lateFeedFactor = 3;

/** After a slow round the next one begins as much later as the round took, up to this. */
const mostBusyPauseMicroseconds = 400_000;

/** Starting value, ours: how much longer it may take until a proxy of a large fleet is fed again. */
const mostFeedPause = 3;

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
 * What may change while a proxy runs: what those who deploy the fleet promise. Why no more: addresses, names and places
 * are what others know this proxy by, and the rest is counted on from the start.
 */
const changeable = [
  'freshMicroseconds',
  'denialMicroseconds',
  'weightsCutMicroseconds',
  'retryPerMille',
  'retryFleetAllowance',
  'retryAllowanceMicroseconds',
  'seeds',
] as const satisfies readonly (keyof ProxySettings)[];

/** The protocols that a proxy speaks; its own where nothing is said. */
export type ProxyWords = Readonly<{ backEnds: BackEndWords; dialect: Dialect }>;

/** The callers' path: takes orders while it knows its setup to be current, places them, and sends each at most once. */
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
  private feedTookMicroseconds = 0;
  /** Agents whose answers are awaited. */
  private readonly openFeeds = new Set<string>();

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
    // Why a start of a thousand: these are ratios of what a move takes to what it should, in thousandths.
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
    const failed = (error: unknown): void => this.log(`A step failed: ${Logs.text(error)}.`);
    this.tickers = [
      new Ticker(
        clock,
        () => this.standstills.planned(this.feedPause()),
        () => this.feed(),
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

  /** Whether it can be of use to callers: it knows its setup, and an engine for each service that has mappings. */
  public ready(): boolean {
    const blueprint = this.freshness.blueprint;
    if (blueprint === undefined || !this.fence.isFresh()) return false;
    const services = new Set(Object.values(blueprint.mappings).map(({ service }) => service));
    return [...services].some((service) => this.view.candidates(service).length > 0);
  }

  /** The most daemons known to share the fleet with this one, itself included. */
  public daemons(): number {
    return this.view.others.everSeen();
  }

  /** Entries of the index of kept prompts that are known here. */
  public indexSize(): number {
    return this.shards.size;
  }

  /** What should be nothing once all orders are over. */
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

  /** Changed settings: what may change while it runs is in force from now on, the rest after a restart. */
  public settingsAre(given: ProxySettings): void {
    const change = SettingsChanges.of(this.settings, given, changeable);
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
   * News is taken in as it comes, from the agent that feeds this proxy. While that one is silent another is asked, under
   * the same rule: what it says has an age, and the fence is no wider. So the order of stops on a machine does not matter.
   */
  private async feed(): Promise<void> {
    this.standstills.began();
    this.own.sayLoad({
      engines: this.view.loads(),
      ...this.desk.loads(),
      work: this.view.work.sums(),
      mix: this.lanes.mixes(),
      ...this.view.outliers.telling(),
    });
    this.own.sayDemand(this.demand.telling().demand);
    const said = { proxy: this.settings.name, facts: this.own.own(), omits: omittedKinds };
    const isStale = this.freshness.ageMicroseconds() > staleMicroseconds;
    const seed = this.feeders.isLost ? this.seedContacts.next() : undefined;
    const asked = this.effects.clock.nowMicroseconds();
    await Promise.all([
      ...this.feeders.targets(isStale).map((address) => this.feedFrom(address, said)),
      ...(seed === undefined ? [] : [this.meet(seed)]),
    ]);
    const applied = this.freshness.revision('blueprint');
    this.feedTookMicroseconds = this.effects.clock.nowMicroseconds() - asked;
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
   * Why longer in a large fleet: each look takes in what all others said since, a proxy has a smaller part of the work
   * there, and what it is told of others has been on its way for longer than this.
   */
  private feedPause(): number {
    const usual = this.settings.feedMicroseconds * FleetPace.of(this.view.proxies(), mostFeedPause);
    return Math.max(usual, Math.min(this.feedTookMicroseconds, mostBusyPauseMicroseconds));
  }

  private async feedFrom(address: string, extra: Readonly<Record<string, unknown>>): Promise<void> {
    // An answer that is on its way says as much as one that would be asked for now, and comes sooner.
    if (this.openFeeds.has(address)) return;
    const { clock } = this.effects;
    const { feedAskMicroseconds } = this.settings;
    const asked = clock.nowMicroseconds();
    let isHeard = false;
    const learn = (message: Message): void => {
      isHeard = true;
      this.feedWatch.asked(address, true, clock.nowMicroseconds() - asked);
      this.feeders.heard(address);
      this.learn(address, message, asked);
    };
    const said = { ...extra, loads: this.receivedLoads.position(address) };
    this.openFeeds.add(address);
    // Why following: a proxy has no news of its own but its load, and asks many times a second.
    const exchanged = this.exchange
      .ask(address, feedAskMicroseconds, said, learn, 'following', feedAskMicroseconds * lateFeedFactor)
      .catch((error: unknown) => this.log(`The answer of the agent at ${address} cannot be read: ${Logs.text(error)}.`))
      .finally(() => this.openFeeds.delete(address));
    await Promise.race([exchanged, Clocks.wait(clock, feedAskMicroseconds)]);
    if (isHeard) return;
    this.feedWatch.asked(address, false, clock.nowMicroseconds() - asked);
    this.feeders.unheard(address);
  }

  private learn(address: string, message: Message, askedMicroseconds: number): void {
    const fleet = String(message['fleet'] ?? '');
    // Why from the own agent only: it stands on this machine, whatever became of other addresses.
    if (address === this.settings.agentAddress) this.fleet.learn(fleet);
    if (fleet === '' || fleet !== this.fleet.name) return;
    const ownLoad = (version: FactVersion): LoadFact | undefined => this.own.loadSaidAs(version);
    this.receivedLoads.take(address, message['loads'], ownLoad, askedMicroseconds);
  }

  /** A seed names the fleet, and agents that have asked it lately. */
  private async meet(seed: string): Promise<void> {
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
    const made = new RetryBudget(this.effects.clock, () => this.view.others.everSeen(), this.budgetSettings());
    this.budgets.set(service, made);
    return made;
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
