import { nativeCodec } from '../shared/back-end/nativeCodec';
import type { BackEndSender } from '../shared/back-end/protocol';
import type { BackEndCodec } from '../shared/back-end/backEndCodec';
import { nativeConfigurationFormat, type ConfigurationFormat } from '../shared/configuration/configurationFormat';
import { Pools } from '../shared/configuration/pools';
import type { NamedKey } from '../shared/directory/hashChain';
import { ShardCatalog } from '../shared/directory/shardCatalog';
import type { FillGrantAnswer } from '../shared/directory/shardDirectory';
import { Clocks } from '../shared/effects/clock/clock';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Effects } from '../shared/effects/effects';
import type { Message } from '../shared/effects/transport/transport';
import { FleetName } from '../shared/fleet/fleetName';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import { Freshness } from '../shared/freshness/freshness';
import { Logs, type Log } from '../shared/log/log';
import { StallMonitor } from '../shared/log/stallMonitor';
import { Metrics } from '../shared/metrics/metrics';
import { SettingsChanges } from '../shared/settings/settingsChange';
import { GossipStore, type EntryVersion } from '../shared/gossip/gossipStore';
import type { LoadEntry } from '../shared/gossip/entryTypes';
import { GossipExchange } from '../shared/gossip/gossipExchange';
import { HolderHeartbeats } from '../shared/gossip/holderHeartbeats';
import { IntervalScaling } from '../shared/flow-control/intervalScaling';
import type { Refusal } from '../shared/verdict/verdict';
import { WeightsDeadlines } from '../shared/weights/weightsDeadlines';
import { DemandSettings, DemandView } from './demand/demandView';
import { SubscriptionMonitor } from './agent-subscription/subscriptionMonitor';
import { AgentSelector } from './agent-subscription/agentSelector';
import { NoteSender } from './agent-subscription/noteSender';
import { ProxyFacts } from './agent-subscription/proxyFacts';
import { ReceivedLoads } from './agent-subscription/receivedLoads';
import { SeedSelector } from './agent-subscription/seedSelector';
import { StalenessGuard } from './identification/stalenessGuard';
import { IdentificationPolicies, RequestIdentifier } from './identification/requestIdentifier';
import { FetchPlanner } from './cache-imports/fetchPlanner';
import { LinkSpeeds } from './cache-imports/linkSpeeds';
import { PartImportSettings, PartImports } from './cache-imports/partImports';
import { PartsPlanner } from './cache-imports/partsPlanner';
import { AdmissionQueue } from './admission/admissionQueue';
import { AdmissionPolicies } from './admission/admissionPolicies';
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
import { RetryBudget, type RetryBudgetSettings } from './attempts/retryBudget';
import { SendPolicy } from './attempts/sendPolicy';
import type { RequestCutoffs } from './shutdown/gracefulStops';
import { StartCutoff } from './shutdown/startCutoff';

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
  schedulerMicroseconds: number;
  partImports: PartImportSettings;
  /** When an engine is ejected because its responses fail. */
  outliers: OutlierSettings;
  /** How long a prefilled part counts as cached before the events of its holder confirm it. */
  recentMicroseconds: number;
  /** How the demand for shared prefixes is counted, published and used. */
  demand: DemandSettings;
}>;

/** Numbers of accepted requests that wait for a place, and that have been passed to an engine. */
export type UnfinishedRequests = Readonly<{ queued: number; atEngines: number }>;

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
  weightsCutMicroseconds: WeightsDeadlines.cutMicroseconds,
  roomPerMille: 1000,
  workPlacement: PlacementCostSettings.usual,
  lanes: ReservedEngineSettings.usual,
  schedulerMicroseconds: 60_000,
  partImports: PartImportSettings.usual,
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
export type ProxyProtocols = Readonly<{ backEnds: BackEndCodec; dialect: ConfigurationFormat }>;

