import { Pools } from '../../shared/configuration/pools';
import type { Configuration, Engine, EngineList, SharedStore as StoreShape } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { EngineEntries, GossipKeys, type EngineEntry, type LoadEntry } from '../../shared/gossip/entryTypes';
import { WeightsRollout } from '../../shared/weights/weightsRollout';
import type { StalenessGuard } from '../identification/stalenessGuard';
import type { OtherProxiesSum } from '../agent-subscription/receivedLoads';
import { OutlierDetector, type OutlierStatus } from '../outliers/outlierDetector';
import { OutlierSettings } from '../outliers/outlierSettings';
import { EngineRefusals } from './engineRefusals';
import type { EngineWork, WorkSum } from './engineWork';
import { OtherProxies, type OtherLoads } from './otherProxies';
import { OwnSends } from './ownSends';

/** An engine that may be chosen for a request. */
export type Candidate = Readonly<{
  name: string;
  address: string;
  bootEpoch: string;
  weights: string;
  capacity: number;
  /** Requests in flight there, of all proxies as far as known. */
  inFlight: number;
  zone: string;
  /** Work there, of all proxies as far as known. */
  work: WorkSum;
  /** Missing: healthy. `suspected`: other engines are preferred. `probation`: it gets one request at a time, as a probe. */
  standing?: OutlierStatus;
  /** It still has the previous weights and will be given the new ones soon; it then refuses requests that it has not started. */
  changesSoon?: boolean;
}>;

/** A cache store that answers. */
export type Store = Readonly<{ name: string; address: string; bootEpoch: string }>;

/** Requests that an app back end is assumed to run at once; apps report no capacity. */
const appCapacity = 64;

/** How long cached results that depend on the time are used if nothing else changes. */
const cacheMicroseconds = 1_000;

/** An engine that could accept work, with the properties that do not change with each request. */
type UsableEngine = Readonly<{
  name: string;
  address: string;
  bootEpoch: string;
  weights: string;
  capacity: number;
  zone: string;
  changesSoon?: boolean;
}>;
type UsableEngines = Readonly<{
  at: number;
  mark: string;
  list: EngineList | undefined;
  blueprint: Configuration | undefined;
  /** Whether the result does not depend on the time. */
  isTimeIndependent: boolean;
  engines: readonly UsableEngine[];
  /** Number of requests that may be in flight on all of them together. */
  sendLimit: number;
}>;
type CachedCandidates = Readonly<{
  at: number;
  mark: string;
  of: UsableEngines;
  others: OtherLoads;
  candidates: readonly Candidate[];
}>;

/** What this proxy knows of the back ends, from the platform's list, the monitoring agents' reports and the loads of all proxies. */
export class EngineView {
  public readonly others: OtherProxies;
  private readonly own: OwnSends;
  private readonly refusals: EngineRefusals;
  private readonly candidateCache = new Map<string, CachedCandidates>();
  private readonly usableCache = new Map<string, UsableEngines>();
  private readonly weightOrders = new Map<string, Readonly<{ of: string; engines: readonly string[] }>>();
  private ownChangeCount = 0;
  private index: Readonly<{ of: EngineList; services: ReadonlyMap<string, ListedEngines> }> | undefined;

  public constructor(
    private readonly self: string,
    private readonly freshness: Freshness,
    private readonly facts: GossipStore,
    private readonly fence: StalenessGuard,
    private readonly clock: Clock,
    public readonly work: EngineWork,
    private readonly sendLimitPerMille = 1000,
    public readonly outliers = new OutlierDetector(self, clock, OutlierSettings.usual),
    received: () => OtherProxiesSum | undefined = () => undefined,
  ) {
    this.others = new OtherProxies(self, facts, received);
    this.own = new OwnSends(clock);
    this.refusals = new EngineRefusals(
      clock,
      (engine) => this.versionOf(engine),
      (engine) => this.own.at(engine),
    );
  }

  /** Records the start of a send. */
  public recordSendStart(engine: string): void {
    this.ownChangeCount += 1;
    this.own.recordStart(engine);
  }

  /** Number of sends started so recently that no other proxy can know of them; equally recent ones of others are unknown here. */
  public recentSends(engine: string): number {
    return this.own.recentCount(engine);
  }

