import type { Configuration, Pool } from '../../shared/configuration/types';
import type { NamedPool } from '../../shared/configuration/pools';
import { Identities } from '../../shared/directory/identity';
import { PromptParts } from '../../shared/directory/promptParts';
import type { Freshness } from '../../shared/freshness/freshness';

type Salts = ReadonlySet<string>;

/** The cache salts under which requests may still look up prompt parts. */
export class LiveSalts {
  private cachedFor: Configuration | undefined;
  private readonly cachedSets = new Map<string, Salts>();

  public constructor(private readonly freshness: Freshness) {}

  /** For an engine: the salts of its pools under the weights that it runs; undefined if it has no known pool. */
  public engine(pools: readonly NamedPool[], weightsOf: (pool: Pool) => string): Salts | undefined {
    if (pools.length === 0) return undefined;
    const key = pools.map(({ name, pool }) => `${name}/${weightsOf(pool)}`).join(' ');
    return this.cached(
      key,
      pools.map(({ pool }) => [pool, weightsOf(pool)]),
    );
  }

  /** For a store: the salts of all pools under the present and the previous weights; undefined without a configuration. */
  public store(): Salts | undefined {
    const { blueprint } = this.freshness;
    if (blueprint === undefined) return undefined;
    const pairs = Object.entries(blueprint.services).flatMap(([name, pool]): readonly (readonly [Pool, string])[] =>
      pool.kind === 'pool'
        ? [pool.weights, this.freshness.weightsSince(name)?.previous ?? pool.weights].map((weights) => [pool, weights])
        : [],
    );
    return this.cached(`all ${pairs.map(([, weights]) => weights).join(' ')}`, pairs);
  }

  /** The sets are cached, because each tenant costs a hash and the sets are needed again and again. */
  private cached(key: string, pairs: readonly (readonly [Pool, string])[]): Salts {
    const { blueprint } = this.freshness;
    if (blueprint === undefined) return new Set();
    if (this.cachedFor !== blueprint) {
      this.cachedFor = blueprint;
      this.cachedSets.clear();
    }
    const found = this.cachedSets.get(key);
    if (found !== undefined) return found;
    const domains = Identities.domains(blueprint.tenants);
    const salts = new Set(
      pairs.flatMap(([pool, weights]) => domains.map((domain) => PromptParts.salt(pool, weights, domain))),
    );
    this.cachedSets.set(key, salts);
    return salts;
  }
}
