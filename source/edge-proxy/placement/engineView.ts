import type { Blueprint, Engine, EngineList, Store as StoreShape } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { FactBook } from '../../shared/news/facts';
import {
  FactKeys,
  MemberStates,
  type EngineFact,
  type LoadFact,
  type MemberFact,
  type StewardFact,
  type WorkMix,
} from '../../shared/news/factTypes';
import { WeightsRounds } from '../../shared/weights/weightsRounds';
import type { Fence } from '../fence/fence';
import { OutlierDetector, type Standing } from '../outliers/outlierDetector';
import { OutlierSettings } from '../outliers/outlierSettings';
import type { EngineWork, WorkSum } from './engineWork';

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

/** Starting value, ours: how long an engine's word that it is full may stand without fresher news. */
const fullMicroseconds = 300_000;

/** Starting value, ours: how long an engine that a send did not find is left alone without fresher news. */
const otherMicroseconds = 500_000;

/** So old are counts of other proxies when they come. */
const hintMicroseconds = 300_000;
const keptBegins = 64;

type Full = Readonly<{ version: string; own: number; at: number }>;
type Elsewhere = Readonly<{ sends: number; work: WorkSum }>;
type Others = Readonly<{
  mark: string;
  loads: readonly LoadFact[];
  engines: ReadonlyMap<string, Elsewhere>;
  mixes: ReadonlyMap<string, WorkMix>;
}>;
type Agents = Readonly<{ changes: number; present: readonly MemberFact[] }>;

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
  others: Others;
  candidates: readonly Candidate[];
}>;
const noMix: WorkMix = [0, 0];
const noneElsewhere: Elsewhere = { sends: 0, work: { reading: 0, tokens: 0 } };