/** The data plane: accepts requests while its configuration is known to be current, places them, and sends each at most once. */
export class EdgeProxy {
  public readonly freshness: Freshness;
  public readonly metrics = new Metrics();
  public readonly identifier: RequestIdentifier;
  private readonly effects: Effects;
  private readonly fleet = new FleetName();
  private readonly facts = new GossipStore();
  private readonly shards = new ShardCatalog();
  private readonly stalenessGuard: StalenessGuard;
  private readonly heartbeats: HolderHeartbeats;
  private readonly view: EngineView;
  private readonly demand: DemandView;
  private readonly startCutoff: StartCutoff;
  private readonly queue: AdmissionQueue;
  private readonly sends: SendPolicy;
  private readonly pipeline: Pipeline;
  private readonly exchange: GossipExchange;
  private readonly reservedEngines: ReservedEngines;
  private readonly speeds: LinkSpeeds;
  private readonly readSpeeds: PrefillSpeeds;
  private readonly agentSelector: AgentSelector;
  private readonly subscriptionMonitor: SubscriptionMonitor;
  private readonly standstills: StallMonitor;
  private readonly seedContacts: SeedSelector;
  private readonly ownFacts: ProxyFacts;
  private readonly receivedLoads: ReceivedLoads;
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private readonly notice = Logs.channel('proxy:notice');
  private readonly notes: NoteSender;
  private updateTookMicroseconds = 0;
  /** Addresses of the agents whose answers are awaited. */
  private readonly pendingAgents = new Set<string>();

