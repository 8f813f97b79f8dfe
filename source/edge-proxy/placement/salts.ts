import type { Configuration, Pool, Service } from '../../shared/configuration/types';
import { Identities } from '../../shared/directory/identity';
import { PromptParts } from '../../shared/directory/promptParts';

/** Salts by pool object, computed once each. A new configuration creates new pool objects, so old salts are garbage-collected. */
const saltsByPool = new WeakMap<Pool, Map<string, string>>();

/** Current salts by configuration, cached because they take a hash per tenant. */
const currentSalts = new WeakMap<Configuration, Map<string, ReadonlySet<string>>>();

/** Salts of the cache keys of prompt parts. */
export const Salts = {
  /** The salt of a pool under a weight version and a trust domain. */
  of: (pool: Pool, weights: string, trustDomain: string): string => {
    const salts = saltsByPool.get(pool) ?? new Map<string, string>();
    saltsByPool.set(pool, salts);
    const key = `${weights}\u0000${trustDomain}`;
    const salt = salts.get(key) ?? PromptParts.salt(pool, weights, trustDomain);
    salts.set(key, salt);
    return salt;
  },

  /**
   * The salt that a request carries to an engine on these weights. It depends on nothing that the request says of its
   * prompt: whatever the engine caches of it is found only within its trust domain and under the same weights.
   */
  ofRequest: (service: Service, weights: string, trustDomain: string): string =>
    service.kind === 'pool' ? Salts.of(service, weights, trustDomain) : PromptParts.saltWithoutModel(trustDomain),

  /** All salts that may be in use now, with the pool on `weights` and the other pools on their intended weights. */
  allCurrent: (configuration: Configuration, pool: Pool, weights: string): ReadonlySet<string> => {
    const sets = currentSalts.get(configuration) ?? new Map<string, ReadonlySet<string>>();
    currentSalts.set(configuration, sets);
    const modelKey = `${pool.model}\u0000${weights}`;
    const cached = sets.get(modelKey);
    if (cached !== undefined) return cached;
    const { services, tenants } = configuration;
    const domains = Identities.domains(tenants);
    const pools = Object.values(services).flatMap((service) => (service.kind === 'pool' ? [service] : []));
    const created = new Set(
      pools.flatMap((one) =>
        domains.map((domain) => Salts.of(one, one.model === pool.model ? weights : one.weights, domain)),
      ),
    );
    sets.set(modelKey, created);
    return created;
  },
} as const;
