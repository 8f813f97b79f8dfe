import type { Blueprint, Pool } from '../../shared/blueprint/types';
import { Identities } from '../../shared/directory/identity';
import { PromptParts } from '../../shared/directory/promptParts';

/** Salts of the pools in use, worked out once each. Why kept by the pool: a new blueprint brings new pools. */
const known = new WeakMap<Pool, Map<string, string>>();

/** Why kept: a long list of tenants is a hash for each. */
const present = new WeakMap<Blueprint, Map<string, ReadonlySet<string>>>();

export const Salts = {
  of: (pool: Pool, weights: string, trustDomain: string): string => {
    const salts = known.get(pool) ?? new Map<string, string>();
    known.set(pool, salts);
    const key = `${weights}\u0000${trustDomain}`;
    const salt = salts.get(key) ?? PromptParts.salt(pool, weights, trustDomain);
    salts.set(key, salt);
    return salt;
  },

  /** All that parts may be asked for under now, where the pool is on these weights and the others on those intended. */
  present: (blueprint: Blueprint, pool: Pool, weights: string): ReadonlySet<string> => {
    const sets = present.get(blueprint) ?? new Map<string, ReadonlySet<string>>();
    present.set(blueprint, sets);
    const of = `${pool.model}\u0000${weights}`;
    const before = sets.get(of);
    if (before !== undefined) return before;
    const { services, tenants } = blueprint;
    const domains = Identities.domains(tenants);
    const pools = Object.values(services).flatMap((service) => (service.kind === 'pool' ? [service] : []));
    const made = new Set(
      pools.flatMap((one) =>
        domains.map((domain) => Salts.of(one, one.model === pool.model ? weights : one.weights, domain)),
      ),
    );
    sets.set(of, made);
    return made;
  },
} as const;
