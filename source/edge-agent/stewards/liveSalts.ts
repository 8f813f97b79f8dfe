import type { Blueprint, Pool } from '../../shared/blueprint/types';
import { Identities } from '../../shared/directory/identity';
import { PromptParts } from '../../shared/directory/promptParts';
import type { Freshness } from '../../shared/freshness/freshness';

type Salts = ReadonlySet<string>;

/** Under which salts parts may still be asked for. */
export class LiveSalts {
  private of: Blueprint | undefined;
  private readonly sets = new Map<string, Salts>();

  public constructor(private readonly freshness: Freshness) {}

  /** On an engine: those of its pool under the weights it is on. Undefined: it cannot be told. */
  public engine(service: string, weights: string): Salts | undefined {
    const pool = this.freshness.blueprint?.services[service];
    return pool?.kind === 'pool' ? this.kept(`${service}/${weights}`, [[pool, weights]]) : undefined;
  }

  /** In a store: those of all pools, under the weights of now and those right before. */
  public store(): Salts | undefined {
    const { blueprint } = this.freshness;
    if (blueprint === undefined) return undefined;
    const pairs = Object.entries(blueprint.services).flatMap(([name, pool]): readonly (readonly [Pool, string])[] =>
      pool.kind === 'pool'
        ? [pool.weights, this.freshness.weightsSince(name)?.previous ?? pool.weights].map((weights) => [pool, weights])
        : [],
    );
    return this.kept(`all ${pairs.map(([, weights]) => weights).join(' ')}`, pairs);
  }

  /** Why kept: a long list of tenants is a hash for each, and this is asked again and again. */
  private kept(key: string, pairs: readonly (readonly [Pool, string])[]): Salts {
    const { blueprint } = this.freshness;
    if (blueprint === undefined) return new Set();
    if (this.of !== blueprint) {
      this.of = blueprint;
      this.sets.clear();
    }
    const known = this.sets.get(key);
    if (known !== undefined) return known;
    const domains = Identities.domains(blueprint.tenants);
    const made = new Set(
      pairs.flatMap(([pool, weights]) => domains.map((domain) => PromptParts.salt(pool, weights, domain))),
    );
    this.sets.set(key, made);
    return made;
  }
}