  /** Records the end of a send. */
  public ended(engine: string): void {
    this.ownChangeCount += 1;
    this.own.ended(engine);
  }

  /** Number of this proxy's sends in flight at an engine. */
  public ownInFlight(engine: string): number {
    return this.own.at(engine);
  }

  /** Records that an engine refused a send because it is full. */
  public markFull(engine: string): void {
    this.ownChangeCount += 1;
    this.refusals.markFull(engine);
  }

  /** Records that nothing, or another engine, answers at its address. */
  public markAbsent(engine: string): void {
    this.ownChangeCount += 1;
    this.refusals.markAbsent(engine);
  }

  /** Number of this proxy's sends in flight, by engine. */
  public loads(): Readonly<Record<string, number>> {
    return this.own.counts();
  }

  /** The loads of the other proxies. */
  public otherLoads(): readonly LoadEntry[] {
    return this.others.current().loads;
  }

  /** Number of proxies that seem to be running, including this one. */
  public proxies(): number {
    return this.others.count();
  }

  /** The engines of a service that new requests may be sent to. */
  public candidates(service: string): readonly Candidate[] {
    return this.cachedCandidates(service).candidates;
  }

  /** Whether a request placed on this instance of the engine may still be sent there, even if it was ejected as an outlier since. */
  public isUsable(
    service: string,
    { name, bootEpoch, weights }: Pick<UsableEngine, 'name' | 'bootEpoch' | 'weights'>,
  ): boolean {
    return this.usableEngines(service).engines.some(
      (engine) => engine.name === name && engine.bootEpoch === bootEpoch && engine.weights === weights,
    );
  }

  /** Detects outliers by the outcomes of requests, here and at other proxies; called when gossip arrives. */
  public detectOutliers(): void {
    this.refusals.dropExpired();
    const others = this.others.current();
    this.outliers.evaluate(others.loads, () => {
      const daemons = [this.self, ...others.names];
      return [...this.servicesListed().values()].map((listed) => ({ names: listed.map(([name]) => name), daemons }));
    });
  }

  private cachedCandidates(service: string): CachedCandidates {
    const now = this.clock.nowMicroseconds();
    const of = this.usableEngines(service);
    const others = this.others.current();
    const mark = `${this.ownChangeCount}/${this.work.changes}/${this.outliers.changes}`;
    const known = this.candidateCache.get(service);
    // If an engine has reported that it is full, the result is cached for a moment only, because the report expires.
    const isCurrent = !this.refusals.hasFull || now - (known?.at ?? 0) < cacheMicroseconds;
    if (known !== undefined && isCurrent && known.of === of && known.others === others && known.mark === mark)
      return known;
    const able = of.engines.map((engine): Candidate => ({
      ...engine,
      inFlight: this.inFlightAt(engine),
      work: this.workAt(engine.name),
    }));
    const created: CachedCandidates = { at: now, mark, of, others, candidates: this.withoutOutliers(able) };
    this.candidateCache.set(service, created);
    return created;
  }

  private inFlightAt({ name, capacity }: UsableEngine): number {
    const counted = this.ownInFlight(name) + this.others.at(name).sends;
    return this.refusals.isFull(name) ? Math.max(counted, capacity) : counted;
  }

  private workAt(name: string): WorkSum {
    const own = this.work.of(name);
    const elsewhere = this.others.at(name);
    return {
      pendingPrefillTokens: own.pendingPrefillTokens + elsewhere.work.pendingPrefillTokens,
      tokens: own.tokens + elsewhere.work.tokens,
    };
  }

