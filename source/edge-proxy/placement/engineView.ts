import type { Engine } from '../../shared/blueprint/types';
import type { Freshness } from '../../shared/freshness/freshness';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, type EngineFact, type LoadFact } from '../../shared/news/factTypes';
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

/** What this proxy knows of the back ends: the platform's list, the stewards' word, loads here and elsewhere. */
export class EngineView {
  private readonly own = new Map<string, number>();

  public constructor(
    private readonly self: string,
    private readonly freshness: Freshness,
    private readonly facts: FactBook,
    private readonly fence: Fence,
  ) {}

  public began(engine: string): void {
    this.own.set(engine, this.ownInFlight(engine) + 1);
  }

  public ended(engine: string): void {
    const left = this.ownInFlight(engine) - 1;
    if (left > 0) this.own.set(engine, left);
    else this.own.delete(engine);
  }

  public ownInFlight(engine: string): number {
    return this.own.get(engine) ?? 0;
  }

  public loads(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.own);
  }

  public otherLoads(): readonly LoadFact[] {
    return this.facts
      .withPrefix('load/')
      .map(({ value }) => value as LoadFact)
      .filter(({ agent }) => agent !== this.self && this.present(agent));
  }

  public proxies(): number {
    return Math.max(
      1,
      this.facts
        .withPrefix('member/')
        .filter(({ value }) => ['alive', 'suspect'].includes((value as { state: string }).state)).length,
    );
  }

  /** Engines of a service that new work may go to. */
  public candidates(service: string): readonly Candidate[] {
    const others = this.otherLoads();
    return this.listed(service).flatMap(([name, engine]) => {
      const elsewhere = others.reduce((sum, load) => sum + (load.engines[name] ?? 0), 0);
      const inFlight = this.ownInFlight(name) + elsewhere;
      if (engine.kind === 'app')
        return [{ name, address: engine.address, bootEpoch: '', weights: '', capacity: appCapacity, inFlight }];
      const fact = this.facts.value<EngineFact>(FactKeys.engine(name));
      // Why the steward's word is needed: an engine nobody has confirmed may run on any weights.
      if (fact === undefined || !fact.reachable || !fact.accepting || fact.changing || fact.address !== engine.address)
        return [];
      if (this.fence.weights(service, fact.weights) === 'forbidden') return [];
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

  private listed(service: string): readonly (readonly [string, Engine])[] {
    return Object.entries(this.freshness.engines?.engines ?? {}).filter(
      ([, engine]) => engine.kind !== 'store' && engine.service === service && engine.state === 'ready',
    );
  }

  private present(agent: string): boolean {
    const state = this.facts.value<{ state: string }>(FactKeys.member(agent))?.state;
    return state === 'alive' || state === 'suspect';
  }
}
