import type { Configuration, Route } from '../../shared/configuration/types';

/**
 * A blueprint indexed by key and by path and model. It is separate from the index of the daemons so that an invariant checker
 * doesn't share their faults.
 */
type BlueprintIndex = Readonly<{ tenantOfKey: ReadonlyMap<string, string>; mappingAt: ReadonlyMap<string, Route> }>;

const indexes = new WeakMap<Configuration, BlueprintIndex>();

const indexOf = (blueprint: Configuration): BlueprintIndex => {
  const cached = indexes.get(blueprint);
  if (cached !== undefined) return cached;
  const index: BlueprintIndex = {
    tenantOfKey: new Map(
      Object.entries(blueprint.tenants).flatMap(([tenant, { keys }]) => keys.map((key) => [key, tenant] as const)),
    ),
    mappingAt: new Map(
      Object.values(blueprint.mappings).map((mapping) => [`${mapping.path} ${mapping.model}`, mapping]),
    ),
  };
  indexes.set(blueprint, index);
  return index;
};

/** The API key, path and model that a client's request names. */
export type RequestTarget = Readonly<{ key: string; path: string; model: string }>;

/** Lookups in a blueprint for the invariant checkers. */
export const ConfigurationLookup = {
  tenantOf: (blueprint: Configuration, key: string): string | undefined => indexOf(blueprint).tenantOfKey.get(key),

  mappingOf: (blueprint: Configuration, { path, model }: RequestTarget): Route | undefined =>
    indexOf(blueprint).mappingAt.get(`${path} ${model}`) ?? indexOf(blueprint).mappingAt.get(`${path} `),

  /** Returns whether this blueprint lets a request of this client run at a back end of that service. */
  mayRunAt: (blueprint: Configuration, called: RequestTarget, service: string): boolean =>
    ConfigurationLookup.tenantOf(blueprint, called.key) !== undefined &&
    ConfigurationLookup.mappingOf(blueprint, called)?.service === service &&
    Object.hasOwn(blueprint.services, service),
} as const;
