import type { Blueprint, Engine, EngineList, Store as StoreShape } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, type EngineFact, type LoadFact } from '../../shared/news/factTypes';
import { WeightsRounds } from '../../shared/weights/weightsRounds';
import type { Fence } from '../fence/fence';
import type { OthersTogether } from '../feeding/receivedLoads';
import { OutlierDetector, type Standing } from '../outliers/outlierDetector';
import { OutlierSettings } from '../outliers/outlierSettings';
import { EngineRefusals } from './engineRefusals';
import type { EngineWork, WorkSum } from './engineWork';
import { OtherProxies, type OtherLoads } from './otherProxies';
import { OwnSends } from './ownSends';

export type Candidate = Readonly<{
  name: string;
  address: string;
  bootEpoch: string;
  weights: string;
  capacity: number;
  inFlight: number;
  zone: string;
  /** Tokens that are being read for sends whose answers have not begun, and of all sends, as far as known. */
  work: WorkSum;
  /** Missing: as any other. `suspected`: others go first. `probation`: it gets one order at a time, to see what becomes of it. */
  standing?: Standing;
  /** It is on the weights before, and about to be given the new ones: what it has not begun then it turns away. */
  changesSoon?: boolean;
}>;

export type Store = Readonly<{ name: string; address: string; bootEpoch: string }>;

const appCapacity = 64;

/** So long what depends on the time of day is good for, if nothing changes before. */
const workedMicroseconds = 1_000;

/** An engine that could take work, and all of it that does not change with each order. */
type Able = Readonly<{
  name: string;
  address: string;
  bootEpoch: string;
  weights: string;
  capacity: number;
  zone: string;
  changesSoon?: boolean;
}>;
type AbleOnes = Readonly<{
  at: number;
  mark: string;
  list: EngineList | undefined;
  blueprint: Blueprint | undefined;
  /** Whether time alone changes nothing of it. */
  isTimeless: boolean;
  engines: readonly Able[];
  /** Places that may be given away in all of them. */
  room: number;
}>;
type WorkedOut = Readonly<{
  at: number;
  mark: string;
  of: AbleOnes;
  others: OtherLoads;
  candidates: readonly Candidate[];
}>;
/** What this proxy knows of the back ends: the platform's list, the stewards' word, loads here and elsewhere. */
export class EngineView {
  public readonly others: OtherProxies;
  private readonly own: OwnSends;
  private readonly refusals: EngineRefusals;
  private readonly worked = new Map<string, WorkedOut>();
  private readonly ableOnes = new Map<string, AbleOnes>();
  private readonly weightOrders = new Map<string, Readonly<{ of: string; engines: readonly string[] }>>();
  private ownChanges = 0;
  private index: Readonly<{ of: EngineList; services: ReadonlyMap<string, Listed> }> | undefined;

  public constructor(
    private readonly self: string,
    private readonly freshness: Freshness,
    private readonly facts: FactBook,
    private readonly fence: Fence,
    private readonly clock: Clock,
    public readonly work: EngineWork,
    private readonly roomPerMille = 1000,
    public readonly outliers = new OutlierDetector(self, clock, OutlierSettings.usual),
    received: () => OthersTogether | undefined = () => undefined,
  ) {
    this.others = new OtherProxies(self, facts, received);
    this.own = new OwnSends(clock);
    this.refusals = new EngineRefusals(
      clock,
      (engine) => this.versionOf(engine),
      (engine) => this.own.at(engine),
    );
  }

  public began(engine: string): void {
    this.ownChanges += 1;
    this.own.began(engine);
  }

  /** Sends begun so lately that no other proxy can know of them yet; as little is known here of theirs. */
  public unseen(engine: string): number {
    return this.own.unseen(engine);
  }

  public ended(engine: string): void {
    this.ownChanges += 1;
    this.own.ended(engine);
  }

  public ownInFlight(engine: string): number {
    return this.own.at(engine);
  }

  /** The engine's own word to a send that it has no room. */
  public saidFull(engine: string): void {
    this.ownChanges += 1;
    this.refusals.saidFull(engine);
  }

  /** At its address nobody is there, or another one. */
  public saidOther(engine: string): void {
    this.ownChanges += 1;
    this.refusals.saidAbsent(engine);
  }

  public loads(): Readonly<Record<string, number>> {
    return this.own.counts();
  }

  public otherLoads(): readonly LoadFact[] {
    return this.others.now().loads;
  }

  /** Proxies that seem to be there, this one included. */
  public proxies(): number {
    return this.others.count();
  }

  /** Engines of a service that new work may go to. */
  public candidates(service: string): readonly Candidate[] {
    return this.workedOut(service).candidates;
  }