  /** Cached apart from the load counts: these change with each request, but the usable engines hardly ever. */
  private usableEngines(service: string): UsableEngines {
    const now = this.clock.nowMicroseconds();
    const { engines: list, blueprint } = this.freshness;
    const mark = `${this.facts.changesOf('engine')}/${this.outliers.changes}`;
    const known = this.usableCache.get(service);
    if (
      known !== undefined &&
      ((known.isTimeIndependent && !this.refusals.hasAbsent) || now - known.at < cacheMicroseconds) &&
      known.mark === mark &&
      known.list === list &&
      known.blueprint === blueprint
    )
      return known;
    const pool = blueprint?.services[service];
    const model = pool?.kind === 'pool' ? pool.model : '';
    let isTimeIndependent = true;
    let hasPreviousWeights = false;
    const found = this.listed(service).flatMap(([name, engine]): readonly UsableEngine[] => {
      const { address, zone } = engine;
      if (engine.kind === 'app') return [{ name, address, bootEpoch: '', weights: '', capacity: appCapacity, zone }];
      const fact = this.factOf(service, name, engine);
      if (fact === undefined || fact.changing || fact.address !== address) return [];
      // An engine that its monitoring agent cannot reach may still answer requests: only the link to its control interface may be down.
      if (fact.reachable) this.outliers.recordReachable(name);
      else isTimeIndependent = false;
      if (fact.reachable ? !fact.accepting : !this.outliers.answersThoughUnreachable(name, this.versionOf(name)))
        return [];
      const weights = EngineEntries.weightsOf(fact, model);
      const permission = this.fence.weights(service, weights);
      if (permission !== 'intended') isTimeIndependent = false;
      if (permission === 'untilChanged') hasPreviousWeights = true;
      if (permission === 'forbidden' || this.refusals.isAbsent(name)) return [];
      const { bootEpoch, capacity } = fact;
      return [{ name, address, bootEpoch, weights, capacity, zone }];
    });
    const soon = hasPreviousWeights ? this.changingSoon(service) : undefined;
    const engines = soon === undefined ? found : found.map((one) => ({ ...one, changesSoon: soon.has(one.name) }));
    const sendLimit = engines.reduce((sum, { capacity }) => sum + this.sendLimitOf(capacity), 0);
    const created: UsableEngines = { at: now, mark, list, blueprint, isTimeIndependent, engines, sendLimit };
    this.usableCache.set(service, created);
    return created;
  }

  /** Engines that will be given new weights soon. */
  private changingSoon(service: string): ReadonlySet<string> {
    const { blueprint } = this.freshness;
    const pool = blueprint?.services[service];
    if (pool?.kind !== 'pool') return new Set();
    const names = this.listed(service).flatMap(([name, { kind }]) => (kind === 'engine' ? [name] : []));
    const of = `${pool.weights} ${names.join(' ')}`;
    let order = this.weightOrders.get(service);
    if (order?.of !== of) {
      order = { of, engines: WeightsRollout.order(service, pool.weights, names) };
      this.weightOrders.set(service, order);
    }
    const hasChanged = (name: string): boolean => {
      const fact = this.facts.value<EngineEntry>(GossipKeys.engine(name));
      return fact !== undefined && EngineEntries.weightsOf(fact, pool.model) === pool.weights;
    };
    return new Set(WeightsRollout.upcomingEngines(order.engines, hasChanged));
  }

  /** Drops ejected engines and marks those that are suspected or on probation. */
  private withoutOutliers(able: readonly Candidate[]): readonly Candidate[] {
    const standings = this.outliers.statusesIn(able, (name) => this.ownInFlight(name) === 0);
    if (standings.size === 0) return able;
    return able.flatMap((candidate) => {
      const standing = standings.get(candidate.name);
      if (standing === undefined) return [candidate];
      return standing === 'out' ? [] : [{ ...candidate, standing }];
    });
  }

  /** Whether the platform still lists the engine as ready. */
  public isListed(service: string, name: string): boolean {
    return this.listed(service).some(([engine]) => engine === name);
  }

  /** Number of requests that may be in flight on the engines of a service. */
  public capacity(service: string): number {
    if (!this.outliers.hasAny) return this.usableEngines(service).sendLimit;
    return this.countedCandidates(service).reduce((sum, { capacity }) => sum + this.sendLimitOf(capacity), 0);
  }

  /** Number of further requests that the engines of a service can take now, approximate because loads of other proxies arrive late. */
  public free(service: string): number {
    // Without outliers, the candidates need not be built: they are for placement, and this is called far more often.
    const engines = this.outliers.hasAny ? this.countedCandidates(service) : this.usableEngines(service).engines;
    return engines.reduce(
      (sum, engine) => sum + Math.max(0, this.sendLimitOf(engine.capacity) - this.inFlightAt(engine)),
      0,
    );
  }

  /** Candidates without those on probation, which get one request at a time and so add no capacity. */
  private countedCandidates(service: string): readonly Candidate[] {
    return this.candidates(service).filter(({ standing }) => standing !== 'probation');
  }

