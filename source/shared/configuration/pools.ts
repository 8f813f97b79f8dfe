import type { Configuration, Pool } from './types';

type Services = Configuration['services'];

/** A pool with its name among the services. */
export type NamedPool = Readonly<{ name: string; pool: Pool }>;

/**
 * The pools of services whose engines serve several models. Each model has a pool of its own, since its weights, salts and
 * directives are its own. The first one has the name of the service, and all of them share the engines listed for it.
 */
export const Pools = {
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
