import type { Configuration, Route } from '../../shared/configuration/types';

/**
 * A blueprint indexed by key and by path and model. It is separate from the index of the daemons so that an invariant checker
 * doesn't share their faults.
 */
type BlueprintIndex = Readonly<{ tenantOfKey: ReadonlyMap<string, string>; mappingAt: ReadonlyMap<string, Route> }>;

const indexes = new WeakMap<Configuration, BlueprintIndex>();

const indexOf = (configuration: Configuration): BlueprintIndex => {
  const cached = indexes.get(configuration);
  if (cached !== undefined) return cached;
  const index: BlueprintIndex = {
    tenantOfKey: new Map(
      Object.entries(configuration.tenants).flatMap(([tenant, { keys }]) => keys.map((key) => [key, tenant] as const)),
    ),
    mappingAt: new Map(
      Object.values(configuration.mappings).map((mapping) => [`${mapping.path} ${mapping.model}`, mapping]),
    ),
  };
  indexes.set(configuration, index);
  return index;
};

/** The API key, path and model that a client's request names. */
export type RequestTarget = Readonly<{ key: string; path: string; model: string }>;

/** Lookups in a blueprint for the invariant checkers. */
export const ConfigurationLookup = {
  tenantOf: (configuration: Configuration, key: string): string | undefined =>
    indexOf(configuration).tenantOfKey.get(key),

  mappingOf: (configuration: Configuration, { path, model }: RequestTarget): Route | undefined =>
    indexOf(configuration).mappingAt.get(`${path} ${model}`) ?? indexOf(configuration).mappingAt.get(`${path} `),

  /** Returns whether this blueprint lets a request of this client run at a back end of that service. */
  mayRunAt: (configuration: Configuration, called: RequestTarget, service: string): boolean =>
    ConfigurationLookup.tenantOf(configuration, called.key) !== undefined &&
    ConfigurationLookup.mappingOf(configuration, called)?.service === service &&
    Object.hasOwn(configuration.services, service),
} as const;