  public constructor(
    effects: Effects,
    sender: BackEndSender,
    private settings: ProxySettings,
    { backEnds, dialect }: ProxyProtocols = { backEnds: nativeCodec, dialect: nativeConfigurationFormat },
  ) {
    const { clock, random } = effects;
    this.effects = { ...effects, transport: new FleetTransport(effects.transport, () => this.fleet.name) };
    this.log = Logs.channel(`proxy:${settings.name}`);
    this.freshness = new Freshness(clock, dialect, settings.engineList);
    this.heartbeats = new HolderHeartbeats(clock);
    this.stalenessGuard = new StalenessGuard(
      this.freshness,
      clock,
      settings.freshMicroseconds,
      settings.weightsCutMicroseconds,
      settings.denialMicroseconds,
    );
    this.identifier = new RequestIdentifier(this.stalenessGuard, settings.retryAfterSeconds);
    this.receivedLoads = new ReceivedLoads(settings.name);
    this.view = new EngineView(
      settings.name,
      this.freshness,
      this.facts,
      this.stalenessGuard,
      clock,
      new EngineWork(clock, settings),
      settings.roomPerMille,
      new OutlierDetector(settings.name, clock, settings.outliers, Logs.channel(`proxy:${settings.name}:outliers`)),
      () => this.receivedLoads.others,
    );
    this.startCutoff = new StartCutoff(clock);
    this.demand = new DemandView(this.facts, clock, settings.demand);
    const readSpeeds = new PrefillSpeeds();
    // The initial value is 1000 because these are ratios of the measured import time to the expected one, in per mille.
    const moves = new PartImports(this.view, new LinkSpeeds(1000, 4096), settings.partImports);
    this.readSpeeds = readSpeeds;
    this.reservedEngines = new ReservedEngines(clock, settings.lanes);
    const schedulerClient = new SchedulerClient(
      this.effects.transport,
      clock,
      () => this.view.others.listHolder()?.address,
      settings.schedulerMicroseconds,
      this.metrics,
      Logs.channel('desk'),
    );
    this.speeds = new LinkSpeeds(settings.importMicrosecondsPerBlock, 4096);
    this.subscriptionMonitor = new SubscriptionMonitor(clock, this.metrics, this.notice);
    this.standstills = new StallMonitor(clock, this.notice);
    this.exchange = new GossipExchange(
      {
        fleet: this.fleet,
        facts: this.facts,
        shards: this.shards,
        freshness: this.freshness,
        pulses: this.heartbeats,
      },
      this.effects,
      (document) => this.subscriptionMonitor.recordDocument(document),
    );
    this.agentSelector = new AgentSelector(settings, clock, () => this.view.others.agents());
    this.seedContacts = new SeedSelector(clock, this.fleet, settings);
    this.ownFacts = new ProxyFacts(
      settings.name,
      this.facts,
      clock,
      () => this.view.proxies(),
      () => this.agentSelector.agent,
    );
    this.notes = new NoteSender(clock, this.effects.transport, () => this.agentSelector.address, settings);
    this.queue = new AdmissionQueue(
      clock,
      this.view,
      () => this.freshness.blueprint?.classes ?? {},
      (service, className) => `${service}/${className}`,
      this.metrics,
      this.startCutoff,
    );
    const planner = new FetchPlanner(
      this.view,
      this.shards,
      this.heartbeats,
      this.speeds,
      { grant: (engine, fill, epoch, keys) => this.grant(engine, fill, epoch, keys) },
      { ...settings, margin: settings.importMargin },
      this.metrics,
      new PartsPlanner(this.view, this.shards, moves, readSpeeds, this.metrics, this.demand),
    );
    this.sends = new SendPolicy({
      sender,
      backEndFormat: backEnds,
      importDurations: moves,
      prefillSpeeds: readSpeeds,
      scheduler: schedulerClient,
      cutsResponsesOnOldWeights: settings.cutsOldWeights,
      silentMicroseconds: settings.silentMicroseconds,
      urgencyOf: ({ resolved }) => this.freshness.blueprint?.classes[resolved?.mapping.class ?? '']?.rank,
      busyRetryAfterSeconds: settings.busySeconds,
      unreachedAttemptsAreFree: settings.unsentIsFree,
      fence: this.stalenessGuard,
      identifier: this.identifier,
      view: this.view,
      speeds: this.speeds,
      clock,
      metrics: this.metrics,
      log: this.log,
      prefillLog: Logs.isOn('reads') ? Logs.channel('reads') : undefined,
      budgetOf: (service) => this.budgetOf(service),
      remainingQueueMicroseconds: ({ request, resolved }) =>
        this.queue.remainingQueueMicroseconds(resolved?.mapping.class ?? '', {
          arrivedMicroseconds: request.arrivedMicroseconds,
          limitMicroseconds: RequestLimits.of(request, resolved?.mapping),
        }),
      publishNotes: (notes) => this.notes.send(notes),
      maxAttempts: settings.mostSends,
      isPlanValid: (fetch) => planner.isStillValid(fetch),
      seenAgeMicroseconds: (engine) => this.heartbeats.ageMicroseconds(engine),
      startsAreOver: () => this.startCutoff.isPassed(),
    });
    const traceLog = Logs.isOn('requests') ? Logs.channel('requests') : undefined;
    this.pipeline = new Pipeline(
      [
        IdentificationPolicies.identifyTenant(this.identifier),
        IdentificationPolicies.resolveMapping(this.identifier),
        AdmissionPolicies.take(this.queue, this.identifier, (service) => this.budgetOf(service)),
        PlacementPolicies.computeKeys((prefix) => this.demand.countRequest(prefix)),
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
            this.reservedEngines,
            schedulerClient,
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
    const failed = (error: unknown): void => this.log(`A periodic task failed: ${Logs.errorMessage(error)}.`);
    this.tickers = [
      new Ticker(
        clock,
        () => this.standstills.scheduled(this.updateInterval()),
        () => this.update(),
        failed,
      ),
      new Ticker(
        clock,
        () => 1_000_000,
        () => Promise.resolve(this.speeds.decay()),
        failed,
      ),
    ];
    this.metrics.addGauges(() => [
      ['postdrum_running_sends', {}, this.sends.count],
      ['postdrum_held_orders', {}, this.queue.queuedCount()],
      ['postdrum_wanted_prefixes', {}, this.demand.ranking().length],
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
    return this.stalenessGuard.isFresh();
  }

  /** Whether the proxy can serve clients: its configuration is current, and each service with mappings has a usable engine. */
  public isReady(): boolean {
    const blueprint = this.freshness.blueprint;
    if (blueprint === undefined || !this.stalenessGuard.isFresh()) return false;
    const routed = new Set(Object.values(blueprint.mappings).map(({ service }) => service));
    return Object.keys(blueprint.services)
      .filter((name) => routed.has(Pools.engineServiceOf(blueprint.services, name)))
      .some((name) => this.view.candidates(name).length > 0);
  }

  /** The largest number of daemons known to have belonged to the fleet recently, this one included. */
  public knownDaemons(): number {
    return this.view.others.everSeen();
  }

  /** Number of known entries of the cache directory. */
  public indexSize(): number {
    return this.shards.size;
  }

  /** Requests that have been accepted and are not answered yet. */
  public unfinishedRequests(): UnfinishedRequests {
    return { queued: this.queue.queuedCount(), atEngines: this.sends.count };
  }

  /** Counters that must be zero once all requests have ended. */
  public remainingWork(): Readonly<Record<string, number>> {
    return {
      'running sends': this.sends.count,
      'held orders': this.queue.queuedCount(),
      'places taken': this.queue.runningCount(),
      'sends counted at engines': Object.keys(this.view.loads()).length,
      'unsent notes': this.notes.pendingCount,
    };
  }

  public start(): void {
    for (const ticker of this.tickers) ticker.start();
  }

  public stop(): void {
    for (const ticker of this.tickers) ticker.stop();
    this.notes.stop();
  }

  /**
   * Ends all requests before the process ends, so that each gets an answer: after the first limit those that wait are refused,
   * after the second those that are still at engines are abandoned. Both count from now.
   */
  public endRequestsWithin({ startMicroseconds, finishMicroseconds }: RequestCutoffs): void {
    const { clock } = this.effects;
    this.startCutoff.set(clock.nowMicroseconds() + startMicroseconds);
    clock.after(startMicroseconds, () => {
      const refused = this.queue.refuseQueued();
      if (refused > 0) this.notice(`The shutdown leaves no time for ${refused} queued requests; they are refused.`);
    });
    clock.after(finishMicroseconds, () => {
      const abandoned = this.sends.close();
      if (abandoned > 0) this.notice(`The shutdown ends; ${abandoned} requests at engines are abandoned.`);
    });
  }

  /** Applies changed settings: those that may change at runtime take effect at once, the rest after a restart. */
  public applySettings(changed: ProxySettings): void {
    const change = SettingsChanges.apply(this.settings, changed, reloadable);
    this.settings = change.settings;
    this.stalenessGuard.setBounds(
      this.settings.freshMicroseconds,
      this.settings.weightsCutMicroseconds,
      this.settings.denialMicroseconds,
    );
    for (const budget of this.budgets.values()) budget.setSettings(this.budgetSettings());
    this.seedContacts.setSeeds(this.settings.seeds);
    const sentence = SettingsChanges.describe(change);
    if (sentence !== undefined) this.notice(sentence);
  }

  public async handle(request: ProxyRequest, answer: ResponseSink): Promise<void> {
    this.metrics.count('postdrum_orders_total');
    const refusal: Refusal | undefined = await this.pipeline.run({
      request: request,
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
    this.standstills.started();
    this.ownFacts.publishLoad({
      engines: this.view.loads(),
      ...this.queue.loads(),
      work: this.view.work.sums(),
      mix: this.reservedEngines.mixes(),
      ...this.view.outliers.reportToPublish(),
    });
    this.ownFacts.publishDemand(this.demand.countsToPublish().demand);
    const subscription = { proxy: this.settings.name, facts: this.ownFacts.ownFacts(), omits: omittedKinds };
    const isStale = this.freshness.ageMicroseconds() > staleMicroseconds;
    const seed = this.agentSelector.needsSeed ? this.seedContacts.next() : undefined;
    const asked = this.effects.clock.nowMicroseconds();
    await Promise.all([
      ...this.agentSelector.targets(isStale).map((address) => this.updateFrom(address, subscription)),
      ...(seed === undefined ? [] : [this.askSeed(seed)]),
    ]);
    const applied = this.freshness.revision('blueprint');
    this.updateTookMicroseconds = this.effects.clock.nowMicroseconds() - asked;
    this.subscriptionMonitor.checkAge(this.freshness.ageMicroseconds(), applied);
    this.subscriptionMonitor.checkRevision(
      applied,
      this.freshness.wanted().find(({ key }) => key === 'blueprint')?.revision,
    );
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
    this.queue.revalidateQueued();
    this.queue.startAllWaiting();
  }

  /**
   * The interval between two rounds. It is longer in a large fleet because each round receives what all others published since, a
   * proxy has a smaller share of the requests there, and information about other proxies takes longer than this to arrive anyway.
   */
  private updateInterval(): number {
    const usual = this.settings.feedMicroseconds * IntervalScaling.of(this.view.proxies(), maxIntervalFactor);
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
      this.subscriptionMonitor.recordRequest(address, true, clock.nowMicroseconds() - asked);
      this.agentSelector.recordAnswer(address);
      this.learn(address, message, asked);
    };
    const request = { ...extra, loads: this.receivedLoads.position(address) };
    this.pendingAgents.add(address);
    // The proxy only follows the agent: its own facts are few, and it asks many times a second.
    const exchanged = this.exchange
      .ask(address, feedAskMicroseconds, request, learn, 'following', feedAskMicroseconds * lateAnswerFactor)
      .catch((error: unknown) =>
        this.log(`The answer of the agent at ${address} cannot be read: ${Logs.errorMessage(error)}.`),
      )
      .finally(() => this.pendingAgents.delete(address));
    await Promise.race([exchanged, Clocks.wait(clock, feedAskMicroseconds)]);
    if (isAnswered) return;
    this.subscriptionMonitor.recordRequest(address, false, clock.nowMicroseconds() - asked);
    this.agentSelector.recordFailure(address);
  }

  private learn(address: string, message: Message, askedMicroseconds: number): void {
    const fleet = String(message['fleet'] ?? '');
    // The fleet is learned only from the local agent: other addresses may belong to another fleet by now.
    if (address === this.settings.agentAddress) this.fleet.learn(fleet);
    if (fleet === '' || fleet !== this.fleet.name) return;
    const ownLoad = (version: EntryVersion): LoadEntry | undefined => this.ownFacts.publishedLoad(version);
    this.receivedLoads.applyUpdate(address, message['loads'], ownLoad, askedMicroseconds);
  }

  /** Asks a seed, which answers with the name of the fleet and the agents that have contacted it recently. */
  private async askSeed(seed: string): Promise<void> {
    const learn = (message: Message): void => this.seedContacts.recordAnswer(seed, String(message['fleet'] ?? ''));
    await this.exchange.ask(seed, this.settings.feedAskMicroseconds, {}, learn, 'following');
  }

  private async grant(
    engine: string,
    fill: string,
    epoch: number,
    keys: readonly NamedKey[],
  ): Promise<FillGrantAnswer> {
    const answer = await this.effects.transport.ask(
      this.agentSelector.address,
      { kind: 'grant', engine, fill, epoch, keys },
      this.settings.grantMicroseconds,
    );
    return answer.kind === 'answered' && answer.message.kind === 'grantAnswer'
      ? (answer.message['answer'] as FillGrantAnswer)
      : { kind: 'refused', reason: 'notSteward' };
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const created = new RetryBudget(this.effects.clock, () => this.view.others.everSeen(), this.budgetSettings());
    this.budgets.set(service, created);
    return created;
  }

  private budgetSettings(): RetryBudgetSettings {
    const { retryPerMille, retryFleetAllowance, retryAllowanceMicroseconds, retryLeastDaemons } = this.settings;
    return {
      perMille: retryPerMille,
      fleetAllowance: retryFleetAllowance,
      allowanceIntervalMicroseconds: retryAllowanceMicroseconds,
      minProxies: retryLeastDaemons,
    };
  }
}
