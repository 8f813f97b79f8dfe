import type { Configuration, Pool } from './types';

type Services = Configuration['services'];

/** A pool with its name among the services. */
export type NamedPool = Readonly<{ name: string; pool: Pool }>;

/** Name of the pool of a further model of a service. It is extended until no other service or pool has it. */
const furtherPoolName = (service: string, model: string, taken: ReadonlySet<string>): string => {
  let name = `${service}/${model}`;
  while (taken.has(name)) name += '/';
  return name;
};

/**
 * The pools of services whose engines serve several models. Each model has a pool of its own, since its weights, salts and
 * directives are its own. The first one has the name of the service, and all of them share the engines listed for it.
 */
export const Pools = {
  /**
   * Names and links the pools of a service's models; a model that comes twice counts once. The names of the pools are added
   * to `taken`, the names of all services and pools so far.
   */
  ofModels: (service: string, first: Pool, others: readonly Pool[], taken: Set<string>): readonly NamedPool[] => {
    const further: NamedPool[] = [];
    const models = new Set([first.model]);
    for (const pool of others) {
      if (models.has(pool.model)) continue;
      models.add(pool.model);
      const name = furtherPoolName(service, pool.model, taken);
      taken.add(name);
      further.push({ name, pool: { ...pool, engineService: service } });
    }
    if (further.length === 0) return [{ name: service, pool: first }];
    const otherModels = Object.fromEntries(further.map(({ name, pool }) => [pool.model, name]));
    return [{ name: service, pool: { ...first, otherModels } }, ...further];
  },

  /** Name of the pool that serves a model at a service. A model that the service doesn't list is served as its first one. */
  nameFor: (services: Services, service: string, model: string): string => {
    const first = services[service];
    const others = first?.kind === 'pool' ? first.otherModels : undefined;
    return (others !== undefined && Object.hasOwn(others, model) ? others[model] : undefined) ?? service;
  },

  /** The service under which the engine list has the engines of a pool or app. */
  engineServiceOf: (services: Services, name: string): string => {
    const service = services[name];
    return (service?.kind === 'pool' ? service.engineService : undefined) ?? name;
  },

  /** The pools that the engines of a service serve, in the order of its models; none if it is an app or unknown. */
  atService: (services: Services, service: string): readonly NamedPool[] => {
    const first = services[service];
    if (first?.kind !== 'pool') return [];
    const others = Object.values(first.otherModels ?? {}).flatMap((name): readonly NamedPool[] => {
      const pool = services[name];
      return pool?.kind === 'pool' ? [{ name, pool }] : [];
    });
    return [{ name: service, pool: first }, ...others];
  },
} as const;