/** What this proxy knows of the back ends: the platform's list, the stewards' word, loads here and elsewhere. */
export class EngineView {
  private readonly own = new Map<string, number>();
  private readonly full = new Map<string, Full>();
  private readonly worked = new Map<string, WorkedOut>();
  private readonly ableOnes = new Map<string, AbleOnes>();
  private members: Agents | undefined;
  private readonly weightOrders = new Map<string, Readonly<{ of: string; engines: readonly string[] }>>();
  private ownChanges = 0;
  private readonly other = new Map<string, Readonly<{ version: string; at: number }>>();
  private readonly begins = new Map<string, readonly number[]>();
  private others: Others | undefined;
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
  ) {}

  public began(engine: string): void {
    this.ownChanges += 1;
    this.own.set(engine, this.ownInFlight(engine) + 1);
    const now = this.clock.nowMicroseconds();
    const fresh = (this.begins.get(engine) ?? []).filter((at) => now - at < hintMicroseconds);
    this.begins.set(engine, [...fresh, now].slice(-keptBegins));
  }

  /** Sends begun so lately that no other proxy can know of them yet; as little is known here of theirs. */
  public unseen(engine: string): number {
    const now = this.clock.nowMicroseconds();
    return (this.begins.get(engine) ?? []).filter((at) => now - at < hintMicroseconds).length;
  }

  public ended(engine: string): void {
    this.ownChanges += 1;
    const left = this.ownInFlight(engine) - 1;
    if (left > 0) this.own.set(engine, left);
    else this.own.delete(engine);
  }

  public ownInFlight(engine: string): number {
    return this.own.get(engine) ?? 0;
  }

  /**
   * The engine's own word to a send that it has no room. It stands until there is fresher news of that engine, or an own
   * order ended there. Why without the send that was told so: it still counts as in flight, and its end makes no room.
   */
  public saidFull(engine: string): void {
    this.ownChanges += 1;
    this.full.set(engine, {
      version: this.versionOf(engine),
      own: this.ownInFlight(engine) - 1,
      at: this.clock.nowMicroseconds(),
    });
  }

  /** At its address nobody is there, or another one. It stands as long as the word that an engine is full. */
  public saidOther(engine: string): void {
    this.ownChanges += 1;
    this.other.set(engine, { version: this.versionOf(engine), at: this.clock.nowMicroseconds() });
  }

  public loads(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.own);
  }

  public otherLoads(): readonly LoadFact[] {
    return this.othersNow().loads;
  }

  /** What all other proxies placed in a pool lately, short and long orders. */
  public otherMix(service: string): WorkMix {
    return this.othersNow().mixes.get(service) ?? noMix;
  }

  public proxies(): number {
    return Math.max(1, this.agents().length);
  }

  /** Agents that seem to be there. */
  public agents(): readonly MemberFact[] {
    const changes = this.facts.changesOf('member');
    // Why kept: they are counted at each feed and each order, and change seldom.
    if (this.members?.changes !== changes) {
      const all = this.facts.withPrefix('member/').map(({ value }) => value as MemberFact);
      this.members = { changes, present: all.filter(MemberStates.isPresent) };
    }
    return this.members.present;
  }

  /** The agent that reads the list of engines, as far as known. */
  public listHolder(): MemberFact | undefined {
    const holder = this.facts.value<StewardFact>(FactKeys.listDuty)?.holder;
    return holder === undefined || holder === '' ? undefined : this.facts.value<MemberFact>(FactKeys.member(holder));
  }

  /** All that are known to have belonged to the fleet lately, in whatever state: doubt about one must not shrink it. */
  public daemonsEverSeen(): number {
    return this.facts.countOf('member');
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
    // Why here too: the word on an engine that has left the list is asked for by nobody, and would be kept for ever.
    for (const engine of this.full.keys()) this.isFull(engine);
    for (const engine of this.other.keys()) this.isOther(engine);
    this.outliers.review(this.othersNow().loads, () => {
      const daemons = this.agents().map(({ name }) => name);
      return [...this.servicesListed().values()].map((listed) => ({ names: listed.map(([name]) => name), daemons }));
    });
  }

  private workedOut(service: string): WorkedOut {
    const now = this.clock.nowMicroseconds();
    const of = this.ableNow(service);
    const others = this.othersNow();
    const mark = `${this.ownChanges}/${this.work.changes}/${this.outliers.changes}`;
    const known = this.worked.get(service);
    // Why for a moment only where an engine said that it is full: that word loses its force with time.
    const stands = this.full.size === 0 || now - (known?.at ?? 0) < workedMicroseconds;
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
    const counted = this.ownInFlight(name) + (this.othersNow().engines.get(name) ?? noneElsewhere).sends;
    return this.isFull(name) ? Math.max(counted, capacity) : counted;
  }

  private workAt(name: string): WorkSum {
    const own = this.work.of(name);
    const elsewhere = this.othersNow().engines.get(name) ?? noneElsewhere;
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
      ((known.isTimeless && this.other.size === 0) || now - known.at < workedMicroseconds) &&
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
      if (word === 'forbidden' || this.isOther(name)) return [];
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

  private isOther(engine: string): boolean {
    const said = this.other.get(engine);
    if (said === undefined) return false;
    // Why not for long: it may have been this proxy's link, and the steward sees more than one send.
    if (this.clock.nowMicroseconds() - said.at < otherMicroseconds && said.version === this.versionOf(engine))
      return true;
    this.other.delete(engine);
    return false;
  }

  private isFull(engine: string): boolean {
    const said = this.full.get(engine);
    if (said === undefined) return false;
    // Why any of three: an own order that ended made room, the steward has looked since, or the word is simply old.
    const old = this.clock.nowMicroseconds() - said.at > fullMicroseconds;
    if (!old && said.version === this.versionOf(engine) && this.ownInFlight(engine) >= said.own) return true;
    this.full.delete(engine);
    return false;
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

  private othersNow(): Others {
    const mark = `${this.facts.changesOf('load')}/${this.facts.changesOf('member')}`;
    // Why not for a time: sums that are older than the news sent an order to an engine known to be full.
    if (this.others?.mark === mark) return this.others;
    const agents = new Set(this.agents().map(({ name }) => name));
    const loads = this.facts
      .withPrefix('load/')
      .map(({ value }) => value as LoadFact)
      .filter(({ agent }) => agent !== this.self && agents.has(agent));
    const engines = new Map<string, Elsewhere>();
    for (const load of loads)
      for (const [name, sends] of Object.entries(load.engines)) {
        const known = engines.get(name) ?? noneElsewhere;
        const [reading, tokens] = load.work?.[name] ?? [0, 0];
        engines.set(name, {
          sends: known.sends + sends,
          work: { reading: known.work.reading + reading, tokens: known.work.tokens + tokens },
        });
      }
    const mixes = new Map<string, WorkMix>();
    for (const { mix } of loads)
      for (const [service, [short, long]] of Object.entries(mix ?? {})) {
        const [knownShort, knownLong] = mixes.get(service) ?? noMix;
        mixes.set(service, [knownShort + short, knownLong + long]);
      }
    this.others = { mark, loads, engines, mixes };
    return this.others;
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