  /** Whether an order that was placed at this engine, as it was then, may still go there; also where it is left out by now. */
  public isAble(service: string, { name, bootEpoch, weights }: Pick<Able, 'name' | 'bootEpoch' | 'weights'>): boolean {
    return this.ableNow(service).engines.some(
      (engine) => engine.name === name && engine.bootEpoch === bootEpoch && engine.weights === weights,
    );
  }

  /** Called with news: engines are judged by what became of orders, here and elsewhere. */
  public review(): void {
    this.refusals.review();
    const others = this.others.now();
    this.outliers.review(others.loads, () => {
      const daemons = [this.self, ...others.names];
      return [...this.servicesListed().values()].map((listed) => ({ names: listed.map(([name]) => name), daemons }));
    });
  }

  private workedOut(service: string): WorkedOut {
    const now = this.clock.nowMicroseconds();
    const of = this.ableNow(service);
    const others = this.others.now();
    const mark = `${this.ownChanges}/${this.work.changes}/${this.outliers.changes}`;
    const known = this.worked.get(service);
    // Why for a moment only where an engine said that it is full: that word loses its force with time.
    const stands = !this.refusals.hasFull || now - (known?.at ?? 0) < workedMicroseconds;
    if (known !== undefined && stands && known.of === of && known.others === others && known.mark === mark)
      return known;
    const able = of.engines.map((engine): Candidate => ({
      ...engine,
      inFlight: this.inFlightAt(engine),
      work: this.workAt(engine.name),
    }));
    const worked: WorkedOut = { at: now, mark, of, others, candidates: this.withoutOutliers(able) };
    this.worked.set(service, worked);
    return worked;
  }

  private inFlightAt({ name, capacity }: Able): number {
    const counted = this.ownInFlight(name) + this.others.at(name).sends;
    return this.refusals.isFull(name) ? Math.max(counted, capacity) : counted;
  }

  private workAt(name: string): WorkSum {
    const own = this.work.of(name);
    const elsewhere = this.others.at(name);
    return { reading: own.reading + elsewhere.work.reading, tokens: own.tokens + elsewhere.work.tokens };
  }

  /** Why apart from the counts: these change with each order, and which engines there are hardly ever. */
  private ableNow(service: string): AbleOnes {
    const now = this.clock.nowMicroseconds();
    const { engines: list, blueprint } = this.freshness;
    const mark = `${this.facts.changesOf('engine')}/${this.outliers.changes}`;
    const known = this.ableOnes.get(service);
    if (
      known !== undefined &&
      ((known.isTimeless && !this.refusals.hasAbsent) || now - known.at < workedMicroseconds) &&
      known.mark === mark &&
      known.list === list &&
      known.blueprint === blueprint
    )
      return known;
    let isTimeless = true;
    let hasOld = false;
    const found = this.listed(service).flatMap(([name, engine]): readonly Able[] => {
      const { address, zone } = engine;
      if (engine.kind === 'app') return [{ name, address, bootEpoch: '', weights: '', capacity: appCapacity, zone }];
      const fact = this.wordOf(service, name, engine);
      if (fact === undefined || fact.changing || fact.address !== address) return [];
      // Why an engine its steward does not hear: it may be the way to its control side alone, while it answers orders.
      if (fact.reachable) this.outliers.heardOf(name);
      else isTimeless = false;
      if (fact.reachable ? !fact.accepting : !this.outliers.answersThoughSilent(name, this.versionOf(name))) return [];
      const word = this.fence.weights(service, fact.weights);
      if (word !== 'intended') isTimeless = false;
      if (word === 'untilChanged') hasOld = true;
      if (word === 'forbidden' || this.refusals.isAbsent(name)) return [];
      const { bootEpoch, weights, capacity } = fact;
      return [{ name, address, bootEpoch, weights, capacity, zone }];
    });
    const soon = hasOld ? this.changingSoon(service) : undefined;
    const engines = soon === undefined ? found : found.map((one) => ({ ...one, changesSoon: soon.has(one.name) }));
    const room = engines.reduce((sum, { capacity }) => sum + this.roomIn(capacity), 0);
    const made: AbleOnes = { at: now, mark, list, blueprint, isTimeless, engines, room };
    this.ableOnes.set(service, made);
    return made;
  }