  /**
   * Number of requests that may be in flight at an engine. It may exceed the capacity because an engine starts its own queued requests
   * by urgency, sooner than any proxy could.
   */
  private sendLimitOf(capacity: number): number {
    return Math.floor((capacity * this.sendLimitPerMille) / 1000);
  }

  /** Boot epoch of an engine or store; undefined: not known, or not reachable. */
  public bootEpochOf(holder: string): string | undefined {
    const address = this.addressOf(holder);
    const fact = this.facts.value<EngineEntry>(GossipKeys.engine(holder));
    return address === undefined || fact === undefined || !fact.reachable || fact.address !== address
      ? undefined
      : fact.bootEpoch;
  }

  public addressOf(holder: string): string | undefined {
    return this.freshness.engines?.engines[holder]?.address ?? this.freshness.blueprint?.stores?.[holder]?.address;
  }

  public zoneOf(holder: string): string | undefined {
    return this.freshness.engines?.engines[holder]?.zone ?? this.freshness.blueprint?.stores?.[holder]?.zone;
  }

  public storeShape(holder: string): StoreShape | undefined {
    return this.freshness.blueprint?.stores?.[holder];
  }

  /** Stores that answer, from the engine list or from the operators' configuration. */
  public stores(): readonly Store[] {
    const listed = Object.entries(this.freshness.engines?.engines ?? {}).flatMap(([name, engine]) =>
      engine.kind === 'store' && engine.state === 'ready' ? [[name, engine.address] as const] : [],
    );
    const named = Object.entries(this.freshness.blueprint?.stores ?? {}).map(
      ([name, { address }]) => [name, address] as const,
    );
    return [...listed, ...named].flatMap(([name, address]) => {
      const bootEpoch = this.bootEpochOf(name);
      // A store without any report is used, too: a proxy that has just started knows no reports yet, and stores outlive the daemons.
      const isUnreported = bootEpoch === undefined && this.facts.get(GossipKeys.engine(name)) === undefined;
      return bootEpoch === undefined && !isUnreported ? [] : [{ name, address, bootEpoch: bootEpoch ?? '' }];
    });
  }

  public store(): Store | undefined {
    return this.stores()[0];
  }

  /**
   * What is known of an engine: the report of its monitoring agent or, without one, its entry in the list. The entry is enough
   * because each send names the instance and the weights that it is meant for, and another engine does not run it. An entry without
   * weights is not enough, because an engine without a report may have any weights.
   */
  private factOf(service: string, name: string, engine: Engine): EngineEntry | undefined {
    const fact = this.facts.value<EngineEntry>(GossipKeys.engine(name));
    if (fact !== undefined || engine.weights === undefined || engine.capacity === undefined) return fact;
    const pool = this.freshness.blueprint?.services[service];
    const weights = pool?.kind === 'pool' ? engine.weights[pool.model] : undefined;
    if (weights === undefined) return undefined;
    return {
      engine: name,
      kind: 'engine',
      address: engine.address,
      bootEpoch: '',
      weights,
      capacity: engine.capacity,
      inFlight: 0,
      accepting: true,
      changing: false,
      reachable: true,
    };
  }

  /** Version of the monitoring agent's report on an engine. */
  private versionOf(engine: string): string {
    return this.facts.get(GossipKeys.engine(engine))?.version.join('.') ?? '';
  }

  private listed(service: string): ListedEngines {
    const { blueprint } = this.freshness;
    const engineService = blueprint === undefined ? service : Pools.engineServiceOf(blueprint.services, service);
    return this.servicesListed().get(engineService) ?? [];
  }

  private servicesListed(): ReadonlyMap<string, ListedEngines> {
    const list = this.freshness.engines;
    if (list === undefined) return new Map();
    if (this.index?.of !== list) this.index = { of: list, services: byService(list) };
    return this.index.services;
  }
}

type ListedEngines = readonly (readonly [string, Engine])[];

/** Ready engines by service. */
const byService = (list: EngineList): ReadonlyMap<string, ListedEngines> => {
  const services = new Map<string, (readonly [string, Engine])[]>();
  for (const entry of Object.entries(list.engines)) {
    const [, { kind, service, state }] = entry;
    if (kind !== 'store' && state === 'ready') services.set(service, [...(services.get(service) ?? []), entry]);
  }
  return services;
};
