import type { Engine } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, MemberStates, type EngineFact, type LoadFact, type MemberFact } from '../../shared/news/factTypes';
import type { Fence } from '../fence/fence';

export type Candidate = Readonly<{
  name: string;
  address: string;
  bootEpoch: string;
  weights: string;
  capacity: number;
  inFlight: number;
}>;

export type Store = Readonly<{ name: string; address: string; bootEpoch: string }>;

const appCapacity = 64;

/** Starting value, ours: how long an engine's word that it is full may stand without fresher news. */
const fullMicroseconds = 300_000;

/** So old are counts of other proxies when they come. */
const hintMicroseconds = 300_000;
const keptBegins = 64;

type Full = Readonly<{ version: string; own: number; at: number }>;

/** What this proxy knows of the back ends: the platform's list, the stewards' word, loads here and elsewhere. */
export class EngineView {
  private readonly own = new Map<string, number>();
  private readonly full = new Map<string, Full>();
  private readonly begins = new Map<string, readonly number[]>();

  public constructor(
    private readonly self: string,
    private readonly freshness: Freshness,
    private readonly facts: FactBook,
    private readonly fence: Fence,
    private readonly clock: Clock,
  ) {}

  public began(engine: string): void {
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
    const left = this.ownInFlight(engine) - 1;
    if (left > 0) this.own.set(engine, left);
    else this.own.delete(engine);
  }

  public ownInFlight(engine: string): number {
    return this.own.get(engine) ?? 0;
  }

  /** The engine's own word that it has no room. It stands until there is fresher news of that engine. */
  public saidFull(engine: string): void {
    this.full.set(engine, {
      version: this.versionOf(engine),
      own: this.ownInFlight(engine),
      at: this.clock.nowMicroseconds(),
    });
  }

  public loads(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.own);
  }

  public otherLoads(): readonly LoadFact[] {
    const agents = new Set(this.agents().map(({ name }) => name));
    return this.facts
      .withPrefix('load/')
      .map(({ value }) => value as LoadFact)
      .filter(({ agent }) => agent !== this.self && agents.has(agent));
  }

  public proxies(): number {
    return Math.max(1, this.agents().length);
  }

  /** Agents that seem to be there. */
  public agents(): readonly MemberFact[] {
    return this.facts.withPrefix('member/').flatMap(({ value }) => {
      const member = value as MemberFact;
      return MemberStates.isPresent(member) ? [member] : [];
    });
  }

  /** All that are known to have belonged to the fleet lately, in whatever state: doubt about one must not shrink it. */
  public daemonsEverSeen(): number {
    return this.facts.withPrefix('member/').length;
  }

  /** Engines of a service that new work may go to. */
  public candidates(service: string): readonly Candidate[] {
    const others = this.otherLoads();
    return this.listed(service).flatMap(([name, engine]) => {
      const elsewhere = others.reduce((sum, load) => sum + (load.engines[name] ?? 0), 0);
      const counted = this.ownInFlight(name) + elsewhere;
      if (engine.kind === 'app')
        return [
          { name, address: engine.address, bootEpoch: '', weights: '', capacity: appCapacity, inFlight: counted },
        ];
      const fact = this.facts.value<EngineFact>(FactKeys.engine(name));
      // Why the steward's word is needed: an engine nobody has confirmed may run on any weights.
      if (fact === undefined || !fact.reachable || !fact.accepting || fact.changing || fact.address !== engine.address)
        return [];
      if (this.fence.weights(service, fact.weights) === 'forbidden') return [];
      const inFlight = this.isFull(name) ? Math.max(counted, fact.capacity) : counted;
      return [
        {
          name,
          address: engine.address,
          bootEpoch: fact.bootEpoch,
          weights: fact.weights,
          capacity: fact.capacity,
          inFlight,
        },
      ];
    });
  }

  /** Whether the platform still lists the engine for new work. */
  public isListed(service: string, name: string): boolean {
    return this.listed(service).some(([engine]) => engine === name);
  }

  public capacity(service: string): number {
    return this.candidates(service).reduce((sum, { capacity }) => sum + capacity, 0);
  }

  /** Places that seem to be free at this moment; counts of other proxies are hints. */
  public free(service: string): number {
    return this.candidates(service).reduce((sum, { capacity, inFlight }) => sum + Math.max(0, capacity - inFlight), 0);
  }

  public bootEpochOf(holder: string): string | undefined {
    const listed = this.freshness.engines?.engines[holder];
    const fact = this.facts.value<EngineFact>(FactKeys.engine(holder));
    return listed === undefined || fact === undefined || !fact.reachable || fact.address !== listed.address
      ? undefined
      : fact.bootEpoch;
  }

  public addressOf(holder: string): string | undefined {
    return this.freshness.engines?.engines[holder]?.address;
  }

  public store(): Store | undefined {
    for (const [name, engine] of Object.entries(this.freshness.engines?.engines ?? {})) {
      const bootEpoch = engine.kind === 'store' && engine.state === 'ready' ? this.bootEpochOf(name) : undefined;
      if (bootEpoch !== undefined) return { name, address: engine.address, bootEpoch };
    }
    return undefined;
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

  private listed(service: string): readonly (readonly [string, Engine])[] {
    return Object.entries(this.freshness.engines?.engines ?? {}).filter(
      ([, engine]) => engine.kind !== 'store' && engine.service === service && engine.state === 'ready',
    );
  }
}