  private changingSoon(service: string): ReadonlySet<string> {
    const { blueprint } = this.freshness;
    const pool = blueprint?.services[service];
    if (pool?.kind !== 'pool') return new Set();
    const names = this.listed(service).flatMap(([name, { kind }]) => (kind === 'engine' ? [name] : []));
    const of = `${pool.weights} ${names.join(' ')}`;
    let order = this.weightOrders.get(service);
    if (order?.of !== of) {
      order = { of, engines: WeightsRounds.order(service, pool.weights, names) };
      this.weightOrders.set(service, order);
    }
    const hasChanged = (name: string): boolean =>
      this.facts.value<EngineFact>(FactKeys.engine(name))?.weights === pool.weights;
    return new Set(WeightsRounds.soon(order.engines, hasChanged));
  }

  private withoutOutliers(able: readonly Candidate[]): readonly Candidate[] {
    const standings = this.outliers.standingsIn(able, (name) => this.ownInFlight(name) === 0);
    if (standings.size === 0) return able;
    return able.flatMap((candidate) => {
      const standing = standings.get(candidate.name);
      if (standing === undefined) return [candidate];
      return standing === 'out' ? [] : [{ ...candidate, standing }];
    });
  }

  /** Whether the platform still lists the engine for new work. */
  public isListed(service: string, name: string): boolean {
    return this.listed(service).some(([engine]) => engine === name);
  }

  public capacity(service: string): number {
    if (!this.outliers.hasAny) return this.ableNow(service).room;
    return this.inService(service).reduce((sum, { capacity }) => sum + this.roomIn(capacity), 0);
  }

  /** Places that seem to be free at this moment; counts of other proxies are hints. */
  public free(service: string): number {
    // Why not the candidates where no engine is left out: they are made for one placement, and this is asked far more often.
    const engines = this.outliers.hasAny ? this.inService(service) : this.ableNow(service).engines;
    return engines.reduce(
      (sum, engine) => sum + Math.max(0, this.roomIn(engine.capacity) - this.inFlightAt(engine)),
      0,
    );
  }

  /** Why without those on probation: one order at a time is no room to count on. */
  private inService(service: string): readonly Candidate[] {
    return this.candidates(service).filter(({ standing }) => standing !== 'probation');
  }

  /** Why more than its places: an engine lets its own waiting orders in by their urgency, sooner than any proxy could. */
  private roomIn(capacity: number): number {
    return Math.floor((capacity * this.roomPerMille) / 1000);
  }

  public bootEpochOf(holder: string): string | undefined {
    const address = this.addressOf(holder);
    const fact = this.facts.value<EngineFact>(FactKeys.engine(holder));
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

  /** Stores that answer, from the list or from the operators' document. */
  public stores(): readonly Store[] {
    const listed = Object.entries(this.freshness.engines?.engines ?? {}).flatMap(([name, engine]) =>
      engine.kind === 'store' && engine.state === 'ready' ? [[name, engine.address] as const] : [],
    );
    const named = Object.entries(this.freshness.blueprint?.stores ?? {}).map(
      ([name, { address }]) => [name, address] as const,
    );
    return [...listed, ...named].flatMap(([name, address]) => {
      const bootEpoch = this.bootEpochOf(name);
      // Why one that nobody has spoken of: who has just started knows no stewards yet, and a store outlives daemons.
      const unheard = bootEpoch === undefined && this.facts.get(FactKeys.engine(name)) === undefined;
      return bootEpoch === undefined && !unheard ? [] : [{ name, address, bootEpoch: bootEpoch ?? '' }];
    });
  }

  public store(): Store | undefined {
    return this.stores()[0];
  }

  /**
   * What is known of an engine: its steward's word. Where there is none yet, what the list itself says of it. Why that
   * is enough: each send names the instance and the weights that it is meant for, and another engine does not run it.
   * A list that says nothing of weights is not enough: an engine nobody has confirmed may run on any.
   */
  private wordOf(service: string, name: string, engine: Engine): EngineFact | undefined {
    const fact = this.facts.value<EngineFact>(FactKeys.engine(name));
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

  private versionOf(engine: string): string {
    return this.facts.get(FactKeys.engine(engine))?.version.join('.') ?? '';
  }

  private listed(service: string): Listed {
    return this.servicesListed().get(service) ?? [];
  }

  private servicesListed(): ReadonlyMap<string, Listed> {
    const list = this.freshness.engines;
    if (list === undefined) return new Map();
    if (this.index?.of !== list) this.index = { of: list, services: byService(list) };
    return this.index.services;
  }
}

type Listed = readonly (readonly [string, Engine])[];

const byService = (list: EngineList): ReadonlyMap<string, Listed> => {
  const services = new Map<string, (readonly [string, Engine])[]>();
  for (const entry of Object.entries(list.engines)) {
    const [, { kind, service, state }] = entry;
    if (kind !== 'store' && state === 'ready') services.set(service, [...(services.get(service) ?? []), entry]);
  }
  return services;
};
